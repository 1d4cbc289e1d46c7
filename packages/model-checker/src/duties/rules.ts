/** Rules for the calls of duties, checked on what the platform and the control state observe. */
import type { StoredVersion } from '@tansypost/control-feed';
import { decodeDutyRecord, type DutyCall } from '@tansypost/duty-log';
import * as E from 'fp-ts/lib/Either.js';
import type { ArrivedCall } from './platform-model.js';
import { lastEndedWindow, orderDuty, orderSubjects, reportOf, reportDuty } from './sample-duties.js';
import { callsPerSecond, scheduleTimes, type DutyScope } from './scope.js';

/** A broken rule. */
export interface BrokenRule {
  readonly rule:
    | 'one content per report'
    | 'one leader per fence'
    | 'turns'
    | 'takeover gap'
    | 'rising fences'
    | 'intent written first'
    | 'term ends'
    | 'pace'
    | 'owed'
    | 'in order'
    | 'newest last';
  readonly detail: string;
}

/** Observes a run and checks the rules. */
export interface RuleChecker {
  readonly broken: () => BrokenRule | undefined;
  /** A duty record was written. */
  readonly observeWrite: (key: string, stored: StoredVersion) => void;
  /** A node has read a duty record. */
  readonly observeRead: (leader: string, key: string, stored: StoredVersion) => void;
  /** A process sends a call. */
  readonly observeSend: (call: DutyCall, now: number, process: string) => void;
  /** A leader was answered that the platform has seen a higher fence. */
  readonly observeFenced: (call: DutyCall) => void;
  readonly observeArrival: (call: ArrivedCall) => void;
  /** Checks the rules for the end of a run; `desiredNumbers` are the numbers that the orders must reach. */
  readonly checkAtEnd: (now: number, desiredNumbers: ReadonlyMap<string, number>) => void;
}

interface CheckerState {
  readonly scope: DutyScope;
  readonly wasReachable: (leader: string, from: number, until: number) => boolean;
  readonly accepted: ArrivedCall[];
  readonly leaderByFence: Map<string, string>;
  readonly written: Set<string>;
  /** The version of the write that began a term, by the term's id. */
  readonly fenceByTermId: Map<string, number>;
  /** The terms that appear in records, by duty, fence and leader. */
  readonly recordedTerms: Set<string>;
  /** The fence of the term that a leader last read from a duty's record, by leader and duty. */
  readonly newestRead: Map<string, number>;
  readonly fenced: Set<string>;
  readonly sendTimesByProcess: Map<string, number[]>;
  broken: BrokenRule | undefined;
}

const secondUs = 1_000_000;
/** Windows that end within this time before the end of a run need not be reported in it. */
const reportSlackUs = 6 * secondUs;

/** Creates a rule checker; `wasReachable` says whether a leader had no faults in a span of time. */
export function createRuleChecker(
  scope: DutyScope,
  wasReachable: (leader: string, from: number, until: number) => boolean,
): RuleChecker {
  const state: CheckerState = {
    scope,
    wasReachable,
    accepted: [],
    leaderByFence: new Map(),
    written: new Set(),
    fenceByTermId: new Map(),
    recordedTerms: new Set(),
    newestRead: new Map(),
    fenced: new Set(),
    sendTimesByProcess: new Map(),
    broken: undefined,
  };
  return {
    broken: () => state.broken,
    observeWrite: (key, stored) => handleWrite(state, key, stored),
    observeRead: (leader, key, stored) => handleRead(state, leader, key, stored),
    observeSend: (call, now, process) => checkSent(state, call, now, process),
    observeFenced: (call) => void state.fenced.add(termKey(call)),
    observeArrival: (call) => checkArrived(state, call),
    checkAtEnd: (now, desiredNumbers) => checkEnd(state, now, desiredNumbers),
  };
}

function breakRule(state: CheckerState, rule: BrokenRule['rule'], detail: string): void {
  state.broken ??= { rule, detail };
}

function termKey({ duty, fence, holder }: Pick<DutyCall, 'duty' | 'fence' | 'holder'>): string {
  return `${duty} ${fence} ${holder}`;
}

function describeCall({ duty, subject, content, holder, fence }: DutyCall): string {
  return `${duty} ${subject} ${content} by ${holder} under ${fence}`;
}

function handleWrite(state: CheckerState, key: string, { version, value }: StoredVersion): void {
  const record = decodeDutyRecord(value);
  if (E.isLeft(record)) return breakRule(state, 'intent written first', record.left);
  const { term, open } = record.right;
  if (term !== null && !state.fenceByTermId.has(term.id)) {
    state.fenceByTermId.set(term.id, version);
    state.recordedTerms.add(termKey({ duty: dutyOf(key), fence: version, holder: term.holder }));
  }
  for (const { subject, content } of open) state.written.add(`${dutyOf(key)} ${subject} ${content}`);
}

function handleRead(state: CheckerState, leader: string, key: string, { value }: StoredVersion): void {
  const record = decodeDutyRecord(value);
  const term = E.isRight(record) ? record.right.term : null;
  if (term !== null) state.newestRead.set(`${leader} ${dutyOf(key)}`, state.fenceByTermId.get(term.id) ?? 0);
}

function dutyOf(key: string): string {
  return key.slice(key.indexOf('/') + 1);
}

function checkSent(state: CheckerState, call: DutyCall, now: number, process: string): void {
  if (!state.written.has(`${call.duty} ${call.subject} ${call.content}`))
    breakRule(state, 'intent written first', describeCall(call));
  const newest = state.newestRead.get(`${call.holder} ${call.duty}`) ?? 0;
  const isSuperseded = call.fence < newest && state.recordedTerms.has(termKey(call));
  if (state.fenced.has(termKey(call)) || isSuperseded) breakRule(state, 'term ends', describeCall(call));
  const recent = (state.sendTimesByProcess.get(process) ?? []).filter((at) => at > now - secondUs);
  recent.push(now);
  state.sendTimesByProcess.set(process, recent);
  if (recent.length > callsPerSecond) breakRule(state, 'pace', `${recent.length} calls of ${process} in a second`);
}

function checkArrived(state: CheckerState, call: ArrivedCall): void {
  const fenceKey = `${call.duty} ${call.fence}`;
  const leader = state.leaderByFence.get(fenceKey) ?? call.holder;
  state.leaderByFence.set(fenceKey, leader);
  if (leader !== call.holder) breakRule(state, 'one leader per fence', `${fenceKey}: ${leader} and ${call.holder}`);
  if (!call.isAccepted) return;
  const before = state.accepted.filter((other) => other.duty === call.duty && other.subject === call.subject);
  state.accepted.push(call);
  if (call.duty === reportDuty) checkReport(state, call, before);
  else checkNewest(state, call, before);
  checkTurns(state, call, before);
  if (!state.scope.leasesOverlap) checkLease(state, call, before);
}

function checkReport(state: CheckerState, call: ArrivedCall, before: readonly ArrivedCall[]): void {
  const { window } = reportOf(call.content);
  const same = before.find((other) => reportOf(other.content).window === window);
  if (same === undefined) return checkOrder(state, call, before);
  if (same.content !== call.content)
    breakRule(state, 'one content per report', `${describeCall(same)}; ${describeCall(call)}`);
}

/** If fences are checked, no order is accepted after a newer one for the same subject. */
function checkNewest(state: CheckerState, call: ArrivedCall, before: readonly ArrivedCall[]): void {
  const newer = before.find((other) => other.sentAt > call.sentAt && other.content !== call.content);
  if (state.scope.fenceChecked && newer !== undefined)
    breakRule(state, 'newest last', `${describeCall(newer)}; ${describeCall(call)}`);
}

/** Windows arrive for the first time in order and without gaps. */
function checkOrder(state: CheckerState, call: ArrivedCall, before: readonly ArrivedCall[]): void {
  const newest = Math.max(-1, ...before.map((other) => reportOf(other.content).window));
  if (reportOf(call.content).window !== newest + 1)
    breakRule(state, 'in order', `${describeCall(call)} after ${newest}`);
}

/** No calls of leaders A, B, A in turn within the takeover gap while both are reachable. */
function checkTurns(state: CheckerState, call: ArrivedCall, before: readonly ArrivedCall[]): void {
  const recent = before.filter((other) => call.at - other.at < scheduleTimes.minTakeoverGap && !other.wasHeld);
  if (call.wasHeld || recent.length === 0) return;
  const first = recent.find((other) => other.holder === call.holder);
  const between = recent.find((other) => other.holder !== call.holder && first !== undefined && other.at >= first.at);
  if (first === undefined || between === undefined) return;
  const from = first.at - scheduleTimes.contactWindow;
  const bothReachable = [call.holder, between.holder].every((leader) => state.wasReachable(leader, from, call.at));
  if (bothReachable)
    breakRule(state, 'turns', `${describeCall(first)}; ${describeCall(between)}; ${describeCall(call)}`);
}

/** What the lease guarantees: a gap between two leaders, and fences that increase in the order of arrival. */
function checkLease(state: CheckerState, call: ArrivedCall, before: readonly ArrivedCall[]): void {
  const last = before.filter((other) => !other.wasHeld).at(-1);
  if (last === undefined || call.wasHeld) return;
  if (call.fence < last.fence) breakRule(state, 'rising fences', `${describeCall(last)}; ${describeCall(call)}`);
  if (last.holder === call.holder || call.at - last.at >= scheduleTimes.minTakeoverGap) return;
  breakRule(
    state,
    'takeover gap',
    `${describeCall(last)}; ${(call.at - last.at) / secondUs} s later ${describeCall(call)}`,
  );
}

function checkEnd(state: CheckerState, now: number, desiredNumbers: ReadonlyMap<string, number>): void {
  const reported = state.accepted
    .filter((call) => call.duty === reportDuty)
    .map((call) => reportOf(call.content).window);
  const newest = Math.max(-1, ...reported);
  const due = lastEndedWindow(now - reportSlackUs);
  if (newest < due) breakRule(state, 'owed', `windows after ${newest} up to ${due}`);
  // If fences are not checked, a superseded order may arrive last.
  if (!state.scope.fenceChecked) return;
  for (const subject of orderSubjects) {
    const calls = state.accepted.filter((call) => call.duty === orderDuty && call.subject === subject);
    const newestFence = Math.max(...calls.map((call) => call.fence));
    const last = calls.filter((call) => call.fence === newestFence).at(-1)?.content;
    const expected = JSON.stringify({ number: desiredNumbers.get(subject) });
    if (last !== expected) breakRule(state, 'owed', `${subject}: ${expected} instead of ${last}`);
  }
}
