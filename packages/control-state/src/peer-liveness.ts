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
  readonly onReconnected: () => void;
}

/** What is known of the other replicas. */
export interface PeerLiveness {
  readonly receiveHello: (hello: MessageOf<'ReplicaHello'>) => void;
  /** Gives a disk that is new in the membership record the same time to be heard as any other. */
  readonly noteNewDisks: () => void;
  /** To be called at every greeting: a silence of this node's own counts against nobody. */
  readonly noteOwnPause: () => void;
  /** The replicas that vote and were heard lately, this one among them. */
  readonly live: () => readonly ReplicaEntry[];
  /** Of the live ones those that neither leave nor wait for their disks, if there are any. */
  readonly healthy: () => readonly ReplicaEntry[];
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

interface PeerStatus {
  readonly at: number;
  readonly voting: boolean;
  readonly healthy: boolean;
  readonly leaving: boolean;
  readonly membershipEpoch: number;
  readonly behindSince: number;
}

/** A replica that was silent this long may be replaced, where a machine stands ready to take its slot. */
export const defaultMissingAfterUs = 1_500_000;
const liveTimeoutUs = 1_000_000;
const presenceTimeoutUs = 1_000_000;
const settleDelayUs = 500_000;
const ownPauseUs = 900_000;
const reconnectAfterUs = 1_000_000;

/** Makes the table of the other replicas; it knows nobody yet. */
export function createPeerLiveness(world: World, replica: Replica, options: PeerLivenessOptions): PeerLiveness {
  const missingAfterUs = options.missingAfterUs ?? defaultMissingAfterUs;
  const peers = new Map<number, PeerStatus>();
  const diskBySlot = new Map<number, string>();
  let lastHelloAt = world.now();
  let listeningSince = world.now();

  function receiveHello(hello: MessageOf<'ReplicaHello'>): void {
    const known = peers.get(hello.slot);
    const { membershipEpoch } = replica.membership();
    const isBehind = hello.membershipEpoch < membershipEpoch;
    peers.set(hello.slot, {
      at: world.now(),
      voting: hello.state === 'voting',
      healthy: !hello.ill && !hello.leaving,
      leaving: hello.leaving,
      membershipEpoch: hello.membershipEpoch,
      behindSince: isBehind ? Math.min(known?.behindSince ?? Infinity, world.now()) : Infinity,
    });
    if (known !== undefined && world.now() - known.at > reconnectAfterUs) options.onReconnected();
  }

  function noteNewDisks(): void {
    for (const { slot, disk } of replica.membership().replicas) {
      const present = diskBySlot.get(slot);
      diskBySlot.set(slot, disk);
      if (present !== undefined && present !== disk) peers.set(slot, unheardPeer(world.now()));
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
      return peer !== undefined && peer.voting && world.now() - peer.at < liveTimeoutUs;
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
    return peer !== undefined && peer.voting && !peer.leaving && world.now() - peer.at < presenceTimeoutUs;
  }

  return {
    receiveHello,
    noteNewDisks,
    noteOwnPause,
    live,
    healthy,
    isSettled: () => live().length > 1 || world.now() - listeningSince > settleDelayUs,
    isLeaving: (slot) => peers.get(slot)?.leaving === true,
    isMissing: (slot) => world.now() - Math.max(peers.get(slot)?.at ?? 0, listeningSince) > missingAfterUs,
    isPresent,
    hasSameMembership: (slot) => peers.get(slot)?.membershipEpoch === replica.membership().membershipEpoch,
    behindSince: (slot) => peers.get(slot)?.behindSince ?? Infinity,
  };
}

function unheardPeer(now: number): PeerStatus {
  return { at: now, voting: false, healthy: false, leaving: false, membershipEpoch: 0, behindSince: Infinity };
}
