/**
 * Bootstrap of a cluster when no seed holds control state. The machines with disks (the candidates) ask the seeds to
 * join, and each seed answers with the list of all candidates that have asked it (its roster), so that the candidates
 * discover each other. The candidates then exchange the sets of candidates that they know (their views), and one of
 * them bootstraps the cluster with the members of its view.
 *
 * Two groups cannot bootstrap separate clusters. A candidate bootstraps only once a majority of the seeds has listed
 * it, each in a process that has run since the first start of the whole system and therefore has forgotten no
 * candidate. Of two candidates that bootstrap, one is therefore in the view of the other. A candidate also requires
 * that every candidate in its view has reported the same view while it was blank. Views only grow, and no machine
 * bootstraps after a restart. `docs/design-notes.md` has the full argument. A candidate waits for what it cannot know
 * and never guesses.
 */
import type { Address, BootstrapCandidate, MessageOf, ReplicaEntry } from '@tansypost/inner-protocol';
import { majorityOf } from './membership-record.js';

type FoundingRoster = MessageOf<'FoundingRoster'>;
type FoundingView = MessageOf<'FoundingView'>;

/** Which machines may bootstrap a cluster, and with how many members. */
export interface DiscoveryBootstrapOptions {
  readonly self: Address;
  readonly diskId: () => string;
  /** The seeds of the first start, which are the same on all machines. */
  readonly seeds: readonly Address[];
  /** Whether this process may bootstrap a cluster, that is, has run since the first start of the whole system. */
  readonly mayBootstrap: boolean;
  /** Minimum number of machines that bootstrap a cluster. */
  readonly minMembers: number;
  /** Maximum number of machines that hold a replica after the bootstrap. */
  readonly maxMembers: number;
}

/** What a machine without control state waits for before a cluster can be bootstrapped. */
export type BootstrapWait =
  | { readonly why: 'not the first start' }
  | { readonly why: 'bootstrap members not heard'; readonly machines: readonly string[] }
  | { readonly why: 'bootstrap members have not bootstrapped yet'; readonly machines: readonly string[] }
  | { readonly why: 'seeds not heard'; readonly seeds: readonly string[] }
  | {
      readonly why: 'too few seeds have run since the first start';
      readonly remembering: number;
      readonly needed: number;
    }
  | { readonly why: 'too few machines with a disk'; readonly known: number; readonly needed: number }
  | { readonly why: 'candidates not heard or with a different view'; readonly machines: readonly string[] };

/** The bootstrap of a blank replica that discovers the other candidates through the seeds. */
export interface DiscoveryBootstrap {
  /** Handles a seed's list of candidates. */
  readonly receiveRoster: (message: FoundingRoster) => void;
  /** Handles the view of another candidate. */
  readonly receiveView: (message: FoundingView) => void;
  /** The members of the cluster once this machine may bootstrap it. */
  readonly members: () => readonly ReplicaEntry[] | undefined;
  /** The message to send to the other candidates; undefined if none is known, as when the seeds hold control state. */
  readonly viewMessage: () => { readonly to: readonly Address[]; readonly message: FoundingView } | undefined;
  /** Undefined if this machine could bootstrap a cluster now. */
  readonly bootstrapWait: () => BootstrapWait | undefined;
}

/** Creates the discovery bootstrap of a machine, without any known candidates. */
export function createDiscoveryBootstrap(options: DiscoveryBootstrapOptions): DiscoveryBootstrap {
  const seeds = [...options.seeds];
  const knownCandidates = new Map<string, BootstrapCandidate>();
  const statelessSeeds = new Set<string>();
  const listingSeeds = new Set<string>();
  const viewKeyByCandidate = new Map<string, string>();

  function self(): BootstrapCandidate {
    return { address: options.self, disk: options.diskId() };
  }

  function addCandidates(candidates: readonly BootstrapCandidate[]): void {
    for (const candidate of candidates) knownCandidates.set(candidateId(candidate), candidate);
  }

  function allCandidates(): BootstrapCandidate[] {
    const candidatesById = new Map(knownCandidates).set(candidateId(self()), self());
    return [...candidatesById.values()].sort(byCandidateId);
  }

  function otherCandidates(): BootstrapCandidate[] {
    const ownId = candidateId(self());
    return allCandidates().filter((candidate) => candidateId(candidate) !== ownId);
  }

  function receiveRoster(message: FoundingRoster): void {
    if (!seeds.includes(message.from as Address)) return;
    statelessSeeds.add(message.from);
    addCandidates(message.candidates);
    const ownId = candidateId(self());
    const isListed = message.candidates.some((candidate) => candidateId(candidate) === ownId);
    if (message.firstStart && isListed) listingSeeds.add(message.from);
  }

  /** A delayed view shows what its sender knew earlier; views only grow, so it is safe to count. */
  function receiveView(message: FoundingView): void {
    const senderId = candidateId({ address: message.from, disk: message.disk });
    addCandidates(message.candidates);
    viewKeyByCandidate.set(senderId, viewKeyOf(message.candidates));
  }

  function chooseMembers(): ReplicaEntry[] {
    const candidates = allCandidates();
    const count = Math.min(candidates.length, options.maxMembers);
    // An even number of replicas tolerates no more failures than one replica less.
    const memberCount = count % 2 === 0 && count > options.minMembers ? count - 1 : count;
    return candidates.slice(0, memberCount).map(({ address, disk }, slot) => ({ slot, address, disk }));
  }

  function members(): readonly ReplicaEntry[] | undefined {
    return bootstrapWait() === undefined ? chooseMembers() : undefined;
  }

  function viewMessage(): ReturnType<DiscoveryBootstrap['viewMessage']> {
    const to = otherCandidates().map((candidate) => candidate.address as Address);
    if (to.length === 0) return undefined;
    const { address: from, disk } = self();
    return { to: [...new Set(to)], message: { kind: 'FoundingView', from, disk, candidates: allCandidates() } };
  }

  function bootstrapWait(): BootstrapWait | undefined {
    if (!options.mayBootstrap) return { why: 'not the first start' };
    const unheardSeeds = seeds.filter((seed) => !statelessSeeds.has(seed));
    if (seeds.length === 0 || unheardSeeds.length > 0) return { why: 'seeds not heard', seeds: unheardSeeds };
    const needed = majorityOf(seeds.length);
    if (listingSeeds.size < needed)
      return { why: 'too few seeds have run since the first start', remembering: listingSeeds.size, needed };
    const candidates = allCandidates();
    if (candidates.length < options.minMembers)
      return { why: 'too few machines with a disk', known: candidates.length, needed: options.minMembers };
    const ownViewKey = viewKeyOf(candidates);
    const differing = otherCandidates().filter(
      (candidate) => viewKeyByCandidate.get(candidateId(candidate)) !== ownViewKey,
    );
    if (differing.length > 0)
      return {
        why: 'candidates not heard or with a different view',
        machines: differing.map((candidate) => candidate.address),
      };
    const chosen = chooseMembers();
    if (chosen.some((entry) => entry.disk === options.diskId())) return undefined;
    return { why: 'bootstrap members have not bootstrapped yet', machines: chosen.map((entry) => entry.address) };
  }

  return { receiveRoster, receiveView, members, viewMessage, bootstrapWait };
}

function candidateId({ address, disk }: BootstrapCandidate): string {
  return `${address} ${disk}`;
}

function byCandidateId(left: BootstrapCandidate, right: BootstrapCandidate): number {
  return candidateId(left) < candidateId(right) ? -1 : 1;
}

function viewKeyOf(candidates: readonly BootstrapCandidate[]): string {
  return candidates.map(candidateId).sort().join('\n');
}
