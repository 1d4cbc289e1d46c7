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
import type { Address, FoundingCandidate, MessageOf, ReplicaEntry } from '@tansypost/inner-protocol';
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
  readonly mayBootstrap: boolean;
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
  readonly receiveRoster: (message: FoundingRoster) => void;
  /** Takes in the view of another candidate. */
  readonly receiveView: (message: FoundingView) => void;
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
  const knownCandidates = new Map<string, FoundingCandidate>();
  const statelessSeeds = new Set<string>();
  const listingSeeds = new Set<string>();
  const viewKeyByCandidate = new Map<string, string>();

  function self(): FoundingCandidate {
    return { address: options.self, disk: options.diskId() };
  }

  function addCandidates(candidates: readonly FoundingCandidate[]): void {
    for (const candidate of candidates) knownCandidates.set(candidateId(candidate), candidate);
  }

  function allCandidates(): FoundingCandidate[] {
    const all = new Map(knownCandidates).set(candidateId(self()), self());
    return [...all.values()].sort(byCandidateId);
  }

  function otherCandidates(): FoundingCandidate[] {
    const own = candidateId(self());
    return allCandidates().filter((candidate) => candidateId(candidate) !== own);
  }

  function receiveRoster(message: FoundingRoster): void {
    if (!seeds.includes(message.from as Address)) return;
    statelessSeeds.add(message.from);
    addCandidates(message.candidates);
    const own = candidateId(self());
    const isListed = message.candidates.some((candidate) => candidateId(candidate) === own);
    if (message.firstStart && isListed) listingSeeds.add(message.from);
  }

  /** A view that comes late only shows what its teller once said; as views grow, that is safe to count. */
  function receiveView(message: FoundingView): void {
    const senderId = candidateId({ address: message.from, disk: message.disk });
    addCandidates(message.candidates);
    viewKeyByCandidate.set(senderId, viewKeyOf(message.candidates));
  }

  function chooseMembers(): ReplicaEntry[] {
    const all = allCandidates();
    const count = Math.min(all.length, options.maxMembers);
    // An even number bears no more losses than one less.
    const memberCount = count % 2 === 0 && count > options.minMembers ? count - 1 : count;
    return all.slice(0, memberCount).map(({ address, disk }, slot) => ({ slot, address, disk }));
  }

  function members(): readonly ReplicaEntry[] | undefined {
    return waitsFor() === undefined ? chooseMembers() : undefined;
  }

  function greeting(): ReturnType<DiscoveryBootstrap['greeting']> {
    const to = otherCandidates().map((candidate) => candidate.address as Address);
    if (to.length === 0) return undefined;
    const { address: from, disk } = self();
    return { to: [...new Set(to)], message: { kind: 'FoundingView', from, disk, candidates: allCandidates() } };
  }

  function waitsFor(): BootstrapWait | undefined {
    if (!options.mayBootstrap) return { why: 'not the first start' };
    const unheardSeeds = seeds.filter((seed) => !statelessSeeds.has(seed));
    if (seeds.length === 0 || unheardSeeds.length > 0) return { why: 'seeds not heard', seeds: unheardSeeds };
    const needed = majorityOf(seeds.length);
    if (listingSeeds.size < needed)
      return { why: 'too few seeds remember the first start', remembering: listingSeeds.size, needed };
    const all = allCandidates();
    if (all.length < options.minMembers)
      return { why: 'too few machines with a disk', known: all.length, needed: options.minMembers };
    const own = viewKeyOf(all);
    const differing = otherCandidates().filter((candidate) => viewKeyByCandidate.get(candidateId(candidate)) !== own);
    if (differing.length > 0)
      return {
        why: 'machines not heard or not of one view',
        machines: differing.map((candidate) => candidate.address),
      };
    const chosen = chooseMembers();
    if (chosen.some((entry) => entry.disk === options.diskId())) return undefined;
    return { why: 'founders have yet to begin', machines: chosen.map((entry) => entry.address) };
  }

  return { receiveRoster, receiveView, members, greeting, waitsFor };
}

function candidateId({ address, disk }: FoundingCandidate): string {
  return `${address} ${disk}`;
}

function byCandidateId(left: FoundingCandidate, right: FoundingCandidate): number {
  return candidateId(left) < candidateId(right) ? -1 : 1;
}

function viewKeyOf(candidates: readonly FoundingCandidate[]): string {
  return candidates.map(candidateId).sort().join('\n');
}
