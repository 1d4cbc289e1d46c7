/** The term of a duty that this node has. */
import type { World } from '@tansypost/inner-protocol';
import type { DutyRecord, FinalOutcome } from './duty-record.js';

/** A term, and what this node knows of the record. */
export interface OwnTerm {
  readonly id: string;
  readonly fence: number;
  version: number;
  record: DutyRecord;
  /** A write got no answer or failed: the record must be read before anything else. */
  mustRead: boolean;
  /** Answers that are not in the record yet, by intent. */
  readonly answers: Map<number, FinalOutcome>;
  /** Subjects of which a call under this fence may still be on its way. */
  readonly unclear: Set<string>;
  waiting: number;
}

const termIdRange = 2 ** 48;
const base36 = 36;

/** An id that no other term has. */
export function newTermId({ random }: Pick<World, 'random'>): string {
  return Math.floor(random() * termIdRange).toString(base36);
}

/** A term that was just taken by writing `record`; the version of that write is its fence. */
export function createOwnTerm(id: string, fence: number, record: DutyRecord): OwnTerm {
  return { id, fence, version: fence, record, mustRead: false, answers: new Map(), unclear: new Set(), waiting: 0 };
}
