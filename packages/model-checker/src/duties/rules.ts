/** What must hold of the calls of duties, as the platform and the control state see them. */
import type { StoredVersion } from '@tansypost/control-feed';
import { decodeDutyRecord, type DutyCall } from '@tansypost/duty-log';
import * as E from 'fp-ts/lib/Either.js';
import type { ArrivedCall } from './platform-model.js';
import { lastEndedWindow, orderDuty, orderSubjects, reportOf, reportDuty } from './sample-duties.js';
import { callsPerSecond, times, type DutyScope } from './scope.js';

/** A broken rule. */
export interface BrokenRule {
  readonly rule:
    | 'one content'
    | 'one fence'
    | 'turns'
    | 'between holders'
    | 'rising fences'
    | 'written before'
    | 'term ends'
    | 'pace'
    | 'owed'
    | 'in order'
    | 'newest last';
  readonly detail: string;
}

/** Watches a run. */
export interface RuleChecker {
  readonly broken: () => BrokenRule | undefined;
  /** A record was written. */
  readonly written: (key: string, stored: StoredVersion) => void;
  /** A node has read a record. */
  readonly read: (holder: string, key: string, stored: StoredVersion) => void;
  /** A process makes a call. */
  readonly sent: (call: DutyCall, now: number, process: string) => void;
  /** A holder was told that a higher fence was seen. */
  readonly fenced: (call: DutyCall) => void;
  readonly arrived: (call: ArrivedCall) => void;
  /** The run is over; `wanted` is what the orders were to be. */
  readonly end: (now: number, wanted: ReadonlyMap<string, number>) => void;
}

interface WatchState {
  readonly scope: DutyScope;
  readonly wasInTouch: (holder: string, from: number, until: number) => boolean;
  readonly accepted: ArrivedCall[];
  readonly holders: Map<string, string>;
  readonly written: Set<string>;
  /** By the id of a term: the version of the write that began it. */
  readonly fences: Map<string, number>;
  /** Terms by duty, fence and holder, as the records say. */
  readonly ownFences: Set<string>;
  /** By holder and duty: the newest fence of another's term that it has read. */
  readonly newestRead: Map<string, number>;
  readonly fenced: Set<string>;
  readonly sends: Map<string, number[]>;
  broken: BrokenRule | undefined;
}

const second = 1_000_000;
/** Windows that end so shortly before the end of a run need not be reported in it. */
const slack = 6 * second;

/** A watch; `wasInTouch` tells whether nothing befell a holder in a span of time. */
export function createRuleChecker(
  scope: DutyScope,
  wasInTouch: (holder: string, from: number, until: number) => boolean,
): RuleChecker {
  const state: WatchState = {
    scope,
    wasInTouch,
    accepted: [],
    holders: new Map(),
    written: new Set(),
    fences: new Map(),
    ownFences: new Set(),
    newestRead: new Map(),
    fenced: new Set(),
    sends: new Map(),
    broken: undefined,
  };
  return {
    broken: () => state.broken,
    written: (key, stored) => noteWritten(state, key, stored),
    read: (holder, key, stored) => noteRead(state, holder, key, stored),
    sent: (call, now, process) => checkSent(state, call, now, process),
    fenced: (call) => void state.fenced.add(termOf(call)),
    arrived: (call) => checkArrived(state, call),
    end: (now, wanted) => checkEnd(state, now, wanted),
  };
}

function breakRule(state: WatchState, rule: BrokenRule['rule'], detail: string): void {
  state.broken ??= { rule, detail: detail };
}

function termOf({ duty, fence, holder }: Pick<DutyCall, 'duty' | 'fence' | 'holder'>): string {
  return `${duty} ${fence} ${holder}`;
}

function told({ duty, subject, content, holder, fence }: DutyCall): string {
  return `${duty} ${subject} ${content} by ${holder} under ${fence}`;
}

function noteWritten(state: WatchState, key: string, { version, value }: StoredVersion): void {
  const record = decodeDutyRecord(value);
  if (E.isLeft(record)) return breakRule(state, 'written before', record.left);
  const { term, open } = record.right;
  if (term !== null && !state.fences.has(term.id)) {
    state.fences.set(term.id, version);
    state.ownFences.add(termOf({ duty: dutyOf(key), fence: version, holder: term.holder }));
  }
  for (const { subject, content } of open) state.written.add(`${dutyOf(key)} ${subject} ${content}`);
}

function noteRead(state: WatchState, holder: string, key: string, { value }: StoredVersion): void {
  const record = decodeDutyRecord(value);
  const term = E.isRight(record) ? record.right.term : null;
  if (term !== null) state.newestRead.set(`${holder} ${dutyOf(key)}`, state.fences.get(term.id) ?? 0);
}

function dutyOf(key: string): string {
  return key.slice(key.indexOf('/') + 1);
}

function checkSent(state: WatchState, call: DutyCall, now: number, process: string): void {
  if (!state.written.has(`${call.duty} ${call.subject} ${call.content}`))
    breakRule(state, 'written before', told(call));
  const newest = state.newestRead.get(`${call.holder} ${call.duty}`) ?? 0;
  const isOver = call.fence < newest && state.ownFences.has(termOf(call));
  if (state.fenced.has(termOf(call)) || isOver) breakRule(state, 'term ends', told(call));
  const recent = (state.sends.get(process) ?? []).filter((at) => at > now - second);
  recent.push(now);
  state.sends.set(process, recent);
  if (recent.length > callsPerSecond) breakRule(state, 'pace', `${recent.length} calls of ${process} in a second`);
}

function checkArrived(state: WatchState, call: ArrivedCall): void {
  const fenceKey = `${call.duty} ${call.fence}`;
  const holder = state.holders.get(fenceKey) ?? call.holder;
  state.holders.set(fenceKey, holder);
  if (holder !== call.holder) breakRule(state, 'one fence', `${fenceKey}: ${holder} and ${call.holder}`);
  if (!call.isAccepted) return;
  const before = state.accepted.filter((other) => other.duty === call.duty && other.subject === call.subject);
  state.accepted.push(call);
  if (call.duty === reportDuty) checkReport(state, call, before);
  else checkNewest(state, call, before);
  checkTurns(state, call, before);
  if (!state.scope.leasesOverlap) checkLease(state, call, before);
}

function checkReport(state: WatchState, call: ArrivedCall, before: readonly ArrivedCall[]): void {
  const { window } = reportOf(call.content);
  const same = before.find((other) => reportOf(other.content).window === window);
  if (same === undefined) return checkOrder(state, call, before);
  if (same.content !== call.content) breakRule(state, 'one content', `${told(same)}; ${told(call)}`);
}

/** Where fences are compared, an order does not come after a newer one that was accepted. */
function checkNewest(state: WatchState, call: ArrivedCall, before: readonly ArrivedCall[]): void {
  const newer = before.find((other) => other.sentAt > call.sentAt && other.content !== call.content);
  if (state.scope.fenceChecked && newer !== undefined) breakRule(state, 'newest last', `${told(newer)}; ${told(call)}`);
}

/** Windows arrive for the first time one after the other. */
function checkOrder(state: WatchState, call: ArrivedCall, before: readonly ArrivedCall[]): void {
  const newest = Math.max(-1, ...before.map((other) => reportOf(other.content).window));
  if (reportOf(call.content).window !== newest + 1) breakRule(state, 'in order', `${told(call)} after ${newest}`);
}

/** No A, B, A within the time between holders, while both are in touch. */
function checkTurns(state: WatchState, call: ArrivedCall, before: readonly ArrivedCall[]): void {
  const recent = before.filter((other) => call.at - other.at < times.minTakeoverGap && !other.wasHeld);
  if (call.wasHeld || recent.length === 0) return;
  const first = recent.find((other) => other.holder === call.holder);
  const between = recent.find((other) => other.holder !== call.holder && first !== undefined && other.at >= first.at);
  if (first === undefined || between === undefined) return;
  const from = first.at - times.contactWindow;
  const inTouch = [call.holder, between.holder].every((holder) => state.wasInTouch(holder, from, call.at));
  if (inTouch) breakRule(state, 'turns', `${told(first)}; ${told(between)}; ${told(call)}`);
}

/** What the lease gives: a pause between two holders, and fences that rise in the order of arrival. */
function checkLease(state: WatchState, call: ArrivedCall, before: readonly ArrivedCall[]): void {
  const last = before.filter((other) => !other.wasHeld).at(-1);
  if (last === undefined || call.wasHeld) return;
  if (call.fence < last.fence) breakRule(state, 'rising fences', `${told(last)}; ${told(call)}`);
  if (last.holder === call.holder || call.at - last.at >= times.minTakeoverGap) return;
  breakRule(state, 'between holders', `${told(last)}; ${(call.at - last.at) / second} s later ${told(call)}`);
}

function checkEnd(state: WatchState, now: number, wanted: ReadonlyMap<string, number>): void {
  const reported = state.accepted
    .filter((call) => call.duty === reportDuty)
    .map((call) => reportOf(call.content).window);
  const newest = Math.max(-1, ...reported);
  const due = lastEndedWindow(now - slack);
  if (newest < due) breakRule(state, 'owed', `windows after ${newest} up to ${due}`);
  // Where fences are not compared, an order that was overtaken may arrive last.
  if (!state.scope.fenceChecked) return;
  for (const subject of orderSubjects) {
    const calls = state.accepted.filter((call) => call.duty === orderDuty && call.subject === subject);
    const newestFence = Math.max(...calls.map((call) => call.fence));
    const last = calls.filter((call) => call.fence === newestFence).at(-1)?.content;
    const owed = JSON.stringify({ number: wanted.get(subject) });
    if (last !== owed) breakRule(state, 'owed', `${subject}: ${owed} instead of ${last}`);
  }
}
