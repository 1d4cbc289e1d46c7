/** The status of a duty at one node, as reported to operators. */
import type { Intent } from './duty-record.js';
import type { OpenIntentAges } from './open-intent-ages.js';
import type { OwnTerm } from './own-term.js';
import type { RetryBackoff } from './retry-backoff.js';

/** The status of an open call. */
export interface OpenCall extends Intent {
  /** How long this node has known that the call is open, in microseconds. */
  readonly age: number;
  /** Consecutive attempts without a definite outcome. */
  readonly failures: number;
}

/** The status of a duty, as far as this node knows it. */
export interface DutyStatus {
  readonly duty: string;
  /** The fencing token of this node's term; undefined while it has no term. */
  readonly fence: number | undefined;
  /** Open calls, oldest first; empty while this node has no term. */
  readonly open: readonly OpenCall[];
  /** Number of planned calls that did not fit into the record yet. */
  readonly waiting: number;
}

/** The state of a duty task that its status is derived from. */
export interface DutyCallState {
  readonly term: OwnTerm | undefined;
  readonly intentAges: OpenIntentAges;
  readonly backoff: RetryBackoff;
}

/** Builds the status of the duty named `duty`. */
export function dutyStatus(duty: string, { term, intentAges, backoff }: DutyCallState): DutyStatus {
  const open = (term?.record.open ?? []).map((intent) => ({
    ...intent,
    age: intentAges.age(intent.id),
    failures: backoff.failures(intent.subject),
  }));
  return { duty, fence: term?.fence, open, waiting: term?.waiting ?? 0 };
}
