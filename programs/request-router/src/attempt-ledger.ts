/**
 * The attempts of one request: every call to a worker and what is known of its outcome. All retry rules depend on this
 * ledger alone. `notStarted` is recorded only on proof: no connection was established, or the worker said itself that it
 * did not begin.
 */
import type { WorkerId } from '@tansypost/inner-protocol';

/** What is known of an attempt; `lapsed` means that the worker no longer had the KV cache of the prefill. */
export type AttemptOutcome = 'pending' | 'done' | 'notStarted' | 'lapsed' | 'unknown';
/** One call to a worker. */
export interface Attempt {
  readonly phase: 'prefill' | 'decode';
  readonly worker: WorkerId;
  outcome: AttemptOutcome;
}
/** All attempts of one request, oldest first, and whether the client has been sent a first byte. */
export interface AttemptLedger {
  readonly attempts: Attempt[];
  firstByteSent: boolean;
}

/** Creates the ledger of a request that has not been sent to a worker. */
export function createAttemptLedger(): AttemptLedger {
  return { attempts: [], firstByteSent: false };
}
/** Whether it is proven that no worker began with the request. */
export function noAttemptStarted(ledger: AttemptLedger): boolean {
  return ledger.attempts.every((attempt) => attempt.outcome === 'notStarted');
}
