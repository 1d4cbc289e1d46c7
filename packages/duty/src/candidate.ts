/**
 * The candidate in the leader elections of a singleton role (called a duty in messages, settings and logs). While the
 * role seems vacant, the candidate calls an election after a short random delay, under an epoch above all that it has
 * seen. Its lease counts from before it requested the votes, and it renews the lease several times within the lease
 * duration. The leader must check `heldEpoch` immediately before each operation, so that a process that was suspended
 * finds its lease expired by the clock. Operations that slip past this check are rejected by the worker, which checks
 * the fencing token.
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

/** The control cluster as known to a candidate. */
export interface VoterGroup {
  readonly membershipEpoch: number;
  readonly replicas: readonly ReplicaEntry[];
}

/** Settings and callbacks of a candidate. */
export interface CandidateOptions {
  /** Name of the singleton role. */
  readonly role: string;
  readonly member: string;
  readonly self: Address;
  /** A number below 64 that is unique among the candidates, so that two candidates never use the same epoch. */
  readonly slot: number;
  /** In microseconds; the same for all candidates and voters. */
  readonly leaseDuration: number;
  /** The replicas whose votes count now. */
  readonly replicas: () => VoterGroup;
  /** Whether this member wants the role now; a lease that it does not need is not renewed. */
  readonly isWilling: () => boolean;
  readonly onElected: (epoch: number) => void;
  readonly onLeaseLost: () => void;
}

/** A candidate of one member for one role. */
export interface Candidate {
  /** The epoch under which this member holds the role; undefined if it does not. */
  readonly heldEpoch: () => number | undefined;
  /** The same, or undefined if the lease expires within `spanUs` without a renewal. */
  readonly heldEpochFor: (spanUs: number) => number | undefined;
  /** The current leader of the role, if known. */
  readonly leader: () => SingletonRoleEntry | undefined;
  /** Handles a voter's answer. */
  readonly receiveVote: (answer: MessageOf<'BallotVote'>) => void;
  /** Records a leader that other members have reported. */
  readonly observeLeader: (leader: SingletonRoleEntry) => void;
  readonly stop: () => void;
}

/** Epochs are allocated in blocks of this size, with one epoch for each candidate slot. */
const epochsPerRound = 64;
/** Number of checks of the role within one lease duration. */
const checksPerLease = 6;
/** Minimum and random jitter of the delay between two elections of one candidate, in microseconds. */
const retryDelayUs = { min: 500_000, jitter: 1_500_000 } as const;
/**
 * Maximum time between two elections of one candidate, in microseconds. It is above the delay because the candidate
 * checks the role periodically.
 */
const maxRetryDelayUs = 3_000_000;
/** How long a leader that is known only from a voter is assumed to exist, in microseconds, since it may be gone. */
const secondHandLeaderTimeoutUs = 700_000;

interface Election {
  readonly id: string;
  readonly calledAt: Micros;
  readonly epoch: number;
  /** Slots of the replicas that granted their vote. */
  readonly granted: Set<number>;
  /** The member that holds the vote of each replica that refused, by slot. */
  readonly refusedInFavorOf: Map<number, string>;
  decided: boolean;
  /** Whether the split of the votes has been examined. */
  splitExamined: boolean;
}

interface CandidateState {
  highestEpochSeen: number;
  /** Epoch of the current or last lease. */
  epoch: number;
  leaseUntil: number;
  isHolding: boolean;
  /** Another member that leads the role, and when that was last known to be true. */
  knownLeader: SingletonRoleEntry | undefined;
  leaderKnownAt: number;
  election: Election | undefined;
  electionsCalled: number;
  nextElectionAt: number;
}

/** Creates a candidate, which starts checking the role at once. */
export function createCandidate(world: World, options: CandidateOptions): Candidate {
  const state: CandidateState = {
    highestEpochSeen: 0,
    epoch: 0,
    leaseUntil: 0,
    isHolding: false,
    knownLeader: undefined,
    leaderKnownAt: -Infinity,
    election: undefined,
    electionsCalled: 0,
    nextElectionAt: 0,
  };
  return {
    heldEpoch: () => heldEpoch(state, world, options),
    heldEpochFor: (spanUs) => (state.leaseUntil - world.now() < spanUs ? undefined : heldEpoch(state, world, options)),
    leader: () => currentLeader(state, world, options),
    receiveVote: (answer) => handleVote(state, world, options, answer),
    observeLeader: (leader) => recordLeader(state, world, options, leader),
    stop: every(
      world,
      () => micros(options.leaseDuration / checksPerLease),
      () => check(state, world, options),
    ),
  };
}

function heldEpoch(state: CandidateState, world: World, options: CandidateOptions): number | undefined {
  if (state.isHolding && world.now() >= state.leaseUntil) {
    state.isHolding = false;
    world.log(3102, { duty: options.role, epoch: state.epoch });
    options.onLeaseLost();
  }
  return state.isHolding ? state.epoch : undefined;
}

function currentLeader(state: CandidateState, world: World, options: CandidateOptions): SingletonRoleEntry | undefined {
  if (heldEpoch(state, world, options) !== undefined) {
    return { duty: options.role, holder: options.member, address: options.self, epoch: state.epoch };
  }
  return world.now() - state.leaderKnownAt < options.leaseDuration ? state.knownLeader : undefined;
}

/** Renews a held lease, or calls an election if the role seems vacant. */
function check(state: CandidateState, world: World, options: CandidateOptions): void {
  if (heldEpoch(state, world, options) !== undefined) {
    if (options.isWilling()) callElection(state, world, options, state.epoch);
    return;
  }
  if (!options.isWilling() || world.now() < state.nextElectionAt) return;
  if (currentLeader(state, world, options) !== undefined || yieldsToRival(state, world, options)) return;
  state.nextElectionAt = world.now() + retryDelayUs.min + Math.round(world.random() * retryDelayUs.jitter);
  const round = Math.floor(state.highestEpochSeen / epochsPerRound) + 1;
  callElection(state, world, options, round * epochsPerRound + options.slot);
}

/**
 * After an election without a winner, the candidates with fewer votes stop asking until their votes expire, which gives
 * the candidate with the most votes time to win the others. Otherwise each candidate would keep its votes by asking
 * again within their lease, and none would reach a majority.
 */
function yieldsToRival(state: CandidateState, world: World, options: CandidateOptions): boolean {
  const { election } = state;
  if (election === undefined || election.decided || election.splitExamined) return false;
  election.splitExamined = true;
  if (!isBehind(election, options)) return false;
  const delay = options.leaseDuration + maxRetryDelayUs + Math.round(world.random() * retryDelayUs.jitter);
  state.nextElectionAt = election.calledAt + delay;
  return world.now() < state.nextElectionAt;
}

/** Whether another candidate has more votes, though no majority; ties are broken by member name. */
function isBehind(election: Election, options: CandidateOptions): boolean {
  const votes = new Map<string, number>();
  for (const holder of election.refusedInFavorOf.values()) votes.set(holder, (votes.get(holder) ?? 0) + 1);
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
    refusedInFavorOf: new Map(),
    decided: false,
    splitExamined: false,
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

function handleVote(
  state: CandidateState,
  world: World,
  options: CandidateOptions,
  answer: MessageOf<'BallotVote'>,
): void {
  if (answer.duty !== options.role) return;
  state.highestEpochSeen = Math.max(state.highestEpochSeen, answer.epoch);
  if (answer.holder !== '' && answer.holder !== options.member) {
    const { holder, address, epoch } = answer;
    recordLeader(state, world, options, { duty: options.role, holder, address, epoch });
    state.leaderKnownAt = Math.min(
      state.leaderKnownAt,
      world.now() - options.leaseDuration + secondHandLeaderTimeoutUs,
    );
  }
  const { election } = state;
  if (election === undefined || election.id !== answer.id || election.decided) return;
  if (!answer.granted) return recordRefusal(election, answer, options);
  const { replicas } = options.replicas();
  if (!replicas.some((replica) => replica.slot === answer.slot && replica.disk === answer.disk)) return;
  election.granted.add(answer.slot);
  if (election.granted.size <= replicas.length / 2) return;
  election.decided = true;
  acquireLease(state, world, options, election);
}

function recordRefusal(election: Election, answer: MessageOf<'BallotVote'>, options: CandidateOptions): void {
  if (answer.holder !== '' && answer.holder !== options.member)
    election.refusedInFavorOf.set(answer.slot, answer.holder);
}

/** The lease counts from before the votes were requested, so that it expires before any voter's record of it. */
function acquireLease(state: CandidateState, world: World, options: CandidateOptions, election: Election): void {
  const until = election.calledAt + options.leaseDuration;
  if (world.now() >= until) return;
  state.leaseUntil = until;
  if (state.isHolding) return;
  state.isHolding = true;
  state.epoch = election.epoch;
  world.log(3101, { duty: options.role, epoch: state.epoch });
  options.onElected(state.epoch);
}

function recordLeader(
  state: CandidateState,
  world: World,
  options: CandidateOptions,
  leader: SingletonRoleEntry,
): void {
  if (leader.duty !== options.role || leader.holder === options.member) return;
  if (leader.epoch < (state.knownLeader?.epoch ?? 0)) return;
  state.highestEpochSeen = Math.max(state.highestEpochSeen, leader.epoch);
  state.knownLeader = leader;
  state.leaderKnownAt = world.now();
}
