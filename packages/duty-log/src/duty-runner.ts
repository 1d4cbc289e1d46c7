/**
 * The duties of which one control node at a time makes the calls. All control nodes stand for one role; its holder looks
 * at each duty again and again. Each duty has its own record and goes on by itself, so a slow or dark call of one holds
 * up no other; they share the pace of calls, where the duty that has waited longest comes first.
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
import { createCallPacer, type CallPacer } from './call-pacer.js';
import { dutyRecordKey } from './duty-record.js';
import type { DutyStatus } from './duty-status.js';
import { createDutyTask, type DutyTask } from './duty-task.js';
import type { Duty, DutyPort } from './ports.js';

/** What the runner is told when it is made. Times are microseconds. */
export interface DutyRunnerOptions {
  readonly member: string;
  readonly self: Address;
  /** This node's slot among the replicas of the control state. */
  readonly slot: () => number;
  /** Those whose votes count now. */
  readonly replicas: () => VoterGroup;
  /** Whether this node stands for the role now. */
  readonly isEligible: () => boolean;
  /** The lease of the role; the same for all candidates and voters. */
  readonly leaseDuration: number;
  /** What must lie between calls of two holders. */
  readonly minTakeoverGap: number;
  /** Over all duties of this holder. */
  readonly callsPerSecond: number;
  /** How long an answer of the platform is waited for. */
  readonly callTimeout: number;
  readonly duties: readonly Duty[];
  /** The value of a key of the control state. */
  readonly record: (key: string) => StoredValue;
  readonly port: DutyPort;
}

/** What operators see of the duties at this node. */
export interface DutiesStatus {
  /** Who holds the role, as far as this node knows. */
  readonly holder: SingletonRoleEntry | undefined;
  readonly duties: readonly DutyStatus[];
}

/** The duties at one control node. */
export interface DutyRunner {
  /** Takes in a voter's answer. */
  readonly handleVote: (answer: MessageOf<'BallotVote'>) => void;
  readonly status: () => DutiesStatus;
  readonly stop: () => void;
}

const role = 'platform duties';
const lookEvery = micros(250_000);
/** The longest that a call is on its way to the platform, in microseconds. */
const callOnItsWay = 600_000;

/** Starts the duties at this node. */
export function createDutyRunner(world: World, options: DutyRunnerOptions): DutyRunner {
  const tasks: DutyTask[] = [];
  let stopped = false;
  const pacer = createCallPacer(world, options.callsPerSecond, look);
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
    onElected: endTerms,
    onLeaseLost: endTerms,
  });
  for (const duty of options.duties) tasks.push(createTask(world, options, duty, candidate, pacer, look));

  function endTerms(): void {
    for (const task of tasks) task.endTerm();
  }

  function look(): void {
    if (stopped || candidate.heldEpoch() === undefined) return;
    const longestWaitFirst = [...tasks].sort((a, b) => a.lastCallAt() - b.lastCallAt());
    for (const task of longestWaitFirst) task.look();
  }

  const stopLooking = every(world, () => lookEvery, look);
  return {
    handleVote: candidate.receiveVote,
    status: () => ({ holder: candidate.leader(), duties: tasks.map((task) => task.status()) }),
    stop: () => {
      stopped = true;
      stopLooking();
      pacer.stop();
      candidate.stop();
      endTerms();
    },
  };
}

function createTask(
  world: World,
  options: DutyRunnerOptions,
  duty: Duty,
  candidate: Candidate,
  pacer: CallPacer,
  progressed: () => void,
): DutyTask {
  const least = options.minTakeoverGap + callOnItsWay;
  return createDutyTask(world, {
    duty,
    member: options.member,
    record: options.record(dutyRecordKey(duty.name)),
    port: options.port,
    pacer,
    isLeader: () => candidate.heldEpoch() !== undefined,
    canCall: () => candidate.heldEpochFor(least) !== undefined,
    backOffDuration: least,
    maxCallTransit: callOnItsWay,
    callTimeout: options.callTimeout,
    onProgress: progressed,
  });
}
