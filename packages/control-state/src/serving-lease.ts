/**
 * Leases to hand out a key as current. A node holds one for a short time after a majority has confirmed, in a round
 * that it began at the time the lease counts from, that no majority can hold anything newer than what it hands out:
 * whatever was acknowledged before is on a majority, so one of those that answer shows it. What a node hands out under
 * a lease is therefore at most `leaseLength` behind the newest acknowledgement, and a newer value on a majority ends
 * the lease at its next renewal. The length counts by this node's own monotonic clock, from its asking, less a part
 * for clocks that run too slow.
 */
import { micros, type Micros } from '@tansypost/inner-protocol';
import type { Vote, VoteRequest } from './acceptor.js';
import type { NodeContext } from './node-context.js';
import type { CommittedRows } from './committed-rows.js';
import { emptyRow, isNewer, type RowVersion } from './row.js';

/** How far what is handed out under a lease may be behind, in microseconds. */
export const servingLeaseUs = 1_000_000;

/** By what part a clock may run slow, at the most. */
export const maxClockDrift = 0.01;

/** The serving leases of one node, by key. */
export interface ServingLeases {
  /** Keeps the lease of a key alive for as long as somebody asks for it. */
  readonly want: (key: string) => void;
  /** Whether this node may hand out the key's newest committed row as current. */
  readonly holds: (key: string) => boolean;
  /** Begins the next renewals; to be called every `renewEvery`. */
  readonly renew: () => void;
}

/** How often leases are renewed. */
export const renewalInterval: Micros = micros(300_000);
/** Above any epoch in use, so that every replica's confirmation counts whoever leads the key. */
const anyEpoch = 2 ** 52;
const wantedFor = 10_000_000;
const roundPatience = 500_000;

interface Lease {
  wantedUntil: number;
  validUntil: number;
  renewing: boolean;
}

/** Makes the serving leases of a node; it holds none yet. */
export function createServingLeases(cluster: NodeContext, committed: CommittedRows): ServingLeases {
  const { world, replica, rounds } = cluster;
  const leases = new Map<string, Lease>();

  function want(key: string): void {
    const lease = leases.get(key);
    if (lease !== undefined) {
      lease.wantedUntil = world.now() + wantedFor;
      return;
    }
    const begun: Lease = { wantedUntil: world.now() + wantedFor, validUntil: -Infinity, renewing: false };
    leases.set(key, begun);
    renewOne(key, begun);
  }

  function holds(key: string): boolean {
    return replica.state() === 'voting' && world.now() < (leases.get(key)?.validUntil ?? -Infinity);
  }

  function renew(): void {
    for (const [key, lease] of leases) {
      if (lease.wantedUntil < world.now()) leases.delete(key);
      else renewOne(key, lease);
    }
  }

  function renewOne(key: string, lease: Lease): void {
    if (lease.renewing || replica.state() !== 'voting') return;
    lease.renewing = true;
    const askedAt = world.now();
    const { membershipEpoch } = replica.membership();
    function make(id: string): VoteRequest {
      return { kind: 'Check', id, from: '', key, epoch: anyEpoch, membershipEpoch };
    }
    rounds.start({ buildRequest: make, timeoutUs: roundPatience }, (confirmed) => {
      lease.renewing = false;
      const current = confirmed.won && newestOf(confirmed.votes).version <= committed.newest(key).version;
      if (current) lease.validUntil = askedAt + servingLeaseUs * (1 - maxClockDrift);
    });
  }

  return { want, holds, renew };
}

function newestOf(votes: readonly Vote[]): RowVersion {
  return votes.reduce<RowVersion>((found, vote) => (isNewer(vote, found) ? vote : found), emptyRow);
}
