/**
 * Serving leases: a node that holds the serving lease of a key may serve its newest committed row as current. The lease
 * is granted when a majority has confirmed, in a round that this node started, that no majority can hold a newer row
 * than the one it serves: every acknowledged write is on a majority, so at least one of the votes shows it. The lease
 * is valid from the start of that round. A row served under a lease is therefore at most `servingLeaseUs` older than
 * the newest acknowledged write, and a newer row on a majority ends the lease at its next renewal. The duration is
 * measured by this node's monotonic clock, reduced by a margin for clocks that run slow.
 */
import { micros, type Micros } from '@tansypost/inner-protocol';
import type { Vote, VoteRequest } from './acceptor.js';
import type { NodeContext } from './node-context.js';
import type { CommittedRows } from './committed-rows.js';
import { emptyRow, isNewer, type RowVersion } from './row.js';

/** Duration of a serving lease, and the maximum staleness of a row served under it. */
export const servingLeaseUs = 1_000_000;

/** Maximum fraction by which a clock may run slow. */
export const maxClockDrift = 0.01;

/** The serving leases of one node, by key. */
export interface ServingLeases {
  /** Renews the lease of a key for as long as it is requested. */
  readonly keepAlive: (key: string) => void;
  /** Whether this node may serve the key's newest committed row as current. */
  readonly holds: (key: string) => boolean;
  /** Starts the next renewals; must be called every `renewalInterval`. */
  readonly renew: () => void;
}

/** Interval between renewals. */
export const renewalInterval: Micros = micros(300_000);
/** Above any epoch in use, so that the vote of every replica counts whichever node leads the key. */
const epochAboveAll = 2 ** 52;
/** How long a lease is renewed after it was last requested. */
const leaseRetentionUs = 10_000_000;
const roundTimeoutUs = 500_000;

interface Lease {
  keepUntil: number;
  validUntil: number;
  isRenewing: boolean;
}

/** Creates the serving leases of a node; it holds none yet. */
export function createServingLeases(node: NodeContext, committed: CommittedRows): ServingLeases {
  const { world, replica, rounds } = node;
  const leases = new Map<string, Lease>();

  function keepAlive(key: string): void {
    const lease = leases.get(key);
    if (lease !== undefined) {
      lease.keepUntil = world.now() + leaseRetentionUs;
      return;
    }
    const created: Lease = { keepUntil: world.now() + leaseRetentionUs, validUntil: -Infinity, isRenewing: false };
    leases.set(key, created);
    renewLease(key, created);
  }

  function holds(key: string): boolean {
    return replica.state() === 'voting' && world.now() < (leases.get(key)?.validUntil ?? -Infinity);
  }

  function renew(): void {
    for (const [key, lease] of leases) {
      if (lease.keepUntil < world.now()) leases.delete(key);
      else renewLease(key, lease);
    }
  }

  function renewLease(key: string, lease: Lease): void {
    if (lease.isRenewing || replica.state() !== 'voting') return;
    lease.isRenewing = true;
    const startedAt = world.now();
    const { membershipEpoch } = replica.membership();
    function buildRequest(id: string): VoteRequest {
      return { kind: 'Check', id, from: '', key, epoch: epochAboveAll, membershipEpoch };
    }
    rounds.start({ buildRequest, timeoutUs: roundTimeoutUs }, (round) => {
      lease.isRenewing = false;
      const isCurrent = round.won && newestOf(round.votes).version <= committed.newest(key).version;
      if (isCurrent) lease.validUntil = startedAt + servingLeaseUs * (1 - maxClockDrift);
    });
  }

  return { keepAlive, holds, renew };
}

function newestOf(votes: readonly Vote[]): RowVersion {
  return votes.reduce<RowVersion>((found, vote) => (isNewer(vote, found) ? vote : found), emptyRow);
}
