// The rehearsal record, one key of the control state: which model is live, which part each worker plays,
// what is being rehearsed now, and how earlier rehearsals ended. Going live, ending and rolling back
// are each one conditional write of this record, so no restart can make a candidate live.
import type { ModelVersion } from '@tansypost/placement';

export type Part = 'prefill' | 'decode' | 'both';
export interface ModelRef {
  readonly version: ModelVersion;
  readonly hash: string;
  readonly blob: string;
}
export interface PartShift {
  readonly worker: string;
  readonly incarnation: number;
  readonly from: Part;
  readonly to: Part;
}
export type Subject =
  { readonly type: 'model'; readonly model: ModelRef } | { readonly type: 'part'; readonly shift: PartShift };
export type Outcome = 'live' | 'harmful' | 'inconclusive' | 'rejected' | 'rolled back' | 'superseded';

export interface ArmFigures {
  readonly count: number;
  readonly failures: number;
  readonly meanLog: number;
  readonly sdLog: number;
}
export interface Measured {
  readonly slice: ArmFigures;
  readonly control: ArmFigures;
  readonly why: string;
}
export interface Rehearsal {
  readonly id: string;
  readonly subject: Subject;
  // A rehearsal widens: a slice, then half of the requests, then, once live, all but a control arm held back. Each stage
  // is counted and judged by itself; `looks` says how many looks at this stage have been taken.
  readonly stage: number;
  readonly looks: number;
  // How long this stage has been under way, counted by its keepers one after the other, in steps.
  readonly spent: number;
  readonly slice: number;
  readonly state: 'running' | 'passed' | 'watched' | 'ended';
  readonly approval: 'automatic' | 'operator';
  readonly asked: 'none' | 'approve' | 'reject';
  readonly outcome?: Outcome;
  readonly measured?: Measured;
}
export interface PartEntry {
  readonly part: Part;
  readonly incarnation: number;
}
export interface RehearsalRecord {
  readonly live: ModelRef | undefined;
  readonly before: ModelRef | undefined;
  readonly parts: { readonly [worker: string]: PartEntry };
  readonly running: Rehearsal | undefined;
  readonly ended: readonly Rehearsal[];
}

export const watchStage = 2;
const widths = [undefined, 0.5, 0.9] as const;

export const emptyRecord: RehearsalRecord = {
  live: undefined,
  before: undefined,
  parts: {},
  running: undefined,
  ended: [],
};
const endedKept = 30;

export function readRecord(b: Buffer): RehearsalRecord {
  if (b.length === 0) return emptyRecord;
  const r = { ...emptyRecord, ...(JSON.parse(b.toString()) as RehearsalRecord) };
  // A release without stages wrote neither of the two.
  return r.running === undefined
    ? r
    : {
        ...r,
        running: {
          ...r.running,
          stage: r.running.stage ?? 0,
          looks: r.running.looks ?? 0,
          spent: r.running.spent ?? 0,
        },
      };
}
export function writeRecord(r: RehearsalRecord): Buffer {
  return Buffer.from(JSON.stringify(r));
}

export function begin(
  r: RehearsalRecord,
  id: string,
  subject: Subject,
  slice: number,
  approval: Rehearsal['approval'],
): RehearsalRecord {
  return {
    ...r,
    running: { id, subject, stage: 0, looks: 0, spent: 0, slice, state: 'running', approval, asked: 'none' },
  };
}

// The name under which the arms of a stage are drawn and counted, so that those of two stages are never mixed.
export function armsOf(x: Pick<Rehearsal, 'id' | 'stage'>): string {
  return x.stage === 0 ? x.id : `${x.id}#${x.stage}`;
}

export function looked(r: RehearsalRecord): RehearsalRecord {
  return { ...r, running: { ...r.running!, looks: r.running!.looks + 1 } };
}

export function timed(r: RehearsalRecord, us: number): RehearsalRecord {
  return { ...r, running: { ...r.running!, spent: r.running!.spent + us } };
}

// A stage that passed leads to the next; the one before going live leads to `passed`.
export function passed(r: RehearsalRecord, m: Measured): RehearsalRecord {
  const x = r.running!;
  if (x.stage + 1 < watchStage)
    return {
      ...r,
      running: { ...x, stage: x.stage + 1, looks: 0, spent: 0, slice: widths[x.stage + 1]!, measured: m },
    };
  return { ...r, running: { ...x, state: 'passed', measured: m } };
}

// Goes live, with a control arm held back and watched for a while.
export function goLive(r: RehearsalRecord): RehearsalRecord {
  const x: Rehearsal = {
    ...r.running!,
    state: 'watched',
    stage: watchStage,
    looks: 0,
    spent: 0,
    slice: widths[watchStage],
  };
  if (x.subject.type === 'model') return { ...r, running: x, before: r.live, live: x.subject.model };
  const s = x.subject.shift;
  return { ...r, running: x, parts: { ...r.parts, [s.worker]: { part: s.to, incarnation: s.incarnation } } };
}

function undone(r: RehearsalRecord, s: Subject): RehearsalRecord {
  if (s.type === 'model') return { ...r, live: r.before, before: undefined };
  const { worker, incarnation, from } = s.shift;
  return { ...r, parts: { ...r.parts, [worker]: { part: from, incarnation } } };
}

// Ends a rehearsal. Only what is watched is live, and only that can end as live.
export function end(r: RehearsalRecord, outcome: Outcome, m?: Measured): RehearsalRecord {
  const x = r.running!;
  const watched = x.state === 'watched';
  // What was live already and does not stay so is rolled back, whatever showed it.
  const done: Rehearsal = {
    ...x,
    state: 'ended',
    outcome: watched && outcome !== 'live' ? 'rolled back' : outcome,
    measured: m ?? x.measured,
  };
  const next = { ...r, running: undefined, ended: [done, ...r.ended].slice(0, endedKept) };
  return watched && outcome !== 'live' ? undone(next, x.subject) : next;
}

export type AnswerKind = 'taken' | 'unknown_rehearsal' | 'ended_rehearsal' | 'superseded_rehearsal';

// An operator's word. A reject of what went live last rolls it back; everything else that has ended is
// answered with its kind and changes nothing.
export function answerOperator(
  r: RehearsalRecord,
  id: string,
  word: 'approve' | 'reject',
): { kind: AnswerKind; record: RehearsalRecord } {
  const x = r.running;
  if (x?.id === id) return { kind: 'taken', record: { ...r, running: { ...x, asked: word } } };
  const old = r.ended.find((e) => e.id === id);
  if (old === undefined) return { kind: 'unknown_rehearsal', record: r };
  if (word === 'approve' || old.outcome !== 'live')
    return { kind: old.outcome === 'superseded' ? 'superseded_rehearsal' : 'ended_rehearsal', record: r };
  const ended = r.ended.map((e) => (e.id === id ? { ...e, outcome: 'rolled back' as const } : e));
  if (old.subject.type === 'model') {
    if (r.live?.hash !== old.subject.model.hash) return { kind: 'superseded_rehearsal', record: r };
    return { kind: 'taken', record: { ...undone(r, old.subject), ended } };
  }
  const s = old.subject.shift;
  const now = r.parts[s.worker];
  if (now === undefined || now.incarnation !== s.incarnation || now.part !== s.to)
    return { kind: 'superseded_rehearsal', record: r };
  return { kind: 'taken', record: { ...undone(r, old.subject), ended } };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  function model(n: number): Subject {
    return { type: 'model', model: { version: { epoch: 64, n }, hash: `h${n}`, blob: 'blob/0' } };
  }
  const m: Measured = {
    slice: { count: 200, failures: 0, meanLog: 0, sdLog: 1 },
    control: { count: 200, failures: 0, meanLog: 0, sdLog: 1 },
    why: '',
  };
  function through(r: RehearsalRecord): RehearsalRecord {
    return end(goLive(passed(passed(r, m), m)), 'live');
  }
  it('widens in stages with arms of their own, and what is watched and turns out harmful is rolled back', () => {
    let r = passed(
      begin(through(begin(emptyRecord, 'a', model(1), 0.1, 'automatic')), 'b', model(2), 0.1, 'automatic'),
      m,
    );
    expect([r.running!.state, r.running!.slice, armsOf(r.running!)]).toEqual(['running', 0.5, 'b#1']);
    expect(looked(r).running!.looks).toBe(1);
    r = passed(r, m);
    expect([r.running!.state, r.live?.hash]).toEqual(['passed', 'h1']);
    r = goLive(r);
    expect([r.running!.state, r.live?.hash, r.before?.hash]).toEqual(['watched', 'h2', 'h1']);
    for (const why of ['harmful', 'rejected', 'superseded'] as const) {
      const back = end(r, why);
      expect([back.live?.hash, back.ended[0]!.outcome]).toEqual(['h1', 'rolled back']);
    }
    expect(end(r, 'live').live?.hash).toBe('h2');
    const shift: Subject = { type: 'part', shift: { worker: 'w', incarnation: 1, from: 'decode', to: 'prefill' } };
    const s = goLive(passed(passed(begin(emptyRecord, 'p', shift, 0.1, 'automatic'), m), m));
    expect(s.parts['w']).toEqual({ part: 'prefill', incarnation: 1 });
    expect(end(s, 'harmful').parts['w']).toEqual({ part: 'decode', incarnation: 1 });
  });
  it('goes live only through an end called live, and a reject rolls back to the one before', () => {
    let r = through(begin(emptyRecord, 'a', model(1), 0.1, 'automatic'));
    r = begin(r, 'b', model(2), 0.1, 'automatic');
    expect(r.live?.hash).toBe('h1');
    r = readRecord(writeRecord(r));
    expect(r.live?.hash).toBe('h1');
    expect(end(r, 'harmful').live?.hash).toBe('h1');
    expect(end(r, 'inconclusive').live?.hash).toBe('h1');
    r = through(r);
    expect(r.live?.hash).toBe('h2');
    const back = answerOperator(r, 'b', 'reject');
    expect(back.kind).toBe('taken');
    expect(back.record.live?.hash).toBe('h1');
  });
  it('answers a word on an unknown, ended or superseded rehearsal by kind and changes nothing', () => {
    let r = through(begin(emptyRecord, 'a', model(1), 0.1, 'automatic'));
    r = through(begin(r, 'b', model(2), 0.1, 'automatic'));
    r = end(begin(r, 'c', model(3), 0.1, 'automatic'), 'harmful');
    expect(answerOperator(r, 'x', 'approve')).toEqual({ kind: 'unknown_rehearsal', record: r });
    expect(answerOperator(r, 'c', 'approve')).toEqual({ kind: 'ended_rehearsal', record: r });
    expect(answerOperator(r, 'c', 'reject')).toEqual({ kind: 'ended_rehearsal', record: r });
    expect(answerOperator(r, 'a', 'reject')).toEqual({ kind: 'superseded_rehearsal', record: r });
  });
}
