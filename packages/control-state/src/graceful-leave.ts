/**
 * How a replica leaves. It says so, which moves its keys to other leaders and lets a learner take its slot, and goes on
 * voting meanwhile. It may end once it has been replaced and a majority votes without it, or, where no machine stands
 * ready to take its slot, once everything on its disk is on a majority of those that stay: then no acknowledged value
 * stands on its disk and one other alone.
 */
import { every, micros } from '@tansypost/inner-protocol';
import type { VoteRequest } from './acceptor.js';
import { isLocalKey, type NodeContext } from './node-context.js';
import { isNewer, type Row } from './row.js';

/** `replaced`: a successor votes; `copied`: those that stay hold all; `incomplete`: time ran out before either. */
export type LeaveResult = 'replaced' | 'copied' | 'incomplete';

/** What leaving needs of the node. */
export interface GracefulLeaveOptions {
  readonly cluster: NodeContext;
  /** Whether a machine stands ready to take this replica's slot. */
  readonly hasCandidate: () => boolean;
  /** Tells the others at once that this replica leaves. */
  readonly announce: () => void;
}

/** The leaving of one replica. */
export interface GracefulLeave {
  /** Leaves within `limit` microseconds and says how it ended. */
  readonly begin: (limit: number, done: (result: LeaveResult) => void) => void;
}

const lookEvery = micros(50_000);
/** Time for the other replicas to lead the keys of this one, before it may end. */
const leastTime = 300_000;
const roundPatience = 1_000_000;

/** Makes the leaving side of a node; nothing happens before it begins. */
export function createGracefulLeave(options: GracefulLeaveOptions): GracefulLeave {
  const { world, replica, rounds } = options.cluster;
  const copied = new Map<string, Row>();
  const copying = new Set<string>();

  function begin(limit: number, done: (result: LeaveResult) => void): void {
    const begunAt = world.now();
    function finish(result: LeaveResult): void {
      stop();
      world.log(2012, { result, tookMs: Math.round((world.now() - begunAt) / 1000) });
      done(result);
    }
    function look(): void {
      const taken = world.now() - begunAt;
      if (replica.isSuccessorVoting()) return finish('replaced');
      if (taken >= limit) return finish('incomplete');
      if (replica.state() === 'voting') copyRows();
      if (taken >= leastTime && !options.hasCandidate() && isCopied()) finish('copied');
    }
    replica.leave();
    options.announce();
    const stop = every(world, () => lookEvery, look);
  }

  function keysToCopy(): string[] {
    return replica.keys().filter((key) => !isLocalKey(key) && replica.row(key).version > 0);
  }

  /** Nothing is left to copy for a replica that holds nothing, or that others have replaced already. */
  function isCopied(): boolean {
    if (replica.state() === 'blank' || replica.state() === 'fenced') return true;
    return replica.state() === 'voting' && keysToCopy().every((key) => isCurrent(key));
  }

  function isCurrent(key: string): boolean {
    const known = copied.get(key);
    return known !== undefined && !isNewer(replica.row(key), known);
  }

  function copyRows(): void {
    for (const key of keysToCopy()) if (!isCurrent(key) && !copying.has(key)) copyRow(key, replica.row(key));
  }

  /** Sends on the Accept that this replica has accepted; those that stay take it as if it came late from its leader. */
  function copyRow(key: string, row: Row): void {
    copying.add(key);
    const { epoch, version, value } = row;
    const { membershipEpoch } = replica.membership();
    const changes = replica.history(key).list(version);
    function make(id: string): VoteRequest {
      return { kind: 'Accept', id, from: '', key, epoch, membershipEpoch, version, value, changes };
    }
    rounds.start(
      {
        buildRequest: make,
        excludedSlot: replica.slot,
        timeoutUs: roundPatience,
        countsAsYes: (vote) => vote.ok || !isNewer(row, vote),
      },
      (result) => {
        copying.delete(key);
        if (result.won) copied.set(key, row);
      },
    );
  }

  return { begin };
}
