/** The term of a duty that this node holds. */
import type { World } from '@tansypost/inner-protocol';
import type { DutyRecord, FinalOutcome } from './duty-record.js';

/** A term, and this node's copy of the duty's record. */
export interface OwnTerm {
  readonly id: string;
  readonly fence: number;
  version: number;
  record: DutyRecord;
  /** A write failed or got no answer: the record must be read again before anything else. */
  needsReread: boolean;
  /** Definite outcomes that are not in the record yet, by id of the intent. */
  readonly unrecordedOutcomes: Map<number, FinalOutcome>;
  /** Subjects for which a call with this fence may still be in transit. */
  readonly uncertainSubjects: Set<string>;
  /** Number of planned calls that did not fit into the record yet. */
  waiting: number;
}

const termIdRange = 2 ** 48;
const base36 = 36;

/** A random id, from a range so large that two terms practically never have the same one. */
export function newTermId({ random }: Pick<World, 'random'>): string {
  return Math.floor(random() * termIdRange).toString(base36);
}

/** A term that was acquired by writing `record`; the version of that write is its fence. */
export function createOwnTerm(id: string, fence: number, record: DutyRecord): OwnTerm {
  return {
    id,
    fence,
    version: fence,
    record,
    needsReread: false,
    unrecordedOutcomes: new Map(),
    uncertainSubjects: new Set(),
    waiting: 0,
  };
}
