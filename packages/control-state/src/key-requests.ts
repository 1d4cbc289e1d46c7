/**
 * Requests for keys. The node that receives a request first forwards it to the replica that should lead the key, and
 * that one answers the origin. A repeated request is applied only once: a change that was already applied is answered
 * as done.
 */
import type { Address, MessageOf } from '@tansypost/inner-protocol';
import { applyClaimOperation, type ClaimOperation } from './claims.js';
import { isLeasedToRouters, type NodeContext } from './node-context.js';
import type { KeyLeader, WriteAnswer, WriteStatus } from './key-leader.js';
import type { RouterLeases } from './router-leases.js';
import type { Row } from './row.js';

type Ask = MessageOf<'Ask'>;
type AnswerStatus = WriteStatus | 'value' | 'none';
type RowAnswer = Pick<Row, 'epoch' | 'version' | 'value'>;

/** Dependencies of request handling on the node. */
export interface KeyRequestsOptions {
  readonly node: NodeContext;
  /** Slot of the replica that should lead a key. */
  readonly preferredLeader: (key: string) => number;
  readonly routerLeases: RouterLeases;
  readonly onAcknowledged: (key: string, version: number) => void;
}

const maxHops = 2;
const emptyBuffer = Buffer.alloc(0);
const emptyRowAnswer: RowAnswer = { epoch: 0, version: 0, value: emptyBuffer };

/** Returns the handler of requests for keys. */
export function createKeyRequests(options: KeyRequestsOptions): (request: Ask) => void {
  const { node, routerLeases } = options;
  const { world, replica } = node;

  function receive(request: Ask): void {
    if (replica.state() !== 'voting') return answer(request, 'retry');
    const preferred = options.preferredLeader(request.key);
    if (preferred !== replica.slot && request.hops < maxHops) return forward(request, preferred);
    const leader = node.leaderOf(request.key);
    if (request.op === 'write') write(request, leader);
    else if (request.op === 'claim') claim(request, leader);
    else read(request, leader);
  }

  function answer(request: Ask, status: AnswerStatus, row: RowAnswer = emptyRowAnswer): void {
    const { epoch, version, value } = row;
    world.send(request.origin as Address, {
      kind: 'Answer',
      id: request.id,
      key: request.key,
      status,
      epoch,
      version,
      value,
    });
  }

  function forward(request: Ask, slot: number): void {
    const entry = replica.membership().replicas.find((member) => member.slot === slot);
    if (entry !== undefined) world.send(entry.address as Address, { ...request, hops: request.hops + 1 });
  }

  function write(request: Ask, leader: KeyLeader): void {
    const { change, base, value } = request;
    leader.write({ change, expectedVersion: base, value, done: (written) => onWritten(request, written) });
  }

  function onWritten(request: Ask, written: WriteAnswer): void {
    const { key, change } = request;
    const { status, epoch, version } = written;
    const rowAnswer: RowAnswer = { epoch, version, value: emptyBuffer };
    if (status === 'lost') world.log(2102, { key, change });
    if (status === 'unknown') world.log(2103, { key, change });
    if (status !== 'done' || !isLeasedToRouters(key)) return answer(request, status, rowAnswer);
    routerLeases.whenApplied(key, version, () => {
      options.onAcknowledged(key, version);
      world.log(2101, { key, change, version });
      answer(request, 'done', rowAnswer);
    });
  }

  function claim(request: Ask, leader: KeyLeader): void {
    const operation = JSON.parse(request.value.toString()) as ClaimOperation;
    leader.mutate({
      apply: (value, epoch) => applyClaimOperation(value, epoch, world.now(), operation),
      done: (status, result) => answer(request, status, { epoch: 0, version: 0, value: Buffer.from(result) }),
    });
  }

  function read(request: Ask, leader: KeyLeader): void {
    leader.read((row) => {
      if (row === undefined) return answer(request, 'retry');
      if (request.op === 'read') return answer(request, 'value', row);
      lookUpChange(request, leader, row);
    });
  }

  function lookUpChange(request: Ask, leader: KeyLeader, row: Row): void {
    const version = leader.versionOf(request.change);
    const found: RowAnswer = { epoch: row.epoch, version: version ?? row.version, value: emptyBuffer };
    if (version === undefined) return answer(request, 'none', found);
    if (!isLeasedToRouters(request.key)) return answer(request, 'done', found);
    // A lookup acknowledges the change just as the answer to the write does, so it waits for the same condition.
    routerLeases.whenApplied(request.key, version, () => answer(request, 'done', found));
  }

  return receive;
}
