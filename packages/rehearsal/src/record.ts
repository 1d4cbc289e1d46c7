/**
 * The rehearsal record, one key of the control state: which model is live, which stage each worker plays (its part), what
 * is being rehearsed now, and how earlier rehearsals ended. It is stored as JSON.
 */
import type { ModelVersion } from '@tansypost/placement';

/** What a worker does: prefill, decode, or either. */
export type WorkerStage = 'prefill' | 'decode' | 'both';

/** A model and where its bytes are. */
export interface ModelRef {
  readonly version: ModelVersion;
  readonly hash: string;
  /** Key of the control state. */
  readonly blob: string;
}

/** A worker's change from one part to another. */
export interface StageChange {
  readonly worker: string;
  readonly incarnation: number;
  readonly from: WorkerStage;
  readonly to: WorkerStage;
}

/** What is rehearsed. */
export type Subject =
  { readonly type: 'model'; readonly model: ModelRef } | { readonly type: 'part'; readonly shift: StageChange };

/** How a rehearsal ended. */
export type Outcome = 'live' | 'harmful' | 'inconclusive' | 'rejected' | 'rolled back' | 'superseded';

/** What was measured of one cohort; times as natural logarithms. */
export interface CohortMeasurements {
  readonly count: number;
  readonly failures: number;
  readonly meanLog: number;
  readonly sdLog: number;
}

/** What a verdict was based on. */
export interface Measured {
  readonly slice: CohortMeasurements;
  readonly control: CohortMeasurements;
  readonly why: string;
}

/**
 * One rehearsal. It widens: a slice, then half of the requests, then, once live, all but a control cohort held back. Each
 * stage is counted and judged by itself.
 */
export interface Rehearsal {
  readonly id: string;
  readonly subject: Subject;
  readonly stage: number;
  /** How many interim analyses of this stage have been made. */
  readonly looks: number;
  /** How long this stage has been under way, in microseconds, as its keepers counted one after the other. */
  readonly spent: number;
  /** Share of the requests that take the change. */
  readonly slice: number;
  readonly state: 'running' | 'passed' | 'watched' | 'ended';
  readonly approval: 'automatic' | 'operator';
  /** What an operator has asked for. */
  readonly asked: 'none' | 'approve' | 'reject';
  readonly outcome?: Outcome;
  readonly measured?: Measured;
}

/** The part that a worker plays. */
export interface StageEntry {
  readonly part: WorkerStage;
  readonly incarnation: number;
}

/** The whole record. */
export interface RehearsalRecord {
  readonly live: ModelRef | undefined;
  /** What was live before, to roll back to. */
  readonly before: ModelRef | undefined;
  readonly parts: { readonly [worker: string]: StageEntry };
  readonly running: Rehearsal | undefined;
  /** The newest first. */
  readonly ended: readonly Rehearsal[];
}

/** The record of a fleet that has rehearsed nothing. */
export const emptyRecord: RehearsalRecord = {
  live: undefined,
  before: undefined,
  parts: {},
  running: undefined,
  ended: [],
};

/** Reads the key's value; an empty one is the empty record. Throws when it is not JSON. */
export function decodeRehearsalRecord(value: Buffer): RehearsalRecord {
  if (value.length === 0) return emptyRecord;
  const record = { ...emptyRecord, ...(JSON.parse(value.toString()) as RehearsalRecord) };
  const { running } = record;
  if (running === undefined) return record;
  // A release without stages wrote none of the three.
  const { stage = 0, looks = 0, spent = 0 } = running;
  return { ...record, running: { ...running, stage, looks, spent } };
}

/** The key's value. */
export function encodeRehearsalRecord(record: RehearsalRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}
