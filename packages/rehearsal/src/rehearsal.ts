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
export type Subject = { readonly type: 'model'; readonly model: ModelRef } | { readonly type: 'part'; readonly shift: PartShift };
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
  readonly slice: number;
  readonly state: 'running' | 'passed' | 'ended';
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

export const emptyRecord: RehearsalRecord = { live: undefined, before: undefined, parts: {}, running: undefined, ended: [] };
const endedKept = 30;

export function readRecord(b: Buffer): RehearsalRecord {
  return b.length === 0 ? emptyRecord : { ...emptyRecord, ...(JSON.parse(b.toString()) as RehearsalRecord) };
}
export function writeRecord(r: RehearsalRecord): Buffer {
  return Buffer.from(JSON.stringify(r));
}

export function begin(r: RehearsalRecord, id: string, subject: Subject, slice: number, approval: Rehearsal['approval']): RehearsalRecord {
  return { ...r, running: { id, subject, slice, state: 'running', approval, asked: 'none' } };
}

export function passed(r: RehearsalRecord, m: Measured): RehearsalRecord {
  return { ...r, running: { ...r.running!, state: 'passed', measured: m } };
}

export function end(r: RehearsalRecord, outcome: Outcome, m?: Measured): RehearsalRecord {
  const x = r.running!;
  const done: Rehearsal = { ...x, state: 'ended', outcome, measured: m ?? x.measured };
  const ended = [done, ...r.ended].slice(0, endedKept);
  if (outcome !== 'live') return { ...r, running: undefined, ended };
  if (x.subject.type === 'model') return { ...r, running: undefined, ended, before: r.live, live: x.subject.model };
  const s = x.subject.shift;
  return { ...r, running: undefined, ended, parts: { ...r.parts, [s.worker]: { part: s.to, incarnation: s.incarnation } } };
}

export type AnswerKind = 'taken' | 'unknown_rehearsal' | 'ended_rehearsal' | 'superseded_rehearsal';

// An operator's word. A reject of what went live last rolls it back; everything else that has ended is
// answered with its kind and changes nothing.
export function answerOperator(r: RehearsalRecord, id: string, word: 'approve' | 'reject'): { kind: AnswerKind; record: RehearsalRecord } {
  const x = r.running;
  if (x?.id === id) return { kind: 'taken', record: { ...r, running: { ...x, asked: word } } };
  const old = r.ended.find((e) => e.id === id);
  if (old === undefined) return { kind: 'unknown_rehearsal', record: r };
  if (word === 'approve' || old.outcome !== 'live') return { kind: old.outcome === 'superseded' ? 'superseded_rehearsal' : 'ended_rehearsal', record: r };
  const ended = r.ended.map((e) => (e.id === id ? { ...e, outcome: 'rolled back' as const } : e));
  if (old.subject.type === 'model') {
    if (r.live?.hash !== old.subject.model.hash) return { kind: 'superseded_rehearsal', record: r };
    return { kind: 'taken', record: { ...r, live: r.before, before: undefined, ended } };
  }
  const s = old.subject.shift;
  const now = r.parts[s.worker];
  if (now === undefined || now.incarnation !== s.incarnation || now.part !== s.to) return { kind: 'superseded_rehearsal', record: r };
  return { kind: 'taken', record: { ...r, parts: { ...r.parts, [s.worker]: { part: s.from, incarnation: s.incarnation } }, ended } };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  function model(n: number): Subject {
    return { type: 'model', model: { version: { epoch: 64, n }, hash: `h${n}`, blob: 'blob/0' } };
  }
  it('goes live only through an end called live, and a reject rolls back to the one before', () => {
    let r = end(begin(emptyRecord, 'a', model(1), 0.1, 'automatic'), 'live');
    r = begin(r, 'b', model(2), 0.1, 'automatic');
    expect(r.live?.hash).toBe('h1');
    r = readRecord(writeRecord(r));
    expect(r.live?.hash).toBe('h1');
    expect(end(r, 'harmful').live?.hash).toBe('h1');
    expect(end(r, 'inconclusive').live?.hash).toBe('h1');
    r = end(r, 'live');
    expect(r.live?.hash).toBe('h2');
    const back = answerOperator(r, 'b', 'reject');
    expect(back.kind).toBe('taken');
    expect(back.record.live?.hash).toBe('h1');
  });
  it('answers a word on an unknown, ended or superseded rehearsal by kind and changes nothing', () => {
    let r = end(begin(emptyRecord, 'a', model(1), 0.1, 'automatic'), 'live');
    r = end(begin(r, 'b', model(2), 0.1, 'automatic'), 'live');
    r = end(begin(r, 'c', model(3), 0.1, 'automatic'), 'harmful');
    expect(answerOperator(r, 'x', 'approve')).toEqual({ kind: 'unknown_rehearsal', record: r });
    expect(answerOperator(r, 'c', 'approve')).toEqual({ kind: 'ended_rehearsal', record: r });
    expect(answerOperator(r, 'c', 'reject')).toEqual({ kind: 'ended_rehearsal', record: r });
    expect(answerOperator(r, 'a', 'reject')).toEqual({ kind: 'superseded_rehearsal', record: r });
  });
}
