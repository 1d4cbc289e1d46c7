/**
 * The transitions of the rehearsal record. Going live, ending and rolling back are each one conditional write of the
 * record, so no restart can make a candidate live. All but `begin` need a running rehearsal.
 */
import type { Measured, Outcome, Rehearsal, RehearsalRecord, Subject } from './record.js';

/** The stage in which a change is live, and watched beside a control cohort held back. */
export const watchStage = 2;

/** Share of the requests that take the change, by stage; the first is what the rehearsal was begun with. */
const shares = [undefined, 0.5, 0.9] as const;
const endedKept = 30;

/** Begins a rehearsal; nothing else may be running. */
export function beginRehearsal(
  record: RehearsalRecord,
  id: string,
  subject: Subject,
  slice: number,
  approval: Rehearsal['approval'],
): RehearsalRecord {
  return {
    ...record,
    running: { id, subject, stage: 0, looks: 0, spent: 0, slice, state: 'running', approval, asked: 'none' },
  };
}

/** The name under which the cohorts of a stage are drawn and counted, so that those of two stages are never mixed. */
export function cohortNameOf(rehearsal: Pick<Rehearsal, 'id' | 'stage'>): string {
  return rehearsal.stage === 0 ? rehearsal.id : `${rehearsal.id}#${rehearsal.stage}`;
}

/** Counts an interim analysis. */
export function countAnalysis(record: RehearsalRecord): RehearsalRecord {
  const running = record.running!;
  return { ...record, running: { ...running, looks: running.looks + 1 } };
}

/** Adds to the time of the stage, in microseconds. */
export function addElapsedTime(record: RehearsalRecord, elapsed: number): RehearsalRecord {
  const running = record.running!;
  return { ...record, running: { ...running, spent: running.spent + elapsed } };
}

/** A stage that passed leads to the next; the one before going live leads to `passed`. */
export function passStage(record: RehearsalRecord, measured: Measured): RehearsalRecord {
  const running = record.running!;
  const stage = running.stage + 1;
  if (stage >= watchStage) return { ...record, running: { ...running, state: 'passed', measured } };
  return { ...record, running: { ...running, stage, looks: 0, spent: 0, slice: shares[stage]!, measured } };
}

/** Goes live, with a control cohort held back and watched for a while. */
export function goLive(record: RehearsalRecord): RehearsalRecord {
  const running: Rehearsal = {
    ...record.running!,
    state: 'watched',
    stage: watchStage,
    looks: 0,
    spent: 0,
    slice: shares[watchStage],
  };
  if (running.subject.type === 'model') {
    return { ...record, running, before: record.live, live: running.subject.model };
  }
  const { worker, incarnation, to } = running.subject.shift;
  return { ...record, running, parts: { ...record.parts, [worker]: { part: to, incarnation } } };
}

/** Takes back what a subject changed when it went live. */
export function rollBack(record: RehearsalRecord, subject: Subject): RehearsalRecord {
  if (subject.type === 'model') return { ...record, live: record.before, before: undefined };
  const { worker, incarnation, from } = subject.shift;
  return { ...record, parts: { ...record.parts, [worker]: { part: from, incarnation } } };
}

/**
 * Ends a rehearsal. Only what is watched is live, and only that can end as live; what was live already and does not
 * stay so is rolled back, whatever showed it.
 */
export function endRehearsal(record: RehearsalRecord, outcome: Outcome, measured?: Measured): RehearsalRecord {
  const running = record.running!;
  const undo = running.state === 'watched' && outcome !== 'live';
  const done: Rehearsal = {
    ...running,
    state: 'ended',
    outcome: undo ? 'rolled back' : outcome,
    measured: measured ?? running.measured,
  };
  const next = { ...record, running: undefined, ended: [done, ...record.ended].slice(0, endedKept) };
  return undo ? rollBack(next, running.subject) : next;
}
