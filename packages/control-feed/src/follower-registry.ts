/** Which routers follow a control node, which of them have gone silent, and what is told to a router of the others. */
import { hash32, rendezvous, type Address, type MessageOf, type World } from '@tansypost/inner-protocol';

type Peers = MessageOf<'Peers'>;

export interface FollowerRegistry {
  readonly recordFollow: (address: Address) => void;
  /** Those that have asked lately. */
  readonly addresses: () => Address[];
  /** Those that asked often and have missed their time; a process without a memory may have begun there. */
  readonly unresponsive: () => Address[];
  /** The other followers, for one that knows them by that digest; undefined if it is right. */
  readonly peersFor: (address: Address, knownDigest: number) => MessageOf<'Peers'> | undefined;
}

const keptFor = 3_000_000;
/** Followers ask at least twice in this time. */
const silentAfter = 2_200_000;
/** Who has gone silent is looked for so often; who is new is known at once. */
const lookEvery = 200_000;
/** After so long a silent follower is taken for gone. */
const soughtFor = 60_000_000;
const mostPeers = 16;

export function createFollowerRegistry(world: Pick<World, 'now'>): FollowerRegistry {
  const heardAt = new Map<Address, number>();
  const peersByAddress = new Map<Address, Peers>();
  let present: Address[] = [];
  let lookedAt = -Infinity;

  function heard(address: Address): void {
    const isNew = !heardAt.has(address) || silence(address) > keptFor;
    heardAt.set(address, world.now());
    if (isNew) lookedAt = -Infinity;
  }

  function silence(address: Address): number {
    return world.now() - heardAt.get(address)!;
  }

  function addresses(): Address[] {
    if (world.now() - lookedAt < lookEvery) return present;
    lookedAt = world.now();
    const found = [...heardAt.keys()].filter((address) => silence(address) <= keptFor);
    if (found.length !== present.length || found.some((address, index) => address !== present[index]))
      peersByAddress.clear();
    present = found;
    return present;
  }

  function silent(): Address[] {
    for (const address of heardAt.keys()) if (silence(address) > soughtFor) heardAt.delete(address);
    return [...heardAt.keys()].filter((address) => silence(address) > silentAfter);
  }

  /** A follower's part of the others: all of them while they are few. */
  function findPeers(address: Address): Peers {
    const others = addresses().filter((other) => other !== address);
    const peers = rendezvous(address, others, (other) => other)
      .slice(0, mostPeers)
      .sort();
    return { kind: 'Peers', digest: hash32(peers.join()), addresses: peers, all: others.length <= peers.length };
  }

  /** Worked out once for each follower until another set of followers is there. */
  function peersFor(address: Address, knownDigest: number): Peers | undefined {
    addresses();
    let peers = peersByAddress.get(address);
    if (peers === undefined) peersByAddress.set(address, (peers = findPeers(address)));
    return peers.digest === knownDigest ? undefined : peers;
  }

  return { recordFollow: heard, addresses, unresponsive: silent, peersFor };
}
