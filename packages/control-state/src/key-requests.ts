/**
 * Requests for keys. A node that a request reaches first sends it on to the replica that should lead the key; that one
 * answers the origin. What a request asks for twice is told once: a change that was taken is answered as such.
 */
import type { Address, MessageOf } from '@tansypost/inner-protocol';
import { applyClaimOperation, type ClaimOperation } from './idempotency-claims.js';
import { isLeasedToRouters, type NodeContext } from './node-context.js';
import type { KeyLeader, WriteAnswer, WriteStatus } from './key-leader.js';
import type { RouterLeases } from './router-leases.js';
import type { Row } from './row.js';

type Ask = MessageOf<'Ask'>;
type AnswerStatus = WriteStatus | 'value' | 'none';
type Answered = Pick<Row, 'epoch' | 'version' | 'value'>;

/** What answering requests needs of the node. */
export interface KeyRequestsOptions {
  readonly cluster: NodeContext;
  /** The slot of the replica that should lead a key. */
  readonly preferredLeader: (key: string) => number;
  readonly routerLeases: RouterLeases;
  readonly acknowledged: (key: string, version: number) => void;
}

const mostHops = 2;
const noBytes = Buffer.alloc(0);
const nothing: Answered = { epoch: 0, version: 0, value: noBytes };

/** Gives the function that takes a request in. */
export function createKeyRequests(options: KeyRequestsOptions): (request: Ask) => void {
  const { cluster, routerLeases } = options;
  const { world, replica } = cluster;

  function receive(request: Ask): void {
    if (replica.state() !== 'voting') return answer(request, 'retry');
    const preferred = options.preferredLeader(request.key);
    if (preferred !== replica.slot && request.hops < mostHops) return forward(request, preferred);
    const leader = cluster.leaderOf(request.key);
    if (request.op === 'write') write(request, leader);
    else if (request.op === 'claim') claim(request, leader);
    else read(request, leader);
  }

  function answer(request: Ask, status: AnswerStatus, row: Answered = nothing): void {
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
    leader.write({ change, expectedVersion: base, value, done: (written) => settle(request, written) });
  }

  function settle(request: Ask, written: WriteAnswer): void {
    const { key, change } = request;
    const { status, epoch, version } = written;
    const told: Answered = { epoch, version, value: noBytes };
    if (status === 'lost') world.log(2102, { key, change });
    if (status === 'unknown') world.log(2103, { key, change });
    if (status !== 'done' || !isLeasedToRouters(key)) return answer(request, status, told);
    routerLeases.whenApplied(key, version, () => {
      options.acknowledged(key, version);
      world.log(2101, { key, change, version });
      answer(request, 'done', told);
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
      lookUp(request, leader, row);
    });
  }

  function lookUp(request: Ask, leader: KeyLeader, row: Row): void {
    const version = leader.versionOf(request.change);
    const found: Answered = { epoch: row.epoch, version: version ?? row.version, value: noBytes };
    if (version === undefined) return answer(request, 'none', found);
    if (!isLeasedToRouters(request.key)) return answer(request, 'done', found);
    // A look-up acknowledges as much as the answer it stands for, so it waits for the same.
    routerLeases.whenApplied(request.key, version, () => answer(request, 'done', found));
  }

  return receive;
}
