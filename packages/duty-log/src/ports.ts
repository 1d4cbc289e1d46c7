/** What a duty is, and how its calls reach the platform. */
import type { DutyRecord } from './duty-record.js';

/** A call that a duty owes. */
export interface PlannedCall {
  /** What the call is about. Calls for one subject are made in order. */
  readonly subject: string;
  /** The exact JSON text of what is to be told; it never changes once it is written down. */
  readonly content: string;
}

/** A call as it is made. */
export interface DutyCall extends PlannedCall {
  readonly duty: string;
  /** The node that makes it. */
  readonly holder: string;
  /** Rises with each term, and no two terms of a duty have the same. */
  readonly fence: number;
}

/**
 * How a call ended. `fenced`: refused, as a higher fence was seen. `refused`: refused for good for another reason.
 * `busy`: refused for now. `unknown`: no clear answer, so it may have been carried out.
 */
export type CallOutcome = 'accepted' | 'fenced' | 'refused' | 'busy' | 'unknown';

/** The way to the platform. */
export interface DutyPort {
  readonly call: (call: DutyCall) => Promise<CallOutcome>;
}

/** A duty: what it owes follows from its record and from what its owner knows. */
export interface Duty {
  readonly name: string;
  /** Whether a newer call for a subject takes the place of one that is open. */
  readonly maySupersede: boolean;
  /**
   * What is owed now beyond the open calls of the record, in order. Asked several times a second, only while the role
   * is held, with the newest record; what the record holds, open or accepted, must not be planned again with another
   * content where that must not happen.
   */
  readonly plan: (record: DutyRecord) => readonly PlannedCall[];
}
