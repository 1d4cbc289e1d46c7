/** Which routers follow a control node, which of them have gone silent, and what is told to a router of the others. */
import { hash32, rendezvous, type Address, type MessageOf, type World } from '@tansypost/inner-protocol';

export interface FollowerRegistry {
  readonly heard: (address: Address) => void;
  /** Those that have asked lately. */
  readonly addresses: () => Address[];
  /** Those that asked often and have missed their time; a process without a memory may have begun there. */
  readonly silent: () => Address[];
  /** The other followers, for one that knows them by that digest; undefined if it is right. */
  readonly peersFor: (address: Address, knownDigest: number) => MessageOf<'Peers'> | undefined;
}

const keptFor = 3_000_000;
/** Followers ask more than twice in this time. */
const silentAfter = 1_200_000;
/** After so long a silent follower is taken for gone. */
const soughtFor = 60_000_000;
const mostPeers = 16;

export function createFollowerRegistry(world: Pick<World, 'now'>): FollowerRegistry {
  const heardAt = new Map<Address, number>();

  function silence(address: Address): number {
    return world.now() - heardAt.get(address)!;
  }

  function addresses(): Address[] {
    return [...heardAt.keys()].filter((address) => silence(address) <= keptFor);
  }

  function silent(): Address[] {
    for (const address of heardAt.keys()) if (silence(address) > soughtFor) heardAt.delete(address);
    return [...heardAt.keys()].filter((address) => silence(address) > silentAfter);
  }

  /** A follower's part of the others: all of them while they are few. */
  function peersOf(address: Address): { readonly peers: Address[]; readonly all: boolean } {
    const others = addresses().filter((other) => other !== address);
    const peers = rendezvous(address, others, (other) => other)
      .slice(0, mostPeers)
      .sort();
    return { peers, all: others.length <= peers.length };
  }

  function peersFor(address: Address, knownDigest: number): MessageOf<'Peers'> | undefined {
    const { peers, all } = peersOf(address);
    const digest = hash32(peers.join());
    return digest === knownDigest ? undefined : { kind: 'Peers', digest, addresses: peers, all };
  }

  return { heard: (address) => void heardAt.set(address, world.now()), addresses, silent, peersFor };
}
