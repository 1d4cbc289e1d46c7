/**
 * The send ledger of one request: every send to a worker and what is known of it. All rules about sending
 * again are asked of this ledger alone. `notStarted` is entered only on proof: no connection came
 * about, or the worker's own word that it did not begin.
 */
import type { WorkerId } from '@tansypost/inner-protocol';

export type SendOutcome = 'pending' | 'done' | 'notStarted' | 'lapsed' | 'unknown';
export interface Send {
  readonly phase: 'prefill' | 'decode';
  readonly worker: WorkerId;
  outcome: SendOutcome;
}
export interface SendLedger {
  readonly sends: Send[];
  firstByte: boolean;
}

export function newLedger(): SendLedger {
  return { sends: [], firstByte: false };
}
export function provablyNeverStarted(l: SendLedger): boolean {
  return l.sends.every((s) => s.outcome === 'notStarted');
}
