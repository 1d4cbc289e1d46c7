/** Which members are alive: each by the last time its own heartbeat counter rose. */
import type { MemberEntry, Micros, World } from '@tansypost/inner-protocol';

/** What the table is told when it is made. */
export interface MemberTableOptions {
  /** The member that keeps the table; it is not in it. */
  readonly member: string;
  /** How long a heartbeat counter may stand still, in microseconds. */
  readonly failureTimeout: number;
}

/** The other members of the fleet as far as one of them knows. */
export interface MemberTable {
  /** Merges what was heard in. */
  readonly merge: (entries: readonly MemberEntry[]) => void;
  /** Takes out whose heartbeat stands still, and returns them. */
  readonly expire: () => MemberEntry[];
  readonly live: () => MemberEntry[];
  readonly liveCount: () => number;
  /** Whether at least half of the members heard of in the last minute are still heard of. */
  readonly isInContact: () => boolean;
  /** How many live members there are, with those forgotten in the last minute. */
  readonly recentCount: () => number;
}

/** A forgotten member counts for contact for so long, in microseconds. */
const rememberGoneFor = 60_000_000;
/** Within this time of its last heartbeat a member counts as heard of now, in microseconds. */
const heardWithin = 1_500_000;

interface LiveMember {
  readonly entry: MemberEntry;
  readonly rosenAt: Micros;
}

interface GoneMember {
  readonly entry: MemberEntry;
  readonly forgottenAt: Micros;
}

/** Makes an empty table. */
export function createMemberTable(world: Pick<World, 'now' | 'log'>, options: MemberTableOptions): MemberTable {
  const live = new Map<string, LiveMember>();
  const gone = new Map<string, GoneMember>();

  function take(entries: readonly MemberEntry[]): void {
    for (const entry of entries) {
      if (entry.member === options.member || entry.member === '') continue;
      const known = live.get(entry.member);
      // Others may not have forgotten it yet: what they tell of it is no sign of life unless its counter rose since.
      const last = known ?? gone.get(entry.member);
      if (last !== undefined && !isLater(entry, last.entry)) continue;
      if (known === undefined) {
        world.log(3001, { member: entry.member, address: entry.address, zone: entry.zone });
      }
      gone.delete(entry.member);
      live.set(entry.member, { entry, rosenAt: world.now() });
    }
  }

  function forget(): MemberEntry[] {
    const forgotten = [...live.values()].filter((known) => world.now() - known.rosenAt > options.failureTimeout);
    for (const { entry } of forgotten) {
      live.delete(entry.member);
      gone.set(entry.member, { entry, forgottenAt: world.now() });
      world.log(3002, { member: entry.member });
    }
    return forgotten.map((known) => known.entry);
  }

  function contact(): boolean {
    for (const [member, { forgottenAt }] of gone) {
      if (world.now() - forgottenAt > rememberGoneFor) gone.delete(member);
    }
    const heard = [...live.values()].filter((known) => world.now() - known.rosenAt < heardWithin).length;
    const total = live.size + gone.size;
    return 2 * heard >= total && (heard > 0 || total === 0);
  }

  return {
    merge: take,
    expire: forget,
    live: () => [...live.values()].map((known) => known.entry),
    liveCount: () => live.size,
    isInContact: contact,
    recentCount: () => live.size + gone.size,
  };
}

/** Whether an entry is newer than another of the same member. */
function isLater(entry: MemberEntry, other: MemberEntry): boolean {
  return entry.born > other.born || (entry.born === other.born && entry.beat > other.beat);
}
