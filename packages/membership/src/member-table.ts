/** Tracks which members are alive, by the time at which each member's own heartbeat counter last rose. */
import type { MemberEntry, Micros, World } from '@tansypost/inner-protocol';

/** Options of the table. */
export interface MemberTableOptions {
  /** The member that owns the table; it isn't in it. */
  readonly member: string;
  /** A member is considered failed if its heartbeat counter hasn't risen for this long, in microseconds. */
  readonly failureTimeout: number;
}

/** The other members of the fleet known to one of them. */
export interface MemberTable {
  /** Merges received entries. */
  readonly merge: (entries: readonly MemberEntry[]) => void;
  /** Removes the members whose heartbeat has stopped, and returns them. */
  readonly expire: () => MemberEntry[];
  readonly live: () => MemberEntry[];
  readonly liveCount: () => number;
  /** Whether the heartbeats of at least half of the members known in the last minute are still rising. */
  readonly isInContact: () => boolean;
  /** Number of live members and of those that failed in the last minute. */
  readonly recentCount: () => number;
}

/** How long a failed member still counts in `isInContact` and `recentCount`. */
const failedRetentionUs = 60_000_000;
/** A member counts as in contact for this long after its last heartbeat. */
const contactTimeoutUs = 1_500_000;

interface LiveMember {
  readonly entry: MemberEntry;
  /** When the heartbeat counter last rose. */
  readonly lastHeartbeatAt: Micros;
}

interface FailedMember {
  readonly entry: MemberEntry;
  readonly failedAt: Micros;
}

/** Creates an empty table. */
export function createMemberTable(world: Pick<World, 'now' | 'log'>, options: MemberTableOptions): MemberTable {
  const live = new Map<string, LiveMember>();
  const failed = new Map<string, FailedMember>();

  function merge(entries: readonly MemberEntry[]): void {
    for (const entry of entries) {
      if (entry.member === options.member || entry.member === '') continue;
      const known = live.get(entry.member);
      // Other members may still send the entry of a failed member; it is alive only if its counter has risen since.
      const latest = known ?? failed.get(entry.member);
      if (latest !== undefined && !isNewer(entry, latest.entry)) continue;
      if (known === undefined) {
        world.log(3001, { member: entry.member, address: entry.address, zone: entry.zone });
      }
      failed.delete(entry.member);
      live.set(entry.member, { entry, lastHeartbeatAt: world.now() });
    }
  }

  function expire(): MemberEntry[] {
    const expired = [...live.values()].filter((known) => world.now() - known.lastHeartbeatAt > options.failureTimeout);
    for (const { entry } of expired) {
      live.delete(entry.member);
      failed.set(entry.member, { entry, failedAt: world.now() });
      world.log(3002, { member: entry.member });
    }
    return expired.map((known) => known.entry);
  }

  function isInContact(): boolean {
    for (const [member, { failedAt }] of failed) {
      if (world.now() - failedAt > failedRetentionUs) failed.delete(member);
    }
    const inContact = [...live.values()].filter(
      (known) => world.now() - known.lastHeartbeatAt < contactTimeoutUs,
    ).length;
    const total = live.size + failed.size;
    return 2 * inContact >= total && (inContact > 0 || total === 0);
  }

  return {
    merge,
    expire,
    live: () => [...live.values()].map((known) => known.entry),
    liveCount: () => live.size,
    isInContact,
    recentCount: () => live.size + failed.size,
  };
}

/** Whether an entry is newer than another one of the same member. */
function isNewer(entry: MemberEntry, other: MemberEntry): boolean {
  return entry.born > other.born || (entry.born === other.born && entry.beat > other.beat);
}
