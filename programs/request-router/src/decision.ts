/**
 * Decides the next step of a request from its attempts so far and the current conditions. It has no effects of its own;
 * the router core executes the step.
 */
import { failure, type Failure } from './failure.js';
import { noAttemptStarted, type AttemptLedger } from './attempt-ledger.js';

/** The current conditions; `remainingUs` is the time until the deadline. */
export interface DecisionFacts {
  readonly idempotent: boolean;
  readonly remainingUs: number;
  // How many retries the budget allows now.
  readonly availableRetries: number;
  readonly prefillWorkers: number;
  readonly decodeWorkers: number;
  readonly retryAfter: number;
}
/** What to do next. */
export type DecisionStep =
  | { readonly action: 'prefill' }
  | { readonly action: 'decode' }
  | { readonly action: 'fail'; readonly failure: Failure };

/** Decides the next step after each attempt. */
export function decide(ledger: AttemptLedger, facts: DecisionFacts): DecisionStep {
  function failWith(rejection: Failure): DecisionStep {
    return { action: 'fail', failure: rejection };
  }
  const last = ledger.attempts.at(-1);
  // Once a decode has been attempted, a new prefill costs a repeated decode as well.
  const neededRetries = ledger.attempts.some((attempt) => attempt.phase === 'decode') ? 2 : 1;
  const nothingStarted = noAttemptStarted(ledger);
  if (ledger.firstByteSent)
    return failWith(failure('answer_cut', 'The worker failed after the response had begun.', facts.retryAfter));
  if (last?.outcome === 'pending') return failWith(failure('outcome_unknown', 'An attempt has not ended yet.'));
  if (facts.remainingUs <= 0) {
    return failWith(
      nothingStarted
        ? failure('overloaded', 'The request timed out before a worker accepted it.', facts.retryAfter)
        : failure('budget_spent', 'The request timed out.', facts.retryAfter),
    );
  }
  if (last?.phase === 'prefill' && last.outcome === 'done') {
    if (facts.decodeWorkers > 0) return { action: 'decode' };
    return failWith(
      failure(
        facts.idempotent ? 'workers_failed' : 'outcome_unknown',
        'No worker is available for decode; the prefill is complete.',
        facts.retryAfter,
      ),
    );
  }
  if (
    last?.phase === 'decode' &&
    last.outcome === 'notStarted' &&
    facts.availableRetries >= 1 &&
    facts.decodeWorkers > 0
  )
    return { action: 'decode' };
  if (nothingStarted) {
    if (facts.prefillWorkers === 0 || facts.decodeWorkers === 0)
      return failWith(failure('no_workers', 'No worker is available for this request.', facts.retryAfter));
    if (last === undefined || facts.availableRetries >= neededRetries) return { action: 'prefill' };
    return failWith(
      failure('workers_refused', 'Workers refused the request and the retry budget is exhausted.', facts.retryAfter),
    );
  }
  if (!facts.idempotent)
    return failWith(
      failure('outcome_unknown', 'The request is not idempotent and may have run in part.', facts.retryAfter),
    );
  if (facts.availableRetries >= neededRetries && facts.prefillWorkers > 0 && facts.decodeWorkers > 0)
    return { action: 'prefill' };
  return failWith(failure('workers_failed', 'Workers failed and the request cannot be retried now.', facts.retryAfter));
}
