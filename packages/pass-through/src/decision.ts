/**
 * Decides the next step of one request from its history and the current conditions; a pure function that the attempt
 * loop follows. A request that is neither idempotent nor resumable is retried only while nothing can have run. A
 * rejection guarantees that nothing ran only where nothing can have run. A response that has started is resumed at
 * another worker only where its route allows that; where no worker can resume it, it is aborted, never ended as if
 * complete.
 */

/** What has happened to the request so far. */
export interface AttemptHistory {
  /** Workers that the request was sent to for a run, or for a prefill after the first. */
  readonly attempts: number;
  /** Whether a worker may have run the request. */
  readonly ran: 'no' | 'maybe';
  /** Whether a response to the client has started. */
  readonly responseStarted: boolean;
  readonly lastRefused: boolean;
}

/** The current conditions. */
export interface RequestConditions {
  /** Whether the API key, where one is required, still belongs to a tenant. */
  readonly admitted: boolean;
  readonly clientGone: boolean;
  readonly remainingTime: number;
  readonly idempotent: boolean;
  readonly resumable: boolean;
  readonly maxAttempts: number;
  /** Whether the retry budget allows one more attempt. */
  readonly retryAllowed: boolean;
  /** Whether some worker can be assigned. */
  readonly workerAvailable: boolean;
}

/** The next step. `first` marks the first run of a request; any later run counts against the retry budget. */
export type NextStep =
  | { readonly step: 'stop' }
  | { readonly step: 'run'; readonly first: boolean }
  | { readonly step: 'resume' }
  | { readonly step: 'cut' }
  | {
      readonly step: 'giveUp';
      readonly kind: 'no_workers' | 'workers_refused' | 'outcome_unknown' | 'budget_spent' | 'unknown_key';
      readonly ran: 'no' | 'maybe';
    };

function afterPossibleRun(mayRetry: boolean, { idempotent, resumable }: RequestConditions): NextStep {
  if ((idempotent || resumable) && mayRetry) return { step: 'run', first: false };
  return { step: 'giveUp', kind: 'outcome_unknown', ran: 'maybe' };
}

/** A revoked key permits no further attempt. */
function afterKeyRevoked({ ran }: AttemptHistory): NextStep {
  return { step: 'giveUp', kind: ran === 'no' ? 'unknown_key' : 'outcome_unknown', ran };
}

function beforeAnyRun(
  mayRetry: boolean,
  { attempts }: AttemptHistory,
  { workerAvailable }: RequestConditions,
): NextStep {
  if (!workerAvailable) return { step: 'giveUp', kind: 'no_workers', ran: 'no' };
  if (attempts === 0) return { step: 'run', first: true };
  return mayRetry ? { step: 'run', first: false } : { step: 'giveUp', kind: 'workers_refused', ran: 'no' };
}

/** The only step that is both allowed and useful now. */
export function decideNextStep(history: AttemptHistory, conditions: RequestConditions): NextStep {
  if (conditions.clientGone) return { step: 'stop' };
  const mayRetry = conditions.maxAttempts > history.attempts && conditions.retryAllowed && conditions.workerAvailable;
  const mayResume = conditions.remainingTime > 0 && conditions.resumable && conditions.admitted && mayRetry;
  if (history.responseStarted) return { step: mayResume ? 'resume' : 'cut' };
  if (conditions.remainingTime <= 0) return { step: 'giveUp', kind: 'budget_spent', ran: history.ran };
  if (!conditions.admitted) return afterKeyRevoked(history);
  return history.ran === 'maybe' ? afterPossibleRun(mayRetry, conditions) : beforeAnyRun(mayRetry, history, conditions);
}
