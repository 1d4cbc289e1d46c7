/**
 * Runs one duty at one node. The task first acquires the term by a write to the duty's record; the version of that write is
 * the fencing token of the term's calls. Then it works in steps. A step writes to the record an intent for each newly
 * planned call, together with the outcomes received since the previous write, and then makes the call of the oldest open
 * intent that is not backing off. So a call is made only after its intent is recorded. Each write is conditional on the
 * version last written or read. A write that failed may still have taken effect if it got no answer, so the record is read
 * again before anything else; if it then names another term, this node's term has ended.
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
  /**
   * Whether enough of the lease is left to make a call, or to acquire the term: a call made now arrives, and the minimum
   * takeover gap passes, before a successor can make its first call.
   */
  readonly canCall: () => boolean;
  /** How long a node that lost its term, or got the answer `fenced`, waits before it tries to acquire a new term. */
  readonly holdOffDuration: number;
  /** Longest time that a call may spend in transit to the platform; used here as the first retry delay. */
  readonly maxCallTransit: number;
  /** How long to wait for the answer to a call. */
  readonly callTimeout: number;
  /** Called when the next step can follow at once: after a call, or after the term was ended in order to renew it. */
  readonly onProgress: () => void;
}

/** One duty at this node. */
export interface DutyTask {
  /** Starts the next step if this node is the leader and no step is in progress. */
  readonly poll: () => void;
  /** Ends this node's term without a write to the record, for example when it is no longer the leader. */
  readonly endTerm: () => void;
  readonly status: () => DutyStatus;
  /** When its last call was made, in microseconds; -Infinity if there was none. */
  readonly lastCallAt: () => number;
}

interface TaskState {
  readonly world: World;
  readonly options: DutyTaskOptions;
  readonly backoff: RetryBackoff;
  readonly intentAges: OpenIntentAges;
  term: OwnTerm | undefined;
  /** The term that this node has ended in order to acquire one with a higher fence, while it has not acquired that one. */
  termToRenew: OwnTerm | undefined;
  /** Incremented by every `endTerm`, even without a term, so that an acquisition that is in progress is discarded. */
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
  void doStep(state).then(
    (canContinue) => {
      state.isStepping = false;
      if (canContinue) state.options.onProgress();
    },
    (error: unknown) => {
      state.isStepping = false;
      state.world.log(3110, { duty: state.options.duty.name, why: String(error) });
    },
  );
}

/** Does one step and returns whether the next one can follow at once. */
async function doStep(state: TaskState): Promise<boolean> {
  const term = await currentTerm(state);
  if (term === undefined) return false;
  const next = nextRecord(state, term);
  term.waiting = next.waiting;
  if (needsHigherFence(state, term, next.record)) {
    endTerm(state);
    // Set after `endTerm`, which clears it.
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
 * Whether a newly planned call needs a higher fence: an older call for its subject got no answer, so that one may still be
 * in transit and arrive later. With a higher fence on the new call, the platform then rejects the older one. Duties whose
 * calls are never superseded repeat the older call unchanged instead.
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
  if (state.termToRenew !== undefined && endIfTermLost(state, state.termToRenew, record)) return;
  const id = newTermId(world);
  const ownRecord: DutyRecord = { ...record, term: { holder: options.member, id } };
  const fence = await options.record.write(stored.version, encodeDutyRecord(ownRecord));
  if (fence === undefined || state.termGeneration !== termGeneration) return;
  state.term = createOwnTerm(id, fence, ownRecord);
  state.termToRenew = undefined;
  state.intentAges.update(ownRecord.open);
  world.log(3103, { duty: options.duty.name, fence, open: ownRecord.open.length });
}

/** Reads the record again after a write that failed or whose outcome is unknown. */
async function rereadRecord(state: TaskState, term: OwnTerm): Promise<void> {
  const stored = await state.options.record.read();
  if (stored === undefined || state.term !== term) return;
  const record = readRecord(state, stored);
  if (record === undefined) return endTerm(state);
  if (endIfTermLost(state, term, record)) return;
  term.needsReread = false;
  adoptRecord(state, term, stored.version, record);
}

/** If the record names a term other than the given one, ends this node's term and holds off. Returns whether it did so. */
function endIfTermLost(state: TaskState, { id, fence }: OwnTerm, record: DutyRecord): boolean {
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

/** Writes the record. False if its version had changed, if the outcome of the write is unknown, or if the term has ended. */
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

/** The oldest open call whose subject is not backing off. A backoff holds for all calls of a subject, which keeps their order. */
function nextCall({ backoff }: TaskState, term: OwnTerm): Intent | undefined {
  return term.record.open.find((intent) => backoff.isElapsed(intent.subject));
}

async function makeCall(state: TaskState, term: OwnTerm, { id, subject, content }: Intent): Promise<void> {
  const { world, options, backoff } = state;
  const duty = options.duty.name;
  state.lastCallAt = world.now();
  const call = { duty, subject, content, holder: options.member, fence: term.fence };
  const outcome = await callWithTimeout(world, options, call, (lateOutcome) =>
    handleFinalOutcome(state, term, { id, subject, content }, lateOutcome),
  );
  if (state.term !== term) return;
  if (outcome === 'unknown') term.uncertainSubjects.add(subject);
  if (outcome === 'busy' || outcome === 'unknown') return backoff.recordFailure(subject);
  handleFinalOutcome(state, term, { id, subject, content }, outcome);
}

/**
 * Handles an outcome that closes the call or ends the term, also one that arrives after the call timed out. Of late answers,
 * `busy` and `unknown` are ignored, as the call counts as failed already.
 */
function handleFinalOutcome(
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

/** Ends the term: the platform has seen a higher fence, and so a call of a later term. */
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

/** Ends the term and acquires none for the hold-off time, which leaves the duty to the node that has taken it over. */
function holdOff(state: TaskState): void {
  endTerm(state);
  state.holdOffUntil = state.world.now() + state.options.holdOffDuration;
}

function logOverdueIntents({ world, options, intentAges, term }: TaskState): void {
  for (const { id, subject } of intentAges.newlyOverdue(term?.record.open ?? [], overdueAgeUs)) {
    world.log(3104, { duty: options.duty.name, subject, ageMs: Math.round(intentAges.age(id) / 1000) });
  }
}
