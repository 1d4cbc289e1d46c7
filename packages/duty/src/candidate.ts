/**
 * The candidate's side of the elections for a role (duty). While a role seems vacant, the candidate calls an
 * election after a short random wait, under an epoch above all it has seen. It counts its lease from before it
 * asked, and renews it several times within its duration. A holder asks `holds` directly before each order, so that
 * a process that was suspended finds its lease expired by the clock; the worker's fence stops what slips past that.
 */
import {
  every,
  micros,
  type Address,
  type SingletonRoleEntry,
  type MessageOf,
  type Micros,
  type ReplicaEntry,
  type World,
} from '@tansypost/inner-protocol';

/** The control cluster as a candidate knows it. */
export interface VoterGroup {
  readonly membershipEpoch: number;
  readonly replicas: readonly ReplicaEntry[];
}

/** What a candidate is told when it is made. */
export interface CandidateOptions {
  /** Name of the role. */
  readonly role: string;
  readonly member: string;
  readonly self: Address;
  /** A number below 64 that no other candidate has: it keeps the epochs of two candidates apart. */
  readonly slot: number;
  /** In microseconds; the same for all candidates and voters. */
  readonly leaseDuration: number;
  /** Those whose votes count now. */
  readonly replicas: () => VoterGroup;
  /** Whether it wants the role now; a lease that is of no use is not renewed. */
  readonly isWilling: () => boolean;
  readonly onElected: (epoch: number) => void;
  readonly onLeaseLost: () => void;
}

/** One member's candidacy for one role. */
export interface Candidate {
  /** The epoch under which this member holds the role, while it does. */
  readonly heldEpoch: () => number | undefined;
  /** The same, if it goes on holding the role for so long, in microseconds, whatever becomes of its next renewal. */
  readonly heldEpochFor: (least: number) => number | undefined;
  /** Who holds the role as far as is known. */
  readonly leader: () => SingletonRoleEntry | undefined;
  /** Takes in a voter's answer. */
  readonly receiveVote: (answer: MessageOf<'BallotVote'>) => void;
  /** Takes in what others tell of a holder. */
  readonly observeLeader: (told: SingletonRoleEntry) => void;
  readonly stop: () => void;
}

/** Epochs come in blocks of this size, one number for each candidate's slot. */
const epochsPerRound = 64;
/** A candidate looks at the role this many times within one lease. */
const checksPerLease = 6;
/** Bounds of the wait between two elections of one candidate, in microseconds. */
const retryAfter = { least: 500_000, spread: 1_500_000 } as const;
/** The longest time between two elections that a candidate calls, in microseconds; it looks a little later than it may. */
const longestRetry = 3_000_000;
/** A holder that only a voter told of is believed for so long, as it may be gone: in microseconds. */
const secondHandBelief = 700_000;

interface Election {
  readonly id: string;
  readonly calledAt: Micros;
  readonly epoch: number;
  /** Slots of the replicas that granted their vote. */
  readonly granted: Set<number>;
  /** Who has the vote of the replicas that refused theirs, by slot. */
  readonly refusedFor: Map<number, string>;
  decided: boolean;
  /** Whether it was looked at how the votes were split. */
  judged: boolean;
}

interface CandidateState {
  highestEpochSeen: number;
  /** Of the lease that is or was held. */
  epoch: number;
  leaseUntil: number;
  holding: boolean;
  /** Another member that holds the role, and when that was last known to be so. */
  knownHolder: SingletonRoleEntry | undefined;
  knownAt: number;
  election: Election | undefined;
  electionsCalled: number;
  nextElectionAt: number;
}

/** Makes a candidate, which begins to look at the role at once. */
export function createCandidate(world: World, options: CandidateOptions): Candidate {
  const state: CandidateState = {
    highestEpochSeen: 0,
    epoch: 0,
    leaseUntil: 0,
    holding: false,
    knownHolder: undefined,
    knownAt: -Infinity,
    election: undefined,
    electionsCalled: 0,
    nextElectionAt: 0,
  };
  return {
    heldEpoch: () => epochHeld(state, world, options),
    heldEpochFor: (least) => (state.leaseUntil - world.now() < least ? undefined : epochHeld(state, world, options)),
    leader: () => currentHolder(state, world, options),
    receiveVote: (answer) => takeVote(state, world, options, answer),
    observeLeader: (told) => takeHolder(state, world, options, told),
    stop: every(
      world,
      () => micros(options.leaseDuration / checksPerLease),
      () => check(state, world, options),
    ),
  };
}

function epochHeld(state: CandidateState, world: World, options: CandidateOptions): number | undefined {
  if (state.holding && world.now() >= state.leaseUntil) {
    state.holding = false;
    world.log(3102, { duty: options.role, epoch: state.epoch });
    options.onLeaseLost();
  }
  return state.holding ? state.epoch : undefined;
}

function currentHolder(state: CandidateState, world: World, options: CandidateOptions): SingletonRoleEntry | undefined {
  if (epochHeld(state, world, options) !== undefined) {
    return { duty: options.role, holder: options.member, address: options.self, epoch: state.epoch };
  }
  return world.now() - state.knownAt < options.leaseDuration ? state.knownHolder : undefined;
}

/** Renews the lease that is held, or calls an election where the role seems vacant. */
function check(state: CandidateState, world: World, options: CandidateOptions): void {
  if (epochHeld(state, world, options) !== undefined) {
    if (options.isWilling()) callElection(state, world, options, state.epoch);
    return;
  }
  if (!options.isWilling() || world.now() < state.nextElectionAt) return;
  if (currentHolder(state, world, options) !== undefined || yieldsToRival(state, world, options)) return;
  state.nextElectionAt = world.now() + retryAfter.least + Math.round(world.random() * retryAfter.spread);
  const round = Math.floor(state.highestEpochSeen / epochsPerRound) + 1;
  callElection(state, world, options, round * epochsPerRound + options.slot);
}

/**
 * After an election that nobody won, the candidates with fewer votes let them lapse, and leave the one with most the time
 * to ask for them. Otherwise each would keep its own by asking again within their lease, and none would have a majority.
 */
function yieldsToRival(state: CandidateState, world: World, options: CandidateOptions): boolean {
  const { election } = state;
  if (election === undefined || election.decided || election.judged) return false;
  election.judged = true;
  if (!isBehind(election, options)) return false;
  const pause = options.leaseDuration + longestRetry + Math.round(world.random() * retryAfter.spread);
  state.nextElectionAt = election.calledAt + pause;
  return world.now() < state.nextElectionAt;
}

/** Whether another has more votes, though no majority; between equals the name decides. */
function isBehind(election: Election, options: CandidateOptions): boolean {
  const votes = new Map<string, number>();
  for (const holder of election.refusedFor.values()) votes.set(holder, (votes.get(holder) ?? 0) + 1);
  const majority = options.replicas().replicas.length / 2;
  const counts = [...votes];
  if (counts.some(([, count]) => count > majority)) return false;
  const own = election.granted.size;
  return counts.some(([rival, count]) => count > own || (count === own && rival > options.member));
}

function callElection(state: CandidateState, world: World, options: CandidateOptions, epoch: number): void {
  state.electionsCalled += 1;
  const id = `${options.role}/${options.member}/${state.electionsCalled}`;
  const { membershipEpoch, replicas } = options.replicas();
  state.election = {
    id,
    calledAt: world.now(),
    epoch,
    granted: new Set(),
    refusedFor: new Map(),
    decided: false,
    judged: false,
  };
  for (const replica of replicas) {
    world.send(replica.address as Address, {
      kind: 'Ballot',
      id,
      from: options.self,
      duty: options.role,
      candidate: options.member,
      epoch,
      membershipEpoch,
    });
  }
}

function takeVote(
  state: CandidateState,
  world: World,
  options: CandidateOptions,
  answer: MessageOf<'BallotVote'>,
): void {
  if (answer.duty !== options.role) return;
  state.highestEpochSeen = Math.max(state.highestEpochSeen, answer.epoch);
  if (answer.holder !== '' && answer.holder !== options.member) {
    const { holder, address, epoch } = answer;
    takeHolder(state, world, options, { duty: options.role, holder, address, epoch });
    state.knownAt = Math.min(state.knownAt, world.now() - options.leaseDuration + secondHandBelief);
  }
  const { election } = state;
  if (election === undefined || election.id !== answer.id || election.decided) return;
  if (!answer.granted) return noteRefusal(election, answer, options);
  const { replicas } = options.replicas();
  if (!replicas.some((replica) => replica.slot === answer.slot && replica.disk === answer.disk)) return;
  election.granted.add(answer.slot);
  if (election.granted.size <= replicas.length / 2) return;
  election.decided = true;
  takeLease(state, world, options, election);
}

function noteRefusal(election: Election, answer: MessageOf<'BallotVote'>, options: CandidateOptions): void {
  if (answer.holder !== '' && answer.holder !== options.member) election.refusedFor.set(answer.slot, answer.holder);
}

/** The lease counts from before the votes were asked for, so it ends before any voter's own time for it. */
function takeLease(state: CandidateState, world: World, options: CandidateOptions, election: Election): void {
  const until = election.calledAt + options.leaseDuration;
  if (world.now() >= until) return;
  state.leaseUntil = until;
  if (state.holding) return;
  state.holding = true;
  state.epoch = election.epoch;
  world.log(3101, { duty: options.role, epoch: state.epoch });
  options.onElected(state.epoch);
}

function takeHolder(state: CandidateState, world: World, options: CandidateOptions, told: SingletonRoleEntry): void {
  if (told.duty !== options.role || told.holder === options.member) return;
  if (told.epoch < (state.knownHolder?.epoch ?? 0)) return;
  state.highestEpochSeen = Math.max(state.highestEpochSeen, told.epoch);
  state.knownHolder = told;
  state.knownAt = world.now();
}
