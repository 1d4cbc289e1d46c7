/**
 * Runs one duty at one node. The task first acquires the term, whose version becomes the fencing token of its calls.
 * Then each step writes the planned calls to the record as intents, makes the oldest open call, and writes its outcome
 * together with the next intents. Each write is conditional on the version last written or read. A write without an
 * answer may have taken effect, so the record is read again before anything else; if it names another term, this
 * node's term has ended.
 */
import type { World } from '@tansypost/inner-protocol';
import type { StoredValue, StoredVersion } from '@tansypost/control-feed';
import * as E from 'fp-ts/lib/Either.js';
import type { CallRateLimiter } from './call-rate-limiter.js';
import {
  encodeDutyRecord,
  decodeDutyRecord,
  closeIntent,
  addPlannedIntents,
  type DutyRecord,
  type Intent,
  type PlannedRecord,
} from './duty-record.js';
import { createOpenIntentAges, type OpenIntentAges } from './open-intent-ages.js';
import { callWithTimeout } from './timed-call.js';
import { dutyStatus, type DutyStatus } from './duty-status.js';
import type { CallOutcome, Duty, DutyPort } from './ports.js';
import { createOwnTerm, newTermId, type OwnTerm } from './own-term.js';
import { createRetryBackoff, type RetryBackoff } from './retry-backoff.js';

/** Dependencies and settings of a task. Times are in microseconds. */
export interface DutyTaskOptions {
  readonly duty: Duty;
  readonly member: string;
  readonly record: StoredValue;
  readonly port: DutyPort;
  readonly rateLimiter: CallRateLimiter;
  /** Whether this node holds the lease of the leader role. */
  readonly isLeader: () => boolean;
  /** Whether the lease lasts long enough for a call made now to end before a successor can make its first call. */
  readonly canCall: () => boolean;
  /** How long a node that lost its term to another node waits before it tries to acquire a new one. */
  readonly holdOffDuration: number;
  /** Longest time that a call may spend in transit to the platform. */
  readonly maxCallTransit: number;
  /** How long to wait for the answer to a call. */
  readonly callTimeout: number;
  /** Called when a step has changed something, so that the next step can follow at once. */
  readonly onProgress: () => void;
}

/** One duty at this node. */
export interface DutyTask {
  /** Starts the next step, unless one is in progress. */
  readonly poll: () => void;
  readonly endTerm: () => void;
  readonly status: () => DutyStatus;
  /** When its last call was made; -Infinity if there was none. */
  readonly lastCallAt: () => number;
}

interface TaskState {
  readonly world: World;
  readonly options: DutyTaskOptions;
  readonly backoff: RetryBackoff;
  readonly intentAges: OpenIntentAges;
  term: OwnTerm | undefined;
  /** A term that this node ended itself to get a higher fence, until the next term replaces it. */
  termToRenew: OwnTerm | undefined;
  /** Incremented by endTerm, also where there was no term, so that an acquisition in progress at that time is discarded. */
  termGeneration: number;
  isStepping: boolean;
  holdOffUntil: number;
  lastCallAt: number;
  unreadableLogged: boolean;
}

/** A call that is open for longer than this is logged. */
const overdueAgeUs = 10_000_000;

/** Creates a task that does not have the term yet. */
export function createDutyTask(world: World, options: DutyTaskOptions): DutyTask {
  const state: TaskState = {
    world,
    options,
    backoff: createRetryBackoff(world, options.maxCallTransit),
    intentAges: createOpenIntentAges(world),
    term: undefined,
    termToRenew: undefined,
    termGeneration: 0,
    isStepping: false,
    holdOffUntil: -Infinity,
    lastCallAt: -Infinity,
    unreadableLogged: false,
  };
  return {
    poll: () => poll(state),
    endTerm: () => endTerm(state),
    status: () => dutyStatus(options.duty.name, state),
    lastCallAt: () => state.lastCallAt,
  };
}

function poll(state: TaskState): void {
  if (state.isStepping || !state.options.isLeader()) return;
  logOverdueIntents(state);
  state.isStepping = true;
  void advance(state).then(
    (changed) => {
      state.isStepping = false;
      if (changed) state.options.onProgress();
    },
    (error: unknown) => {
      state.isStepping = false;
      state.world.log(3110, { duty: state.options.duty.name, why: String(error) });
    },
  );
}

/** Does one step and returns whether it changed anything. */
async function advance(state: TaskState): Promise<boolean> {
  const term = await currentTerm(state);
  if (term === undefined) return false;
  const next = nextRecord(state, term);
  term.waiting = next.waiting;
  if (needsHigherFence(state, term, next.record)) {
    endTerm(state);
    state.termToRenew = term;
    return true;
  }
  if (next.record !== term.record && !(await commit(state, term, next))) return false;
  const intent = nextCall(state, term);
  if (intent === undefined || !state.options.canCall() || !state.options.rateLimiter.tryAcquire()) return false;
  await makeCall(state, term, intent);
  return true;
}

/**
 * Whether an older call for the same subject, which got no answer and may still be in transit, could arrive after a new
 * one. With a higher fence on the new call, the platform rejects the older one. Duties whose calls are never superseded
 * repeat the older call unchanged instead.
 */
function needsHigherFence({ options }: TaskState, term: OwnTerm, next: DutyRecord): boolean {
  const planned = next.open.filter((intent) => intent.id > term.record.lastIntent);
  return options.duty.maySupersede && planned.some((intent) => term.uncertainSubjects.has(intent.subject));
}

/** Returns this node's term with an up-to-date record, after acquiring the term or rereading the record if needed. */
async function currentTerm(state: TaskState): Promise<OwnTerm | undefined> {
  if (state.term === undefined) await acquireTerm(state);
  else if (state.term.needsReread) await rereadRecord(state, state.term);
  return state.term?.needsReread === false ? state.term : undefined;
}

/** Writes this node's term to the record. The version of that write is the fence of the term. */
async function acquireTerm(state: TaskState): Promise<void> {
  const { world, options } = state;
  if (world.now() < state.holdOffUntil || !options.canCall()) return;
  const { termGeneration } = state;
  const stored = await options.record.read();
  const record = stored === undefined ? undefined : readRecord(state, stored);
  if (stored === undefined || record === undefined || state.termGeneration !== termGeneration || !options.canCall())
    return;
  if (state.termToRenew !== undefined && isTermLost(state, state.termToRenew, record)) return;
  const id = newTermId(world);
  const ownRecord: DutyRecord = { ...record, term: { holder: options.member, id } };
  const fence = await options.record.write(stored.version, encodeDutyRecord(ownRecord));
  if (fence === undefined || state.termGeneration !== termGeneration) return;
  state.term = createOwnTerm(id, fence, ownRecord);
  state.termToRenew = undefined;
  state.intentAges.update(ownRecord.open);
  world.log(3103, { duty: options.duty.name, fence, open: ownRecord.open.length });
}

/** Reads the record after a write whose outcome is unknown. */
async function rereadRecord(state: TaskState, term: OwnTerm): Promise<void> {
  const stored = await state.options.record.read();
  if (stored === undefined || state.term !== term) return;
  const record = readRecord(state, stored);
  if (record === undefined) return endTerm(state);
  if (isTermLost(state, term, record)) return;
  term.needsReread = false;
  adoptRecord(state, term, stored.version, record);
}

/** Whether another node has taken over the term; if so, ends this node's term and holds off. */
function isTermLost(state: TaskState, { id, fence }: OwnTerm, record: DutyRecord): boolean {
  if (record.term?.id === id) return false;
  state.world.log(3109, { duty: state.options.duty.name, fence, holder: record.term?.holder ?? '' });
  holdOff(state);
  return true;
}

function readRecord(state: TaskState, stored: StoredVersion): DutyRecord | undefined {
  const record = decodeDutyRecord(stored.value);
  if (E.isRight(record)) {
    state.unreadableLogged = false;
    return record.right;
  }
  if (!state.unreadableLogged) state.world.log(3107, { duty: state.options.duty.name, why: record.left });
  state.unreadableLogged = true;
  return undefined;
}

function adoptRecord(state: TaskState, term: OwnTerm, version: number, record: DutyRecord): void {
  term.version = version;
  term.record = record;
  state.intentAges.update(record.open);
}

/** The record with the outcomes received so far and with intents for the calls that are planned now. */
function nextRecord({ options }: TaskState, term: OwnTerm): PlannedRecord {
  let { record } = term;
  for (const [id, outcome] of term.unrecordedOutcomes) record = closeIntent(record, id, outcome, term.fence);
  return addPlannedIntents(record, options.duty.plan(record), options.duty.maySupersede);
}

/** Writes the record if its version is unchanged. False if the write's outcome is unknown or the term has ended. */
async function commit(state: TaskState, term: OwnTerm, next: PlannedRecord): Promise<boolean> {
  const { world, options } = state;
  const version = await options.record.write(term.version, encodeDutyRecord(next.record));
  if (state.term !== term) return false;
  if (version === undefined) {
    term.needsReread = true;
    return false;
  }
  adoptRecord(state, term, version, next.record);
  term.unrecordedOutcomes.clear();
  for (const { subject, content } of next.superseded) world.log(3108, { duty: options.duty.name, subject, content });
  return true;
}

/** The oldest open call whose subject is not backing off, so that calls for one subject are made in order. */
function nextCall({ backoff }: TaskState, term: OwnTerm): Intent | undefined {
  return term.record.open.find((intent) => backoff.isElapsed(intent.subject));
}

async function makeCall(state: TaskState, term: OwnTerm, { id, subject, content }: Intent): Promise<void> {
  const { world, options, backoff } = state;
  const duty = options.duty.name;
  state.lastCallAt = world.now();
  const call = { duty, subject, content, holder: options.member, fence: term.fence };
  const outcome = await callWithTimeout(world, options, call, (lateOutcome) =>
    handleDefiniteOutcome(state, term, { id, subject, content }, lateOutcome),
  );
  if (state.term !== term) return;
  if (outcome === 'unknown') term.uncertainSubjects.add(subject);
  if (outcome === 'busy' || outcome === 'unknown') return backoff.recordFailure(subject);
  handleDefiniteOutcome(state, term, { id, subject, content }, outcome);
}

/** Handles an answer with a definite outcome, including one that arrives after the call timed out. */
function handleDefiniteOutcome(
  state: TaskState,
  term: OwnTerm,
  { id, subject, content }: Intent,
  outcome: CallOutcome,
): void {
  if (state.term !== term || outcome === 'busy' || outcome === 'unknown') return;
  if (outcome === 'fenced') return handleFenced(state, term, subject);
  state.backoff.reset(subject);
  term.unrecordedOutcomes.set(id, outcome);
  if (outcome === 'refused') state.world.log(3106, { duty: state.options.duty.name, subject, content });
}

/** Ends the term: the platform has seen a higher fence, so another leader has made calls. */
function handleFenced(state: TaskState, term: OwnTerm, subject: string): void {
  if (state.term !== term) return;
  state.world.log(3105, { duty: state.options.duty.name, subject, fence: term.fence });
  holdOff(state);
}

function endTerm(state: TaskState): void {
  state.term = undefined;
  state.termToRenew = undefined;
  state.termGeneration += 1;
  state.backoff.clear();
}

/** Ends the term and leaves the duty to the other node for the hold-off time. */
function holdOff(state: TaskState): void {
  endTerm(state);
  state.holdOffUntil = state.world.now() + state.options.holdOffDuration;
}

function logOverdueIntents({ world, options, intentAges, term }: TaskState): void {
  for (const { id, subject } of intentAges.newlyOverdue(term?.record.open ?? [], overdueAgeUs)) {
    world.log(3104, { duty: options.duty.name, subject, ageMs: Math.round(intentAges.age(id) / 1000) });
  }
}
