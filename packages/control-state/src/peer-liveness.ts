/**
 * What this control node knows of the other replicas from their hellos: who is alive and votes, who is leaving, whose
 * disk keeps it waiting, who has been silent so long that it may be replaced, and who has an older membership record.
 */
import type { MessageOf, ReplicaEntry, World } from '@tansypost/inner-protocol';
import type { Replica } from './replica.js';

/** When a replica counts as missing, and who is told of a reunion. */
export interface PeerLivenessOptions {
  /** After what silence a replica may be replaced. */
  readonly missingAfterUs?: number;
  /** Told when a replica is heard again after a silence, or this node after one of its own. */
  readonly reunited: () => void;
}

/** What is known of the other replicas. */
export interface PeerLiveness {
  readonly heard: (hello: MessageOf<'ReplicaHello'>) => void;
  /** Gives a disk that is new in the membership record the same time to be heard as any other. */
  readonly noticeNewDisks: () => void;
  /** To be called at every greeting: a silence of this node's own counts against nobody. */
  readonly noticeOwnSilence: () => void;
  /** The replicas that vote and were heard lately, this one among them. */
  readonly live: () => readonly ReplicaEntry[];
  /** Of the live ones those that neither leave nor wait for their disks, if there are any. */
  readonly fit: () => readonly ReplicaEntry[];
  /** Whether this node has listened long enough to know who is there. */
  readonly isSettled: () => boolean;
  readonly isLeaving: (slot: number) => boolean;
  readonly isMissing: (slot: number) => boolean;
  /** Whether a disk of the membership record was heard so lately that it must not be replaced. */
  readonly isPresent: (disk: string) => boolean;
  readonly hasSameMembership: (slot: number) => boolean;
  /** Since when a voting replica has had an older membership record than this one; Infinity if it has not. */
  readonly behindSince: (slot: number) => number;
}

interface Heard {
  readonly at: number;
  readonly voting: boolean;
  readonly fit: boolean;
  readonly leaving: boolean;
  readonly membershipEpoch: number;
  readonly behindSince: number;
}

/** A replica that was silent this long may be replaced, where a machine stands ready to take its slot. */
export const defaultMissingAfter = 1_500_000;
const liveFor = 1_000_000;
const presentFor = 1_000_000;
const settledAfter = 500_000;
const ownSilence = 900_000;
const reunionAfter = 1_000_000;

/** Makes the table of the other replicas; it knows nobody yet. */
export function createPeerLiveness(world: World, replica: Replica, options: PeerLivenessOptions): PeerLiveness {
  const missingAfter = options.missingAfterUs ?? defaultMissingAfter;
  const peers = new Map<number, Heard>();
  const disks = new Map<number, string>();
  let greetedAt = world.now();
  let hearingSince = world.now();

  function heard(hello: MessageOf<'ReplicaHello'>): void {
    const known = peers.get(hello.slot);
    const { membershipEpoch } = replica.membership();
    const behind = hello.membershipEpoch < membershipEpoch;
    peers.set(hello.slot, {
      at: world.now(),
      voting: hello.state === 'voting',
      fit: !hello.ill && !hello.leaving,
      leaving: hello.leaving,
      membershipEpoch: hello.membershipEpoch,
      behindSince: behind ? Math.min(known?.behindSince ?? Infinity, world.now()) : Infinity,
    });
    if (known !== undefined && world.now() - known.at > reunionAfter) options.reunited();
  }

  function noticeNewDisks(): void {
    for (const { slot, disk } of replica.membership().replicas) {
      const present = disks.get(slot);
      disks.set(slot, disk);
      if (present !== undefined && present !== disk) peers.set(slot, notHeard(world.now()));
    }
  }

  function noticeOwnSilence(): void {
    if (world.now() - greetedAt > ownSilence) {
      hearingSince = world.now();
      options.reunited();
    }
    greetedAt = world.now();
  }

  function live(): readonly ReplicaEntry[] {
    return replica.membership().replicas.filter(({ slot }) => {
      if (slot === replica.slot) return replica.state() === 'voting';
      const peer = peers.get(slot);
      return peer !== undefined && peer.voting && world.now() - peer.at < liveFor;
    });
  }

  function isFit(slot: number): boolean {
    if (slot === replica.slot) return !replica.isSlow() && !replica.isLeaving();
    return peers.get(slot)?.fit === true;
  }

  function fit(): readonly ReplicaEntry[] {
    const candidates = live();
    const found = candidates.filter(({ slot }) => isFit(slot));
    return found.length > 0 ? found : candidates;
  }

  function isPresent(disk: string): boolean {
    const entry = replica.membership().replicas.find((member) => member.disk === disk);
    if (entry === undefined) return false;
    if (entry.slot === replica.slot) return true;
    const peer = peers.get(entry.slot);
    return peer !== undefined && peer.voting && !peer.leaving && world.now() - peer.at < presentFor;
  }

  return {
    heard,
    noticeNewDisks,
    noticeOwnSilence,
    live,
    fit,
    isSettled: () => live().length > 1 || world.now() - hearingSince > settledAfter,
    isLeaving: (slot) => peers.get(slot)?.leaving === true,
    isMissing: (slot) => world.now() - Math.max(peers.get(slot)?.at ?? 0, hearingSince) > missingAfter,
    isPresent,
    hasSameMembership: (slot) => peers.get(slot)?.membershipEpoch === replica.membership().membershipEpoch,
    behindSince: (slot) => peers.get(slot)?.behindSince ?? Infinity,
  };
}

function notHeard(now: number): Heard {
  return { at: now, voting: false, fit: false, leaving: false, membershipEpoch: 0, behindSince: Infinity };
}
