/** An operator's word on a rehearsal: approve or reject. */
import type { Rehearsal, RehearsalRecord } from './record.js';
import { rollBack } from './transitions.js';

/** What became of the word. */
export type OperatorDecisionKind = 'taken' | 'unknown_rehearsal' | 'ended_rehearsal' | 'superseded_rehearsal';

/** The record after the word; unchanged unless it was taken. */
export interface OperatorDecisionResult {
  readonly kind: OperatorDecisionKind;
  readonly record: RehearsalRecord;
}

/**
 * Takes an operator's word. A reject of what went live last rolls it back; everything else that has ended is answered
 * with its kind and changes nothing.
 */
export function applyOperatorDecision(
  record: RehearsalRecord,
  id: string,
  word: 'approve' | 'reject',
): OperatorDecisionResult {
  const { running } = record;
  if (running?.id === id) return { kind: 'taken', record: { ...record, running: { ...running, asked: word } } };
  const old = record.ended.find((rehearsal) => rehearsal.id === id);
  if (old === undefined) return { kind: 'unknown_rehearsal', record };
  if (word === 'approve' || old.outcome !== 'live') {
    return { kind: old.outcome === 'superseded' ? 'superseded_rehearsal' : 'ended_rehearsal', record };
  }
  if (!isStillLive(record, old)) return { kind: 'superseded_rehearsal', record };
  const ended = record.ended.map((rehearsal) =>
    rehearsal.id === id ? { ...rehearsal, outcome: 'rolled back' as const } : rehearsal,
  );
  return { kind: 'taken', record: { ...rollBack(record, old.subject), ended } };
}

/** Whether nothing has replaced what a rehearsal made live. */
function isStillLive(record: RehearsalRecord, { subject }: Rehearsal): boolean {
  if (subject.type === 'model') return record.live?.hash === subject.model.hash;
  const { worker, incarnation, to } = subject.shift;
  const now = record.parts[worker];
  return now !== undefined && now.incarnation === incarnation && now.part === to;
}
