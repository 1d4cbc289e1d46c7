/**
 * The rehearsal record, one key of the control state: which model is live, which stage each worker serves (stored as its
 * `part`), which change is being rehearsed, and how earlier rehearsals ended. It is stored as JSON under these names.
 */
import type { ModelVersion } from '@tansypost/placement';

/** The stage that a worker serves: prefill, decode, or both. */
export type WorkerStage = 'prefill' | 'decode' | 'both';

/** A reference to a model. */
export interface ModelRef {
  readonly version: ModelVersion;
  readonly hash: string;
  /** Key of the control state that holds its bytes. */
  readonly blob: string;
}

/** A worker's change from one stage to another. */
export interface StageChange {
  readonly worker: string;
  readonly incarnation: number;
  readonly from: WorkerStage;
  readonly to: WorkerStage;
}

/** The change that is rehearsed: a new model, or a worker's stage. */
export type Subject =
  { readonly type: 'model'; readonly model: ModelRef } | { readonly type: 'part'; readonly shift: StageChange };

/** How a rehearsal ended. */
export type Outcome = 'live' | 'harmful' | 'inconclusive' | 'rejected' | 'rolled back' | 'superseded';

/**
 * Requests of one cohort, how many of them failed, and the mean and standard deviation of ln(TTFT in microseconds). A
 * failed request enters with its timeout.
 */
export interface CohortMeasurements {
  readonly count: number;
  readonly failures: number;
  readonly meanLog: number;
  readonly sdLog: number;
}

/** The measurements that a verdict was based on. */
export interface Measured {
  /** The treatment cohort. */
  readonly slice: CohortMeasurements;
  readonly control: CohortMeasurements;
  /** The reason for the verdict. */
  readonly why: string;
}

/**
 * One rehearsal. It widens in stages: a small treatment cohort, then half of the requests, then, once live, all but a
 * control cohort that is held back. Each stage has its own statistics and verdicts.
 */
export interface Rehearsal {
  readonly id: string;
  readonly subject: Subject;
  /** The number of the rehearsal's stage, not a worker's stage. */
  readonly stage: number;
  /** How many interim analyses of this stage have been made. */
  readonly looks: number;
  /** How long this stage has run, in microseconds, added up over the successive leaders of the role. */
  readonly spent: number;
  /** Share of the requests that take the change, from 0 to 1. */
  readonly slice: number;
  /** `passed`: all stages before going live were passed; `watched`: live, and compared with a control cohort. */
  readonly state: 'running' | 'passed' | 'watched' | 'ended';
  readonly approval: 'automatic' | 'operator';
  /** What the operator has decided; 'none' until then. */
  readonly asked: 'none' | 'approve' | 'reject';
  readonly outcome?: Outcome;
  readonly measured?: Measured;
}

/** The stage assigned to a worker. */
export interface StageEntry {
  readonly part: WorkerStage;
  readonly incarnation: number;
}

/** The rehearsal record. */
export interface RehearsalRecord {
  readonly live: ModelRef | undefined;
  /** The model that was live before, to roll back to. */
  readonly before: ModelRef | undefined;
  readonly parts: { readonly [worker: string]: StageEntry };
  readonly running: Rehearsal | undefined;
  /** Earlier rehearsals, newest first. */
  readonly ended: readonly Rehearsal[];
}

/** The record before the first rehearsal. */
export const emptyRecord: RehearsalRecord = {
  live: undefined,
  before: undefined,
  parts: {},
  running: undefined,
  ended: [],
};

/** Decodes the key's value; an empty value is the empty record. Throws when it is not JSON. */
export function decodeRehearsalRecord(value: Buffer): RehearsalRecord {
  if (value.length === 0) return emptyRecord;
  const record = { ...emptyRecord, ...(JSON.parse(value.toString()) as RehearsalRecord) };
  const { running } = record;
  if (running === undefined) return record;
  // Releases that had no stages did not write these three fields; entries of `ended` may lack them.
  const { stage = 0, looks = 0, spent = 0 } = running;
  return { ...record, running: { ...running, stage, looks, spent } };
}

/** Encodes the record as the key's value. */
export function encodeRehearsalRecord(record: RehearsalRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}
