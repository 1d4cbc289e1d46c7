// Decides the next step of one request from its ledger and the facts of the moment. It is asked, and the executor
// obeys. What may not be repeated is sent again only while nothing can have run; a refusal that promises that nothing
// ran is given only then; what has begun is taken up by another worker only where its path allows that, and is cut,
// never ended, where nobody can.

export interface Ledger {
  // How many workers it went to for its run, or for reads beyond the first that was taken up.
  readonly sends: number;
  // Whether something may have run, and whether an answer has begun.
  readonly ran: 'no' | 'maybe';
  readonly begun: boolean;
  readonly lastRefused: boolean;
}
export interface Facts {
  readonly gone: boolean;
  readonly left: number;
  readonly repeatable: boolean;
  readonly resumable: boolean;
  readonly sendsAllowed: number;
  // Whether the budget for extra sends has room, and whether some worker can be assigned.
  readonly extraRoom: boolean;
  readonly workers: boolean;
}
export type Step =
  | { readonly step: 'stop' }
  // `first` is the request's first send of a run; any later one is extra.
  | { readonly step: 'run'; readonly first: boolean }
  | { readonly step: 'resume' }
  | { readonly step: 'cut' }
  | {
      readonly step: 'giveUp';
      readonly kind: 'no_workers' | 'workers_refused' | 'outcome_unknown' | 'budget_spent';
      readonly ran: 'no' | 'maybe';
    };

export function decide(l: Ledger, f: Facts): Step {
  if (f.gone) return { step: 'stop' };
  const again = f.sendsAllowed > l.sends && f.extraRoom && f.workers;
  if (l.begun) return f.left > 0 && f.resumable && again ? { step: 'resume' } : { step: 'cut' };
  if (f.left <= 0) return { step: 'giveUp', kind: 'budget_spent', ran: l.ran };
  if (l.ran === 'maybe') {
    if ((f.repeatable || f.resumable) && again) return { step: 'run', first: false };
    return { step: 'giveUp', kind: 'outcome_unknown', ran: 'maybe' };
  }
  if (l.sends === 0)
    return f.workers ? { step: 'run', first: true } : { step: 'giveUp', kind: 'no_workers', ran: 'no' };
  if (again) return { step: 'run', first: false };
  return { step: 'giveUp', kind: f.workers ? 'workers_refused' : 'no_workers', ran: 'no' };
}
