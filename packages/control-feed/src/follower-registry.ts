/** The routers that follow a control node, those that have stopped responding, and the peers that each is sent. */
import { hash32, rendezvous, type Address, type MessageOf, type World } from '@tansypost/inner-protocol';

type Peers = MessageOf<'Peers'>;

/** The followers of one control node. */
export interface FollowerRegistry {
  /** Records a `Follow` message from this address. */
  readonly recordFollow: (address: Address) => void;
  /** The current followers. */
  readonly addresses: () => Address[];
  /** Followers whose next `Follow` is overdue; the process at that address may have restarted without its state. */
  readonly unresponsive: () => Address[];
  /** The peers of a follower that has those with this digest; undefined if the digest is up to date. */
  readonly stalePeersOf: (address: Address, knownDigest: number) => MessageOf<'Peers'> | undefined;
}

/** A follower counts as current for this long after its last `Follow`. */
const followTimeoutUs = 3_000_000;
/** Followers send at least two `Follow` messages in this time. */
const unresponsiveAfterUs = 2_200_000;
/** How often the list is checked for expired followers; a new follower is added at once. */
const checkIntervalUs = 200_000;
/** An unresponsive follower is removed after this time. */
const removeAfterUs = 60_000_000;
const maxPeers = 16;

/** Creates an empty registry. */
export function createFollowerRegistry(world: Pick<World, 'now'>): FollowerRegistry {
  const lastFollowAt = new Map<Address, number>();
  const peersByAddress = new Map<Address, Peers>();
  let current: Address[] = [];
  let lastCheckAt = -Infinity;

  function recordFollow(address: Address): void {
    const isNew = !lastFollowAt.has(address) || timeSinceFollow(address) > followTimeoutUs;
    lastFollowAt.set(address, world.now());
    if (isNew) lastCheckAt = -Infinity;
  }

  function timeSinceFollow(address: Address): number {
    return world.now() - lastFollowAt.get(address)!;
  }

  function addresses(): Address[] {
    if (world.now() - lastCheckAt < checkIntervalUs) return current;
    lastCheckAt = world.now();
    const active = [...lastFollowAt.keys()].filter((address) => timeSinceFollow(address) <= followTimeoutUs);
    if (active.length !== current.length || active.some((address, index) => address !== current[index]))
      peersByAddress.clear();
    current = active;
    return current;
  }

  function unresponsive(): Address[] {
    for (const address of lastFollowAt.keys())
      if (timeSinceFollow(address) > removeAfterUs) lastFollowAt.delete(address);
    return [...lastFollowAt.keys()].filter((address) => timeSinceFollow(address) > unresponsiveAfterUs);
  }

  /** A subset of the other followers, or all of them while they are few. */
  function selectPeers(address: Address): Peers {
    const others = addresses().filter((other) => other !== address);
    const peers = rendezvous(address, others, (other) => other)
      .slice(0, maxPeers)
      .sort();
    return { kind: 'Peers', digest: hash32(peers.join()), addresses: peers, all: others.length <= peers.length };
  }

  /** The peers of a follower are cached until the set of followers changes. */
  function stalePeersOf(address: Address, knownDigest: number): Peers | undefined {
    addresses();
    let peers = peersByAddress.get(address);
    if (peers === undefined) peersByAddress.set(address, (peers = selectPeers(address)));
    return peers.digest === knownDigest ? undefined : peers;
  }

  return { recordFollow, addresses, unresponsive, stalePeersOf };
}
