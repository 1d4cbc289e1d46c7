/**
 * Decides the next step of one request from its ledger and the facts of the moment. It is asked, and the executor obeys.
 * What may not be repeated is sent again only while nothing can have run; a refusal that promises that nothing ran is
 * given only then; what has begun is taken up by another worker only where its path allows that, and is cut, never
 * ended, where nobody can.
 */

/** What has happened to the request so far. */
export interface AttemptHistory {
  /** How many workers it went to for its run, or for reads beyond the first. */
  readonly attempts: number;
  /** Whether something may have run. */
  readonly ran: 'no' | 'maybe';
  /** Whether an answer has begun. */
  readonly responseStarted: boolean;
  readonly lastRefused: boolean;
}

/** What holds at this moment. */
export interface RequestConditions {
  /** Whether its key, where it needs one, is still that of a tenant. */
  readonly admitted: boolean;
  readonly clientGone: boolean;
  readonly remainingTime: number;
  readonly idempotent: boolean;
  readonly resumable: boolean;
  readonly maxAttempts: number;
  /** Whether the budget for extra sends has room. */
  readonly retryAllowed: boolean;
  /** Whether some worker can be assigned. */
  readonly workerAvailable: boolean;
}

/** The next step; of runs, `first` is the request's first send, and any later one is extra. */
export type Step =
  | { readonly step: 'stop' }
  | { readonly step: 'run'; readonly first: boolean }
  | { readonly step: 'resume' }
  | { readonly step: 'cut' }
  | {
      readonly step: 'giveUp';
      readonly kind: 'no_workers' | 'workers_refused' | 'outcome_unknown' | 'budget_spent' | 'unknown_key';
      readonly ran: 'no' | 'maybe';
    };

function afterPossibleRun(again: boolean, { idempotent: repeatable, resumable }: RequestConditions): Step {
  if ((repeatable || resumable) && again) return { step: 'run', first: false };
  return { step: 'giveUp', kind: 'outcome_unknown', ran: 'maybe' };
}

/** A key that was taken away is good for no further attempt. */
function withoutKey({ ran }: AttemptHistory): Step {
  return { step: 'giveUp', kind: ran === 'no' ? 'unknown_key' : 'outcome_unknown', ran };
}

function whileNothingRan(
  again: boolean,
  { attempts: sends }: AttemptHistory,
  { workerAvailable: workers }: RequestConditions,
): Step {
  if (!workers) return { step: 'giveUp', kind: 'no_workers', ran: 'no' };
  if (sends === 0) return { step: 'run', first: true };
  return again ? { step: 'run', first: false } : { step: 'giveUp', kind: 'workers_refused', ran: 'no' };
}

/** The only step that is allowed and useful now. */
export function decideNextStep(ledger: AttemptHistory, facts: RequestConditions): Step {
  if (facts.clientGone) return { step: 'stop' };
  const again = facts.maxAttempts > ledger.attempts && facts.retryAllowed && facts.workerAvailable;
  const mayResume = facts.remainingTime > 0 && facts.resumable && facts.admitted && again;
  if (ledger.responseStarted) return { step: mayResume ? 'resume' : 'cut' };
  if (facts.remainingTime <= 0) return { step: 'giveUp', kind: 'budget_spent', ran: ledger.ran };
  if (!facts.admitted) return withoutKey(ledger);
  return ledger.ran === 'maybe' ? afterPossibleRun(again, facts) : whileNothingRan(again, ledger, facts);
}
