/**
 * The interface of a duty, which is a task that one control node at a time, the leader, performs by calls to the platform
 * API; and the port through which these calls are made.
 */
import type { DutyRecord } from './duty-record.js';

/** A call that a duty wants to make. */
export interface PlannedCall {
  /** The object that the call is about. Calls for one subject are made in order. */
  readonly subject: string;
  /** The exact JSON text of the call's body; it never changes once the call is recorded as an intent. */
  readonly content: string;
}

/** A call as it is sent to the platform. */
export interface DutyCall extends PlannedCall {
  readonly duty: string;
  /** Name of the node that makes the call. */
  readonly holder: string;
  /** Fencing token: higher for each later term of the duty, and never the same for two terms. */
  readonly fence: number;
}

/**
 * How a call ended. `fenced`: rejected because the platform has seen a higher fence. `refused`: rejected permanently for
 * another reason. `busy`: rejected for now. `unknown`: no definite answer, so the call may have been carried out.
 */
export type CallOutcome = 'accepted' | 'fenced' | 'refused' | 'busy' | 'unknown';

/** Makes calls to the platform. */
export interface DutyPort {
  readonly call: (call: DutyCall) => Promise<CallOutcome>;
}

/** A duty. The calls to make follow from its record and from the state that the implementation holds. */
export interface Duty {
  readonly name: string;
  /** Whether a newer call for a subject replaces an open one. */
  readonly maySupersede: boolean;
  /**
   * The calls to make now beyond the open calls of the record, in order. Called with the newest record several times a
   * second, only while this node is the leader. If a call must never be repeated with another content, the duty must not
   * plan it again while the record holds it, open or accepted.
   */
  readonly plan: (record: DutyRecord) => readonly PlannedCall[];
}
