/**
 * One duty at one node. It takes the term, which gives its calls their fence; then, step by step, it writes down what
 * is owed, makes the oldest open call, and writes down how it ended together with what is owed next. Each write is on
 * top of the version it wrote or read last. A write that got no answer may have taken effect, so the record is read
 * again before anything else; if the term in it is another, this node's term is over.
 */
import type { World } from '@tansypost/inner-protocol';
import type { StoredValue, StoredVersion } from '@tansypost/control-feed';
import * as E from 'fp-ts/lib/Either.js';
import type { CallPacer } from './call-pacer.js';
import {
  encodeDutyRecord,
  decodeDutyRecord,
  closeIntent,
  addPlannedIntents,
  type DutyRecord,
  type Intent,
  type PlannedRecord,
} from './duty-record.js';
import { createOpenSince, type OpenSince } from './open-since.js';
import { outcomeOf } from './call-outcome.js';
import { dutyStatus, type DutyStatus } from './duty-status.js';
import type { CallOutcome, Duty, DutyPort } from './ports.js';
import { createOwnTerm, newTermId, type OwnTerm } from './own-term.js';
import { createRetryPauses, type RetryPauses } from './retry-pauses.js';

/** What one duty is told when it is made. Times are microseconds. */
export interface DutyTaskOptions {
  readonly duty: Duty;
  readonly member: string;
  readonly record: StoredValue;
  readonly port: DutyPort;
  readonly pacer: CallPacer;
  /** Whether the role is held. */
  readonly isLeader: () => boolean;
  /** Whether it is held for so long that a call made now is over before a successor's first. */
  readonly canCall: () => boolean;
  /** How long a node that lost its term to another stands back. */
  readonly backOffDuration: number;
  /** The longest that a call is on its way. */
  readonly maxCallTransit: number;
  /** How long an answer is waited for. */
  readonly callTimeout: number;
  /** Called when a step has changed something, so that the next may follow at once. */
  readonly onProgress: () => void;
}

/** One duty at this node. */
export interface DutyTask {
  /** Does the next step, unless one is under way. */
  readonly look: () => void;
  readonly endTerm: () => void;
  readonly status: () => DutyStatus;
  /** When its last call was made; before all others if there was none. */
  readonly lastCallAt: () => number;
}

interface TaskState {
  readonly world: World;
  readonly options: DutyTaskOptions;
  readonly pauses: RetryPauses;
  readonly openSince: OpenSince;
  term: OwnTerm | undefined;
  /** The own term that the next one takes the place of, where it was not lost. */
  renews: OwnTerm | undefined;
  /** Rises when a term ends or may not be begun, so that a term that is just being taken then is not begun. */
  ends: number;
  busy: boolean;
  standBackUntil: number;
  lastCallAt: number;
  toldUnreadable: boolean;
}

/** A call that is open for so long is reported, in microseconds. */
const openForLong = 10_000_000;

/** A duty whose term this node does not have yet. */
export function createDutyTask(world: World, options: DutyTaskOptions): DutyTask {
  const state: TaskState = {
    world,
    options,
    pauses: createRetryPauses(world, options.maxCallTransit),
    openSince: createOpenSince(world),
    term: undefined,
    renews: undefined,
    ends: 0,
    busy: false,
    standBackUntil: -Infinity,
    lastCallAt: -Infinity,
    toldUnreadable: false,
  };
  return {
    look: () => look(state),
    endTerm: () => endTerm(state),
    status: () => dutyStatus(options.duty.name, state),
    lastCallAt: () => state.lastCallAt,
  };
}

function look(state: TaskState): void {
  if (state.busy || !state.options.isLeader()) return;
  reportLate(state);
  state.busy = true;
  void advance(state).then(
    (changed) => {
      state.busy = false;
      if (changed) state.options.onProgress();
    },
    (error: unknown) => {
      state.busy = false;
      state.world.log(3110, { duty: state.options.duty.name, why: String(error) });
    },
  );
}

/** One step; whether it changed anything. */
async function advance(state: TaskState): Promise<boolean> {
  const term = await readiedTerm(state);
  if (term === undefined) return false;
  const next = nextRecord(state, term);
  term.waiting = next.waiting;
  if (needsHigherFence(state, term, next.record)) {
    endTerm(state);
    state.renews = term;
    return true;
  }
  if (next.record !== term.record && !(await commit(state, term, next))) return false;
  const intent = nextCall(state, term);
  if (intent === undefined || !state.options.canCall() || !state.options.pacer.take()) return false;
  await makeCall(state, term, intent);
  return true;
}

/**
 * Whether a new call for a subject could be followed by an older one that got no answer and is still on its way. Under a
 * higher fence the platform tells them apart. Duties that never overtake repeat the older one as it was.
 */
function needsHigherFence({ options }: TaskState, term: OwnTerm, next: DutyRecord): boolean {
  const planned = next.open.filter((intent) => intent.id > term.record.lastIntent);
  return options.duty.maySupersede && planned.some((intent) => term.unclear.has(intent.subject));
}

/** This node's term with the newest record, which is taken or read where that is due. */
async function readiedTerm(state: TaskState): Promise<OwnTerm | undefined> {
  if (state.term === undefined) await takeTerm(state);
  else if (state.term.mustRead) await readAgain(state, state.term);
  return state.term?.mustRead === false ? state.term : undefined;
}

/** The version of the write that names this node is the fence of its term. */
async function takeTerm(state: TaskState): Promise<void> {
  const { world, options } = state;
  if (world.now() < state.standBackUntil || !options.canCall()) return;
  const { ends } = state;
  const stored = await options.record.read();
  const record = stored === undefined ? undefined : readRecord(state, stored);
  if (stored === undefined || record === undefined || state.ends !== ends || !options.canCall()) return;
  if (state.renews !== undefined && isDeposed(state, state.renews, record)) return;
  const id = newTermId(world);
  const own: DutyRecord = { ...record, term: { holder: options.member, id } };
  const fence = await options.record.write(stored.version, encodeDutyRecord(own));
  if (fence === undefined || state.ends !== ends) return;
  state.term = createOwnTerm(id, fence, own);
  state.renews = undefined;
  state.openSince.note(own.open);
  world.log(3103, { duty: options.duty.name, fence, open: own.open.length });
}

/** Reads the record after a write whose fate is not known. */
async function readAgain(state: TaskState, term: OwnTerm): Promise<void> {
  const stored = await state.options.record.read();
  if (stored === undefined || state.term !== term) return;
  const record = readRecord(state, stored);
  if (record === undefined) return endTerm(state);
  if (isDeposed(state, term, record)) return;
  term.mustRead = false;
  takeIn(state, term, stored.version, record);
}

/** Whether another node has taken the term from this one, which then stands back. */
function isDeposed(state: TaskState, { id, fence }: OwnTerm, record: DutyRecord): boolean {
  if (record.term?.id === id) return false;
  state.world.log(3109, { duty: state.options.duty.name, fence, holder: record.term?.holder ?? '' });
  standBack(state);
  return true;
}

function readRecord(state: TaskState, stored: StoredVersion): DutyRecord | undefined {
  const record = decodeDutyRecord(stored.value);
  if (E.isRight(record)) {
    state.toldUnreadable = false;
    return record.right;
  }
  if (!state.toldUnreadable) state.world.log(3107, { duty: state.options.duty.name, why: record.left });
  state.toldUnreadable = true;
  return undefined;
}

function takeIn(state: TaskState, term: OwnTerm, version: number, record: DutyRecord): void {
  term.version = version;
  term.record = record;
  state.openSince.note(record.open);
}

/** The record with the answers that came, and with what is owed now. */
function nextRecord({ options }: TaskState, term: OwnTerm): PlannedRecord {
  let { record } = term;
  for (const [id, outcome] of term.answers) record = closeIntent(record, id, outcome, term.fence);
  return addPlannedIntents(record, options.duty.plan(record), options.duty.maySupersede);
}

/** Writes the record on top of the version known. False: it may or may not be written, or the term is over. */
async function commit(state: TaskState, term: OwnTerm, next: PlannedRecord): Promise<boolean> {
  const { world, options } = state;
  const version = await options.record.write(term.version, encodeDutyRecord(next.record));
  if (state.term !== term) return false;
  if (version === undefined) {
    term.mustRead = true;
    return false;
  }
  takeIn(state, term, version, next.record);
  term.answers.clear();
  for (const { subject, content } of next.superseded) world.log(3108, { duty: options.duty.name, subject, content });
  return true;
}

/** The oldest open call whose subject does not pause, so that calls for one subject are made in order. */
function nextCall({ pauses }: TaskState, term: OwnTerm): Intent | undefined {
  return term.record.open.find((intent) => pauses.isOver(intent.subject));
}

async function makeCall(state: TaskState, term: OwnTerm, { id, subject, content }: Intent): Promise<void> {
  const { world, options, pauses } = state;
  const duty = options.duty.name;
  state.lastCallAt = world.now();
  const call = { duty, subject, content, holder: options.member, fence: term.fence };
  const outcome = await outcomeOf(world, options, call, (late) =>
    noteClear(state, term, { id, subject, content }, late),
  );
  if (state.term !== term) return;
  if (outcome === 'unknown') term.unclear.add(subject);
  if (outcome === 'busy' || outcome === 'unknown') return pauses.grow(subject);
  noteClear(state, term, { id, subject, content }, outcome);
}

/** Takes in an answer that says what became of the call, also one that comes after the call was taken for unclear. */
function noteClear(state: TaskState, term: OwnTerm, { id, subject, content }: Intent, outcome: CallOutcome): void {
  if (state.term !== term || outcome === 'busy' || outcome === 'unknown') return;
  if (outcome === 'fenced') return endFenced(state, term, subject);
  state.pauses.end(subject);
  term.answers.set(id, outcome);
  if (outcome === 'refused') state.world.log(3106, { duty: state.options.duty.name, subject, content });
}

/** A holder with a higher fence has acted. */
function endFenced(state: TaskState, term: OwnTerm, subject: string): void {
  if (state.term !== term) return;
  state.world.log(3105, { duty: state.options.duty.name, subject, fence: term.fence });
  standBack(state);
}

function endTerm(state: TaskState): void {
  state.term = undefined;
  state.renews = undefined;
  state.ends += 1;
  state.pauses.clear();
}

/** Ends the term, and leaves the duty to the other node for as long as must lie between two turns of one holder. */
function standBack(state: TaskState): void {
  endTerm(state);
  state.standBackUntil = state.world.now() + state.options.backOffDuration;
}

function reportLate({ world, options, openSince, term }: TaskState): void {
  for (const { id, subject } of openSince.newlyLate(term?.record.open ?? [], openForLong)) {
    world.log(3104, { duty: options.duty.name, subject, ageMs: Math.round(openSince.age(id) / 1000) });
  }
}
