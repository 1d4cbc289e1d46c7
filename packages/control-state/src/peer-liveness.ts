/**
 * What this control node knows of the other replicas from their hellos: which ones are alive and voting, are leaving,
 * have a slow disk, have been silent for so long that they may be replaced, or have an outdated membership record.
 */
import type { MessageOf, ReplicaEntry, World } from '@tansypost/inner-protocol';
import type { Replica } from './replica.js';

/** Settings and callbacks of peer liveness. */
export interface PeerLivenessOptions {
  /** Time without a hello after which a replica may be replaced. */
  readonly missingAfterUs?: number;
  /** Called when a replica is heard again after a silence, or when this node resumes after a pause of its own. */
  readonly onReconnected: () => void;
}

/** The known state of the other replicas. */
export interface PeerLiveness {
  readonly receiveHello: (hello: MessageOf<'ReplicaHello'>) => void;
  /**
   * Resets the state of slots whose disk has changed in the membership record, so that the new disk has time to be
   * heard.
   */
  readonly noteNewDisks: () => void;
  /**
   * Must be called with every hello sent: silence during a pause of this node itself is not held against other
   * replicas.
   */
  readonly noteOwnPause: () => void;
  /** The voting replicas that were heard recently, including this one. */
  readonly live: () => readonly ReplicaEntry[];
  /** The live replicas that are neither leaving nor have a slow disk; all live replicas if there are none. */
  readonly healthy: () => readonly ReplicaEntry[];
  /** Whether this node has listened long enough to know which other replicas are alive. */
  readonly isSettled: () => boolean;
  readonly isLeaving: (slot: number) => boolean;
  readonly isMissing: (slot: number) => boolean;
  /** Whether a disk of the membership record was heard so recently that it must not be replaced. */
  readonly isPresent: (disk: string) => boolean;
  readonly hasSameMembership: (slot: number) => boolean;
  /** When a voting replica was first heard with an older membership record than this one; Infinity if it has none. */
  readonly behindSince: (slot: number) => number;
}

interface PeerStatus {
  readonly heardAt: number;
  readonly voting: boolean;
  readonly healthy: boolean;
  readonly leaving: boolean;
  readonly membershipEpoch: number;
  readonly behindSince: number;
}

/** A replica that was silent for this long may be replaced if a machine is ready to take its slot. */
export const defaultMissingAfterUs = 1_500_000;
const liveTimeoutUs = 1_000_000;
const presenceTimeoutUs = 1_000_000;
/** Listening time after which the set of live replicas counts as known even if no other replica was heard. */
const settleDelayUs = 500_000;
/** A gap of this length between two hellos of this node counts as a pause of its own. */
const ownPauseUs = 900_000;
const reconnectAfterUs = 1_000_000;

/** Creates the table of the other replicas, initially empty. */
export function createPeerLiveness(world: World, replica: Replica, options: PeerLivenessOptions): PeerLiveness {
  const missingAfterUs = options.missingAfterUs ?? defaultMissingAfterUs;
  const peers = new Map<number, PeerStatus>();
  const diskBySlot = new Map<number, string>();
  let lastHelloAt = world.now();
  let listeningSince = world.now();

  function receiveHello(hello: MessageOf<'ReplicaHello'>): void {
    const previous = peers.get(hello.slot);
    const { membershipEpoch } = replica.membership();
    const isBehind = hello.membershipEpoch < membershipEpoch;
    peers.set(hello.slot, {
      heardAt: world.now(),
      voting: hello.state === 'voting',
      healthy: !hello.ill && !hello.leaving,
      leaving: hello.leaving,
      membershipEpoch: hello.membershipEpoch,
      behindSince: isBehind ? Math.min(previous?.behindSince ?? Infinity, world.now()) : Infinity,
    });
    if (previous !== undefined && world.now() - previous.heardAt > reconnectAfterUs) options.onReconnected();
  }

  function noteNewDisks(): void {
    for (const { slot, disk } of replica.membership().replicas) {
      const previousDisk = diskBySlot.get(slot);
      diskBySlot.set(slot, disk);
      if (previousDisk !== undefined && previousDisk !== disk) peers.set(slot, unheardPeer(world.now()));
    }
  }

  function noteOwnPause(): void {
    if (world.now() - lastHelloAt > ownPauseUs) {
      listeningSince = world.now();
      options.onReconnected();
    }
    lastHelloAt = world.now();
  }

  function live(): readonly ReplicaEntry[] {
    return replica.membership().replicas.filter(({ slot }) => {
      if (slot === replica.slot) return replica.state() === 'voting';
      const peer = peers.get(slot);
      return peer !== undefined && peer.voting && world.now() - peer.heardAt < liveTimeoutUs;
    });
  }

  function isHealthy(slot: number): boolean {
    if (slot === replica.slot) return !replica.isSlow() && !replica.isLeaving();
    return peers.get(slot)?.healthy === true;
  }

  function healthy(): readonly ReplicaEntry[] {
    const candidates = live();
    const healthyReplicas = candidates.filter(({ slot }) => isHealthy(slot));
    return healthyReplicas.length > 0 ? healthyReplicas : candidates;
  }

  function isPresent(disk: string): boolean {
    const entry = replica.membership().replicas.find((member) => member.disk === disk);
    if (entry === undefined) return false;
    if (entry.slot === replica.slot) return true;
    const peer = peers.get(entry.slot);
    return peer !== undefined && peer.voting && !peer.leaving && world.now() - peer.heardAt < presenceTimeoutUs;
  }

  return {
    receiveHello,
    noteNewDisks,
    noteOwnPause,
    live,
    healthy,
    isSettled: () => live().length > 1 || world.now() - listeningSince > settleDelayUs,
    isLeaving: (slot) => peers.get(slot)?.leaving === true,
    isMissing: (slot) => world.now() - Math.max(peers.get(slot)?.heardAt ?? 0, listeningSince) > missingAfterUs,
    isPresent,
    hasSameMembership: (slot) => peers.get(slot)?.membershipEpoch === replica.membership().membershipEpoch,
    behindSince: (slot) => peers.get(slot)?.behindSince ?? Infinity,
  };
}

function unheardPeer(now: number): PeerStatus {
  return { heardAt: now, voting: false, healthy: false, leaving: false, membershipEpoch: 0, behindSince: Infinity };
}
