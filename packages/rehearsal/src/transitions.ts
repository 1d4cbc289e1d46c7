/**
 * The transitions of the rehearsal record. Going live, ending and rolling back are each a single conditional write of the
 * record, so that a restart cannot make a change live. All but `beginRehearsal` and `rollBack` require a running rehearsal.
 */
import type { Measured, Outcome, Rehearsal, RehearsalRecord, Subject } from './record.js';

/** The stage in which a change is live and is compared with a control cohort that is held back. */
export const watchStage = 2;

/** Share of the requests that take the change, by stage; that of the first stage is given when the rehearsal begins. */
const treatmentShares = [undefined, 0.5, 0.9] as const;
const maxEnded = 30;

/** Begins a rehearsal; no other may be running. */
export function beginRehearsal(
  record: RehearsalRecord,
  id: string,
  subject: Subject,
  treatmentShare: number,
  approval: Rehearsal['approval'],
): RehearsalRecord {
  return {
    ...record,
    running: {
      id,
      subject,
      stage: 0,
      looks: 0,
      spent: 0,
      slice: treatmentShare,
      state: 'running',
      approval,
      asked: 'none',
    },
  };
}

/** The name that identifies the cohorts of a stage. Each stage has its own, so that their statistics are never mixed. */
export function cohortNameOf(rehearsal: Pick<Rehearsal, 'id' | 'stage'>): string {
  return rehearsal.stage === 0 ? rehearsal.id : `${rehearsal.id}#${rehearsal.stage}`;
}

/** Counts an interim analysis that changed nothing else. */
export function countAnalysis(record: RehearsalRecord): RehearsalRecord {
  const running = record.running!;
  return { ...record, running: { ...running, looks: running.looks + 1 } };
}

/** Adds to the stage's running time, in microseconds. */
export function addElapsedTime(record: RehearsalRecord, elapsed: number): RehearsalRecord {
  const running = record.running!;
  return { ...record, running: { ...running, spent: running.spent + elapsed } };
}

/** Goes on to the next stage; from the last one before going live, to the state `passed`. */
export function passStage(record: RehearsalRecord, measured: Measured): RehearsalRecord {
  const running = record.running!;
  const stage = running.stage + 1;
  if (stage >= watchStage) return { ...record, running: { ...running, state: 'passed', measured } };
  return { ...record, running: { ...running, stage, looks: 0, spent: 0, slice: treatmentShares[stage]!, measured } };
}

/** Makes the change live; for a while it is compared with a control cohort that is held back. */
export function goLive(record: RehearsalRecord): RehearsalRecord {
  const running: Rehearsal = {
    ...record.running!,
    state: 'watched',
    stage: watchStage,
    looks: 0,
    spent: 0,
    slice: treatmentShares[watchStage],
  };
  if (running.subject.type === 'model') {
    return { ...record, running, before: record.live, live: running.subject.model };
  }
  const { worker, incarnation, to } = running.subject.shift;
  return { ...record, running, parts: { ...record.parts, [worker]: { part: to, incarnation } } };
}

/** Reverts a change that went live. */
export function rollBack(record: RehearsalRecord, subject: Subject): RehearsalRecord {
  if (subject.type === 'model') return { ...record, live: record.before, before: undefined };
  const { worker, incarnation, from } = subject.shift;
  return { ...record, parts: { ...record.parts, [worker]: { part: from, incarnation } } };
}

/**
 * Ends a rehearsal. A change is live only in the state `watched`, and only from there can a rehearsal end as `live`; with
 * any other outcome a change that is live is rolled back.
 */
export function endRehearsal(record: RehearsalRecord, outcome: Outcome, measured?: Measured): RehearsalRecord {
  const running = record.running!;
  const isRolledBack = running.state === 'watched' && outcome !== 'live';
  const ended: Rehearsal = {
    ...running,
    state: 'ended',
    outcome: isRolledBack ? 'rolled back' : outcome,
    measured: measured ?? running.measured,
  };
  const next = { ...record, running: undefined, ended: [ended, ...record.ended].slice(0, maxEnded) };
  return isRolledBack ? rollBack(next, running.subject) : next;
}
