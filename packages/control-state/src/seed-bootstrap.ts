/**
 * How a cluster begins: the blank replicas of its first machines write one and the same membership record once each of
 * them has heard all the others lately, so none can found a cluster without the rest. A machine among them that holds no
 * state says so and is not waited for; as it never holds any, all others come to the same founders.
 */
import type { Address, MessageOf, ReplicaEntry, World } from '@tansypost/inner-protocol';

type ReplicaHello = MessageOf<'ReplicaHello'>;

/** Who may found a cluster together. */
export interface SeedBootstrapOptions {
  readonly self: Address;
  /** The addresses of the founders, this one among them. */
  readonly members: readonly Address[];
  /** Whether this replica may begin a cluster, or only follow others that do. */
  readonly mayBootstrap: boolean;
  readonly diskId: () => string;
}

/** Decides when a cluster is founded. */
export interface SeedBootstrap {
  /** Takes in what another replica says of itself; gives the members of the cluster once it is time to found it. */
  readonly receiveHello: (hello: ReplicaHello, slot: number) => readonly ReplicaEntry[] | undefined;
  /** Takes in that the machine at a founder's address holds no state. */
  readonly markStateless: (address: Address) => void;
  /** The members of a cluster that has one founder only. */
  readonly soleMember: () => readonly ReplicaEntry[] | undefined;
  /** The other founders that were not heard lately. */
  readonly unheardMembers: () => readonly Address[];
}

interface BlankPeer {
  readonly disk: string;
  readonly address: string;
  readonly at: number;
}

const helloFreshnessUs = 2_000_000;

/** Makes the founding side of a blank replica. */
export function createSeedBootstrap(world: World, options: SeedBootstrapOptions): SeedBootstrap {
  const blankPeers = new Map<number, BlankPeer>();
  const statelessMembers = new Set<Address>();

  function expectedMembers(): readonly Address[] {
    return options.members.filter((address) => !statelessMembers.has(address));
  }

  function receiveHello(hello: ReplicaHello, slot: number): readonly ReplicaEntry[] | undefined {
    if (hello.state === 'blank' && hello.slot >= 0)
      blankPeers.set(hello.slot, { disk: hello.disk, address: hello.from, at: world.now() });
    else blankPeers.delete(hello.slot);
    const hasBootstrapped = hello.state === 'voting' && hello.membershipEpoch === 1;
    if (hasBootstrapped && hello.founders.includes(options.diskId())) return hello.replicas;
    return options.mayBootstrap && slot >= 0 ? membersOnceComplete(slot) : undefined;
  }

  function isFresh({ at }: BlankPeer): boolean {
    return world.now() - at < helloFreshnessUs;
  }

  function unheardMembers(): readonly Address[] {
    const heardRecently = new Set([...blankPeers.values()].filter(isFresh).map(({ address }) => address));
    return expectedMembers().filter((address) => address !== options.self && !heardRecently.has(address));
  }

  function membersOnceComplete(slot: number): readonly ReplicaEntry[] | undefined {
    const fresh = [...blankPeers].filter(([, blank]) => isFresh(blank));
    if (fresh.length !== expectedMembers().length - 1) return undefined;
    const others = fresh.map(([other, blank]) => ({ slot: other, address: blank.address, disk: blank.disk }));
    return [{ slot, address: options.self, disk: options.diskId() }, ...others].sort(
      (left, right) => left.slot - right.slot,
    );
  }

  function soleMember(): readonly ReplicaEntry[] | undefined {
    const { self } = options;
    const [only, ...others] = expectedMembers();
    if (!options.mayBootstrap || only !== self || others.length > 0) return undefined;
    return [{ slot: 0, address: self, disk: options.diskId() }];
  }

  function markStateless(address: Address): void {
    if (address !== options.self && options.members.includes(address)) statelessMembers.add(address);
  }

  return { receiveHello, markStateless, soleMember, unheardMembers };
}
