/** Applies an operator's decision on a rehearsal: approve or reject. */
import type { Rehearsal, RehearsalRecord } from './record.js';
import { rollBack } from './transitions.js';

/** Whether the decision was applied, or why not. */
export type OperatorDecisionKind = 'taken' | 'unknown_rehearsal' | 'ended_rehearsal' | 'superseded_rehearsal';

/** The record after the decision; unchanged unless the decision was applied. */
export interface OperatorDecisionResult {
  readonly kind: OperatorDecisionKind;
  readonly record: RehearsalRecord;
}

/**
 * Applies an operator's decision. A running rehearsal takes note of it. Rejecting a change that is still live rolls it
 * back; any other decision on a rehearsal that has ended changes nothing and is answered with the reason.
 */
export function applyOperatorDecision(
  record: RehearsalRecord,
  id: string,
  decision: 'approve' | 'reject',
): OperatorDecisionResult {
  const { running } = record;
  if (running?.id === id) return { kind: 'taken', record: { ...record, running: { ...running, asked: decision } } };
  const past = record.ended.find((rehearsal) => rehearsal.id === id);
  if (past === undefined) return { kind: 'unknown_rehearsal', record };
  if (decision === 'approve' || past.outcome !== 'live') {
    return { kind: past.outcome === 'superseded' ? 'superseded_rehearsal' : 'ended_rehearsal', record };
  }
  if (!isStillLive(record, past)) return { kind: 'superseded_rehearsal', record };
  const ended = record.ended.map((rehearsal) =>
    rehearsal.id === id ? { ...rehearsal, outcome: 'rolled back' as const } : rehearsal,
  );
  return { kind: 'taken', record: { ...rollBack(record, past.subject), ended } };
}

/** Whether nothing has replaced the change that a rehearsal made live. */
function isStillLive(record: RehearsalRecord, { subject }: Rehearsal): boolean {
  if (subject.type === 'model') return record.live?.hash === subject.model.hash;
  const { worker, incarnation, to } = subject.shift;
  const current = record.parts[worker];
  return current !== undefined && current.incarnation === incarnation && current.part === to;
}
