/**
 * The send ledger of one request: every send to a worker and what is known of it. All rules about sending
 * again are asked of this ledger alone. `notStarted` is entered only on proof: no connection came
 * about, or the worker's own word that it did not begin.
 */
import type { WorkerId } from '@tansypost/inner-protocol';

export type AttemptOutcome = 'pending' | 'done' | 'notStarted' | 'lapsed' | 'unknown';
export interface Attempt {
  readonly phase: 'prefill' | 'decode';
  readonly worker: WorkerId;
  outcome: AttemptOutcome;
}
export interface AttemptLedger {
  readonly attempts: Attempt[];
  firstByteSent: boolean;
}

export function createAttemptLedger(): AttemptLedger {
  return { attempts: [], firstByteSent: false };
}
export function noAttemptStarted(l: AttemptLedger): boolean {
  return l.attempts.every((s) => s.outcome === 'notStarted');
}
