/**
 * Bootstrap of a cluster by its configured seeds. Each blank replica writes the same membership record once it has
 * recently heard from all the others, so none can bootstrap a cluster without the rest. A seed that holds no control
 * state says so and is not waited for. Because it never holds any, all others arrive at the same bootstrap members.
 */
import type { Address, MessageOf, ReplicaEntry, World } from '@tansypost/inner-protocol';

type ReplicaHello = MessageOf<'ReplicaHello'>;

/** Which machines may bootstrap a cluster together. */
export interface SeedBootstrapOptions {
  readonly self: Address;
  /** Addresses of the configured bootstrap members, including this one. */
  readonly members: readonly Address[];
  /** Whether this replica may start a bootstrap; otherwise it only joins one that others have started. */
  readonly mayBootstrap: boolean;
  readonly diskId: () => string;
}

/** Decides when the cluster is bootstrapped. */
export interface SeedBootstrap {
  /** Handles the hello of another replica; returns the members of the cluster once it may be bootstrapped. */
  readonly receiveHello: (hello: ReplicaHello, slot: number) => readonly ReplicaEntry[] | undefined;
  /** Records that the machine at a bootstrap member's address holds no control state and never will. */
  readonly markStateless: (address: Address) => void;
  /** The membership of a cluster whose only bootstrap member is this replica. */
  readonly soleMember: () => readonly ReplicaEntry[] | undefined;
  /** The other bootstrap members that have not been heard from recently. */
  readonly unheardMembers: () => readonly Address[];
}

interface BlankPeer {
  readonly disk: string;
  readonly address: string;
  readonly heardAt: number;
}

/** A hello counts as recent for this long. */
const helloFreshnessUs = 2_000_000;

/** Creates the seed bootstrap of a blank replica. */
export function createSeedBootstrap(world: World, options: SeedBootstrapOptions): SeedBootstrap {
  const blankPeers = new Map<number, BlankPeer>();
  const statelessMembers = new Set<Address>();

  function expectedMembers(): readonly Address[] {
    return options.members.filter((address) => !statelessMembers.has(address));
  }

  function receiveHello(hello: ReplicaHello, slot: number): readonly ReplicaEntry[] | undefined {
    if (hello.state === 'blank' && hello.slot >= 0)
      blankPeers.set(hello.slot, { disk: hello.disk, address: hello.from, heardAt: world.now() });
    else blankPeers.delete(hello.slot);
    const hasBootstrapped = hello.state === 'voting' && hello.membershipEpoch === 1;
    if (hasBootstrapped && hello.founders.includes(options.diskId())) return hello.replicas;
    return options.mayBootstrap && slot >= 0 ? membersOnceComplete(slot) : undefined;
  }

  function isFresh({ heardAt: at }: BlankPeer): boolean {
    return world.now() - at < helloFreshnessUs;
  }

  function unheardMembers(): readonly Address[] {
    const heardRecently = new Set([...blankPeers.values()].filter(isFresh).map(({ address }) => address));
    return expectedMembers().filter((address) => address !== options.self && !heardRecently.has(address));
  }

  function membersOnceComplete(slot: number): readonly ReplicaEntry[] | undefined {
    const freshPeers = [...blankPeers].filter(([, blank]) => isFresh(blank));
    if (freshPeers.length !== expectedMembers().length - 1) return undefined;
    const others = freshPeers.map(([other, blank]) => ({ slot: other, address: blank.address, disk: blank.disk }));
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
