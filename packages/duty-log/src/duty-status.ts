/** Where a duty stands at one node, for operators. */
import type { Intent } from './duty-record.js';
import type { OpenSince } from './open-since.js';
import type { OwnTerm } from './own-term.js';
import type { RetryPauses } from './retry-pauses.js';

/** An open call as operators see it. */
export interface OpenCall extends Intent {
  /** How long this node has known of it, in microseconds. */
  readonly age: number;
  /** Calls without a clear answer. */
  readonly failures: number;
}

/** Where a duty stands, as far as this node knows. */
export interface DutyStatus {
  readonly duty: string;
  /** Of this node's term, while it has it. */
  readonly fence: number | undefined;
  /** The oldest first; empty where this node has no term. */
  readonly open: readonly OpenCall[];
  /** Calls owed that had no place in the record. */
  readonly waiting: number;
}

/** What a duty knows of its open calls. */
export interface KnownCalls {
  readonly term: OwnTerm | undefined;
  readonly openSince: OpenSince;
  readonly pauses: RetryPauses;
}

/** The status of the duty with this name. */
export function dutyStatus(duty: string, { term, openSince, pauses }: KnownCalls): DutyStatus {
  const open = (term?.record.open ?? []).map((intent) => ({
    ...intent,
    age: openSince.age(intent.id),
    failures: pauses.failures(intent.subject),
  }));
  return { duty, fence: term?.fence, open, waiting: term?.waiting ?? 0 };
}
