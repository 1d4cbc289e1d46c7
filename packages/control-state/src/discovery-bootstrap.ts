/**
 * How a cluster begins where none of the seeds holds control state. The machines with disks ask the seeds to join; each
 * seed answers with all that have asked it, so that the candidates learn of each other. They then tell each other whom
 * they know (their view) and one of them founds the cluster with all of its view.
 *
 * Why two groups cannot found apart: a candidate founds only once a majority of the seeds has listed it, each in a
 * process that has run since the first start of the whole system, and so has forgotten nobody. Of two founders one is
 * therefore in the view of the other. A candidate founds only after all of its view have told it the same view while
 * they were blank; a view only grows, and no machine founds after a restart. `docs/design-notes.md` has the full
 * argument. What cannot be known is waited for, never guessed.
 */
import type { Address, BootstrapCandidate, MessageOf, ReplicaEntry } from '@tansypost/inner-protocol';
import { majorityOf } from './membership-record.js';

type FoundingRoster = MessageOf<'FoundingRoster'>;
type FoundingView = MessageOf<'FoundingView'>;

/** Who may found a cluster, and with how many. */
export interface DiscoveryBootstrapOptions {
  readonly self: Address;
  readonly diskId: () => string;
  /** The seeds of the first start; all machines were given the same. */
  readonly seeds: readonly Address[];
  /** Whether this process may begin a cluster: it has run since the first start of the whole system. */
  readonly mayBegin: boolean;
  /** The fewest machines that found a cluster. */
  readonly minMembers: number;
  /** The most machines that hold a replica at first. */
  readonly maxMembers: number;
}

/** What a machine that holds no state yet waits for. */
export type BootstrapWait =
  | { readonly why: 'not the first start' }
  | { readonly why: 'founders not heard'; readonly machines: readonly string[] }
  | { readonly why: 'founders have yet to begin'; readonly machines: readonly string[] }
  | { readonly why: 'seeds not heard'; readonly seeds: readonly string[] }
  | { readonly why: 'too few seeds remember the first start'; readonly remembering: number; readonly needed: number }
  | { readonly why: 'too few machines with a disk'; readonly known: number; readonly needed: number }
  | { readonly why: 'machines not heard or not of one view'; readonly machines: readonly string[] };

/** The founding side of a blank replica that no seed can help to find others but by hearsay. */
export interface DiscoveryBootstrap {
  /** Takes in whom a seed has heard. */
  readonly roster: (message: FoundingRoster) => void;
  /** Takes in the view of another candidate. */
  readonly view: (message: FoundingView) => void;
  /** The members of the cluster once it is time to found it. */
  readonly members: () => readonly ReplicaEntry[] | undefined;
  /** What the other candidates are to be told; nobody is known where the seeds hold state. */
  readonly greeting: () => { readonly to: readonly Address[]; readonly message: FoundingView } | undefined;
  /** Undefined where it could found a cluster now. */
  readonly waitsFor: () => BootstrapWait | undefined;
}

/** Makes the founding side; it knows nobody yet. */
export function createDiscoveryBootstrap(options: DiscoveryBootstrapOptions): DiscoveryBootstrap {
  const seeds = [...options.seeds];
  const known = new Map<string, BootstrapCandidate>();
  const statelessSeeds = new Set<string>();
  const listedAt = new Set<string>();
  const views = new Map<string, string>();

  function self(): BootstrapCandidate {
    return { address: options.self, disk: options.diskId() };
  }

  function learn(candidates: readonly BootstrapCandidate[]): void {
    for (const candidate of candidates) known.set(nameOf(candidate), candidate);
  }

  function candidates(): BootstrapCandidate[] {
    const all = new Map(known).set(nameOf(self()), self());
    return [...all.values()].sort(byName);
  }

  function others(): BootstrapCandidate[] {
    const own = nameOf(self());
    return candidates().filter((candidate) => nameOf(candidate) !== own);
  }

  function roster(message: FoundingRoster): void {
    if (!seeds.includes(message.from as Address)) return;
    statelessSeeds.add(message.from);
    learn(message.candidates);
    const own = nameOf(self());
    const isListed = message.candidates.some((candidate) => nameOf(candidate) === own);
    if (message.firstStart && isListed) listedAt.add(message.from);
  }

  /** A view that comes late only shows what its teller once said; as views grow, that is safe to count. */
  function view(message: FoundingView): void {
    const teller = nameOf({ address: message.from, disk: message.disk });
    learn(message.candidates);
    views.set(teller, keyOf(message.candidates));
  }

  function founders(): ReplicaEntry[] {
    const all = candidates();
    const count = Math.min(all.length, options.maxMembers);
    // An even number bears no more losses than one less.
    const odd = count % 2 === 0 && count > options.minMembers ? count - 1 : count;
    return all.slice(0, odd).map(({ address, disk }, slot) => ({ slot, address, disk }));
  }

  function members(): readonly ReplicaEntry[] | undefined {
    return waitsFor() === undefined ? founders() : undefined;
  }

  function greeting(): ReturnType<DiscoveryBootstrap['greeting']> {
    const to = others().map((candidate) => candidate.address as Address);
    if (to.length === 0) return undefined;
    const { address: from, disk } = self();
    return { to: [...new Set(to)], message: { kind: 'FoundingView', from, disk, candidates: candidates() } };
  }

  function waitsFor(): BootstrapWait | undefined {
    if (!options.mayBegin) return { why: 'not the first start' };
    const silent = seeds.filter((seed) => !statelessSeeds.has(seed));
    if (seeds.length === 0 || silent.length > 0) return { why: 'seeds not heard', seeds: silent };
    const needed = majorityOf(seeds.length);
    if (listedAt.size < needed)
      return { why: 'too few seeds remember the first start', remembering: listedAt.size, needed };
    const all = candidates();
    if (all.length < options.minMembers)
      return { why: 'too few machines with a disk', known: all.length, needed: options.minMembers };
    const own = keyOf(all);
    const apart = others().filter((candidate) => views.get(nameOf(candidate)) !== own);
    if (apart.length > 0)
      return { why: 'machines not heard or not of one view', machines: apart.map((candidate) => candidate.address) };
    const chosen = founders();
    if (chosen.some((entry) => entry.disk === options.diskId())) return undefined;
    return { why: 'founders have yet to begin', machines: chosen.map((entry) => entry.address) };
  }

  return { roster, view, members, greeting, waitsFor };
}

function nameOf({ address, disk }: BootstrapCandidate): string {
  return `${address} ${disk}`;
}

function byName(left: BootstrapCandidate, right: BootstrapCandidate): number {
  return nameOf(left) < nameOf(right) ? -1 : 1;
}

function keyOf(candidates: readonly BootstrapCandidate[]): string {
  return candidates.map(nameOf).sort().join('\n');
}
