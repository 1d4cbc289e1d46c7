/**
 * Runs the duties on the control node that is the leader for them. All control nodes are candidates for one leader role,
 * and the leader polls each duty at a fixed interval. Each duty has its own record and proceeds independently, so a slow
 * or unanswered call of one duty does not block another. All duties share one rate limit, under which the duty that has
 * waited longest goes first.
 */
import type { StoredValue } from '@tansypost/control-feed';
import { createCandidate, type Candidate, type VoterGroup } from '@tansypost/duty';
import {
  every,
  micros,
  type Address,
  type SingletonRoleEntry,
  type MessageOf,
  type World,
} from '@tansypost/inner-protocol';
import { createCallRateLimiter, type CallRateLimiter } from './call-rate-limiter.js';
import { dutyRecordKey } from './duty-record.js';
import type { DutyStatus } from './duty-status.js';
import { createDutyTask, type DutyTask } from './duty-task.js';
import type { Duty, DutyPort } from './ports.js';

/** Dependencies and settings of a runner. Times are in microseconds. */
export interface DutyRunnerOptions {
  readonly member: string;
  readonly self: Address;
  /** This node's slot among the replicas of the control state. */
  readonly slot: () => number;
  /** The current voters. */
  readonly replicas: () => VoterGroup;
  /** Whether this node may be elected now. */
  readonly isEligible: () => boolean;
  /** Duration of the leader's lease; the same for all candidates and voters. */
  readonly leaseDuration: number;
  /** Minimum time between the last call of one leader and the first call of its successor. */
  readonly minTakeoverGap: number;
  /** Rate limit over all duties of this node. */
  readonly callsPerSecond: number;
  /** How long to wait for the platform's answer to a call. */
  readonly callTimeout: number;
  readonly duties: readonly Duty[];
  /** The stored value at a key of the control state. */
  readonly record: (key: string) => StoredValue;
  readonly port: DutyPort;
}

/** The status of the duties at this node, for operators. */
export interface DutiesStatus {
  /** The current leader, as far as this node knows. */
  readonly holder: SingletonRoleEntry | undefined;
  readonly duties: readonly DutyStatus[];
}

/** The duties at one control node. */
export interface DutyRunner {
  /** Handles a voter's answer to a vote request of this node. */
  readonly receiveVote: (answer: MessageOf<'BallotVote'>) => void;
  readonly status: () => DutiesStatus;
  readonly stop: () => void;
}

const role = 'platform duties';
const pollInterval = micros(250_000);
/** Longest time that a call may spend in transit to the platform. */
const maxCallTransitUs = 600_000;

/** Starts the candidacy and the duties at this node. */
export function createDutyRunner(world: World, options: DutyRunnerOptions): DutyRunner {
  const tasks: DutyTask[] = [];
  let stopped = false;
  const rateLimiter = createCallRateLimiter(world, options.callsPerSecond, pollDuties);
  const candidate = createCandidate(world, {
    role,
    member: options.member,
    self: options.self,
    get slot() {
      return options.slot();
    },
    leaseDuration: options.leaseDuration,
    replicas: options.replicas,
    isWilling: options.isEligible,
    onElected: endAllTerms,
    onLeaseLost: endAllTerms,
  });
  for (const duty of options.duties) tasks.push(createTask(world, options, duty, candidate, rateLimiter, pollDuties));

  function endAllTerms(): void {
    for (const task of tasks) task.endTerm();
  }

  function pollDuties(): void {
    if (stopped || candidate.heldEpoch() === undefined) return;
    const longestWaitFirst = [...tasks].sort((a, b) => a.lastCallAt() - b.lastCallAt());
    for (const task of longestWaitFirst) task.poll();
  }

  const stopPolling = every(world, () => pollInterval, pollDuties);
  return {
    receiveVote: candidate.receiveVote,
    status: () => ({ holder: candidate.leader(), duties: tasks.map((task) => task.status()) }),
    stop: () => {
      stopped = true;
      stopPolling();
      rateLimiter.stop();
      candidate.stop();
      endAllTerms();
    },
  };
}

function createTask(
  world: World,
  options: DutyRunnerOptions,
  duty: Duty,
  candidate: Candidate,
  rateLimiter: CallRateLimiter,
  onProgress: () => void,
): DutyTask {
  const minLeaseLeft = options.minTakeoverGap + maxCallTransitUs;
  return createDutyTask(world, {
    duty,
    member: options.member,
    record: options.record(dutyRecordKey(duty.name)),
    port: options.port,
    rateLimiter,
    isLeader: () => candidate.heldEpoch() !== undefined,
    canCall: () => candidate.heldEpochFor(minLeaseLeft) !== undefined,
    holdOffDuration: minLeaseLeft,
    maxCallTransit: maxCallTransitUs,
    callTimeout: options.callTimeout,
    onProgress,
  });
}
