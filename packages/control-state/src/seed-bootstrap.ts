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
  readonly founders: readonly Address[];
  /** Whether this replica may begin a cluster, or only follow others that do. */
  readonly mayBegin: boolean;
  readonly diskId: () => string;
}

/** Decides when a cluster is founded. */
export interface SeedBootstrap {
  /** Takes in what another replica says of itself; gives the members of the cluster once it is time to found it. */
  readonly heard: (hello: ReplicaHello, slot: number) => readonly ReplicaEntry[] | undefined;
  /** Takes in that the machine at a founder's address holds no state. */
  readonly withoutState: (address: Address) => void;
  /** The members of a cluster that has one founder only. */
  readonly alone: () => readonly ReplicaEntry[] | undefined;
  /** The other founders that were not heard lately. */
  readonly silent: () => readonly Address[];
}

interface HeardBlank {
  readonly disk: string;
  readonly address: string;
  readonly at: number;
}

const heardFor = 2_000_000;

/** Makes the founding side of a blank replica. */
export function createSeedBootstrap(world: World, options: SeedBootstrapOptions): SeedBootstrap {
  const blanks = new Map<number, HeardBlank>();
  const stateless = new Set<Address>();

  function founders(): readonly Address[] {
    return options.founders.filter((address) => !stateless.has(address));
  }

  function heard(hello: ReplicaHello, slot: number): readonly ReplicaEntry[] | undefined {
    if (hello.state === 'blank' && hello.slot >= 0)
      blanks.set(hello.slot, { disk: hello.disk, address: hello.from, at: world.now() });
    else blanks.delete(hello.slot);
    const foundedWithUs = hello.state === 'voting' && hello.membershipEpoch === 1;
    if (foundedWithUs && hello.founders.includes(options.diskId())) return hello.replicas;
    return options.mayBegin && slot >= 0 ? together(slot) : undefined;
  }

  function isFresh({ at }: HeardBlank): boolean {
    return world.now() - at < heardFor;
  }

  function silent(): readonly Address[] {
    const heardLately = new Set([...blanks.values()].filter(isFresh).map(({ address }) => address));
    return founders().filter((address) => address !== options.self && !heardLately.has(address));
  }

  function together(slot: number): readonly ReplicaEntry[] | undefined {
    const fresh = [...blanks].filter(([, blank]) => isFresh(blank));
    if (fresh.length !== founders().length - 1) return undefined;
    const others = fresh.map(([other, blank]) => ({ slot: other, address: blank.address, disk: blank.disk }));
    return [{ slot, address: options.self, disk: options.diskId() }, ...others].sort(
      (left, right) => left.slot - right.slot,
    );
  }

  function alone(): readonly ReplicaEntry[] | undefined {
    const { self } = options;
    const [only, ...others] = founders();
    if (!options.mayBegin || only !== self || others.length > 0) return undefined;
    return [{ slot: 0, address: self, disk: options.diskId() }];
  }

  function withoutState(address: Address): void {
    if (address !== options.self && options.founders.includes(address)) stateless.add(address);
  }

  return { heard, withoutState, alone, silent };
}
