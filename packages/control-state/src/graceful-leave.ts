/**
 * Graceful leave of a replica. The replica announces that it is leaving, so that other replicas take over its keys and
 * a learner may take its slot, and it keeps voting meanwhile. It may stop once it has been replaced and its successor
 * votes. If no machine is ready to take its slot, it may stop once everything on its disk is on a majority of the
 * remaining replicas, so that no acknowledged write exists only on its disk and one other.
 */
import { every, micros } from '@tansypost/inner-protocol';
import type { VoteRequest } from './acceptor.js';
import { isLocalKey, type NodeContext } from './node-context.js';
import { isNewer, type Row } from './row.js';

/**
 * `replaced`: a successor votes; `copied`: the remaining replicas hold everything; `incomplete`: the timeout expired
 * before either.
 */
export type LeaveResult = 'replaced' | 'copied' | 'incomplete';

/** Dependencies of a graceful leave on the node. */
export interface GracefulLeaveOptions {
  readonly node: NodeContext;
  /** Whether a machine is ready to take this replica's slot. */
  readonly hasJoinCandidate: () => boolean;
  /** Immediately tells the other replicas that this one is leaving. */
  readonly announce: () => void;
}

/** The graceful leave of one replica. */
export interface GracefulLeave {
  /** Starts leaving and calls back with the result within `timeoutUs`. */
  readonly start: (timeoutUs: number, done: (result: LeaveResult) => void) => void;
}

const checkInterval = micros(50_000);
/** Leaves the other replicas time to take over the leadership of this replica's keys. */
const minDurationUs = 300_000;
const roundTimeoutUs = 1_000_000;

/** Creates the graceful leave of a node; nothing happens before `start`. */
export function createGracefulLeave(options: GracefulLeaveOptions): GracefulLeave {
  const { world, replica, rounds } = options.node;
  const copied = new Map<string, Row>();
  const copying = new Set<string>();

  function start(timeoutUs: number, done: (result: LeaveResult) => void): void {
    const startedAt = world.now();
    function finish(result: LeaveResult): void {
      stop();
      world.log(2012, { result, tookMs: Math.round((world.now() - startedAt) / 1000) });
      done(result);
    }
    function check(): void {
      const elapsedUs = world.now() - startedAt;
      if (replica.isSuccessorVoting()) return finish('replaced');
      if (elapsedUs >= timeoutUs) return finish('incomplete');
      if (replica.state() === 'voting') copyRows();
      if (elapsedUs >= minDurationUs && !options.hasJoinCandidate() && isCopied()) finish('copied');
    }
    replica.leave();
    options.announce();
    const stop = every(world, () => checkInterval, check);
  }

  function keysToCopy(): string[] {
    return replica.keys().filter((key) => !isLocalKey(key) && replica.row(key).version > 0);
  }

  /** A replica that holds nothing, or that has already been replaced, has nothing to copy. */
  function isCopied(): boolean {
    if (replica.state() === 'blank' || replica.state() === 'fenced') return true;
    return replica.state() === 'voting' && keysToCopy().every((key) => isCurrent(key));
  }

  function isCurrent(key: string): boolean {
    const copiedRow = copied.get(key);
    return copiedRow !== undefined && !isNewer(replica.row(key), copiedRow);
  }

  function copyRows(): void {
    for (const key of keysToCopy()) if (!isCurrent(key) && !copying.has(key)) copyRow(key, replica.row(key));
  }

  /** Repeats the Accept that this replica has accepted; the others treat it as a delayed Accept of its leader. */
  function copyRow(key: string, row: Row): void {
    copying.add(key);
    const { epoch, version, value } = row;
    const { membershipEpoch } = replica.membership();
    const changes = replica.history(key).list(version);
    function buildRequest(id: string): VoteRequest {
      return { kind: 'Accept', id, from: '', key, epoch, membershipEpoch, version, value, changes };
    }
    rounds.start(
      {
        buildRequest,
        excludedSlot: replica.slot,
        timeoutUs: roundTimeoutUs,
        countsAsYes: (vote) => vote.ok || !isNewer(row, vote),
      },
      (result) => {
        copying.delete(key);
        if (result.won) copied.set(key, row);
      },
    );
  }

  return { start };
}
