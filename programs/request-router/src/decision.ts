/**
 * The decision object: asked after every event of a request what to do next, it answers from the ledger
 * and the facts of the moment, and does nothing itself. The executor obeys.
 */
import { failure, type Failure } from './failure.js';
import { noAttemptStarted, type AttemptLedger } from './attempt-ledger.js';

export interface DecisionFacts {
  readonly idempotent: boolean;
  readonly remainingUs: number;
  // How many extra sends the budget allows now.
  readonly availableRetries: number;
  readonly prefillWorkers: number;
  readonly decodeWorkers: number;
  readonly retryAfter: number;
}
export type DecisionStep =
  { readonly do: 'prefill' } | { readonly do: 'decode' } | { readonly do: 'fail'; readonly failure: Failure };

export function decide(l: AttemptLedger, f: DecisionFacts): DecisionStep {
  function fail(x: Failure): DecisionStep {
    return { do: 'fail', failure: x };
  }
  const last = l.attempts.at(-1);
  // Once a decode was sent, a new prefill will take an extra decode with it.
  const again = l.attempts.some((s) => s.phase === 'decode') ? 2 : 1;
  const untouched = noAttemptStarted(l);
  if (l.firstByteSent)
    return fail(failure('answer_cut', 'The worker broke off after the answer had begun.', f.retryAfter));
  if (last?.outcome === 'pending') return fail(failure('outcome_unknown', 'A send is still open.'));
  if (f.remainingUs <= 0) {
    return fail(
      untouched
        ? failure('overloaded', 'Its patience ran out before a worker took it.', f.retryAfter)
        : failure('budget_spent', 'Its patience ran out.', f.retryAfter),
    );
  }
  if (last?.phase === 'prefill' && last.outcome === 'done') {
    if (f.decodeWorkers > 0) return { do: 'decode' };
    return fail(
      failure(
        f.idempotent ? 'workers_failed' : 'outcome_unknown',
        'No worker is ready to decode; the prompt has been read.',
        f.retryAfter,
      ),
    );
  }
  if (last?.phase === 'decode' && last.outcome === 'notStarted' && f.availableRetries >= 1 && f.decodeWorkers > 0)
    return { do: 'decode' };
  if (untouched) {
    if (f.prefillWorkers === 0 || f.decodeWorkers === 0)
      return fail(failure('no_workers', 'No worker is ready for it.', f.retryAfter));
    if (last === undefined || f.availableRetries >= again) return { do: 'prefill' };
    return fail(
      failure('workers_refused', 'Workers would not take it and no more sends are allowed now.', f.retryAfter),
    );
  }
  if (!f.idempotent)
    return fail(failure('outcome_unknown', 'It may not be repeated and may have run in part.', f.retryAfter));
  if (f.availableRetries >= again && f.prefillWorkers > 0 && f.decodeWorkers > 0) return { do: 'prefill' };
  return fail(failure('workers_failed', 'Workers failed it and no more sends are allowed now.', f.retryAfter));
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  const fc = (await import('fast-check')).default;
  const send = fc.record({
    phase: fc.constantFrom('prefill' as const, 'decode' as const),
    worker: fc.constant('w' as never),
    outcome: fc.constantFrom('done' as const, 'notStarted' as const, 'lapsed' as const, 'unknown' as const),
  });
  const facts = fc.record({
    idempotent: fc.boolean(),
    remainingUs: fc.integer({ min: -1, max: 5 }),
    availableRetries: fc.integer({ min: 0, max: 3 }),
    prefillWorkers: fc.integer({ min: 0, max: 2 }),
    decodeWorkers: fc.integer({ min: 0, max: 2 }),
    retryAfter: fc.constant(1),
  });
  const { failureKinds } = await import('./failure.js');
  it('never sends again what may have started and may not be repeated, nor refuses what may have run', () => {
    fc.assert(
      fc.property(fc.array(send, { maxLength: 5 }), fc.boolean(), facts, (sends, firstByte, f) => {
        const l: AttemptLedger = { attempts: sends, firstByteSent: firstByte };
        const s = decide(l, f);
        const started = sends.some((x) => x.phase === 'prefill' && x.outcome !== 'notStarted');
        if (s.do === 'prefill') expect(f.idempotent || !started).toBe(true);
        if (s.do !== 'fail') expect(firstByte).toBe(false);
        if (s.do === 'decode')
          expect(sends.at(-1)!.outcome === 'done' || sends.at(-1)!.outcome === 'notStarted').toBe(true);
        if (s.do === 'fail' && failureKinds[s.failure.kind].ran === 'no')
          expect(sends.every((x) => x.outcome === 'notStarted')).toBe(true);
        if (
          s.do !== 'fail' &&
          sends.length > 0 &&
          !(sends.at(-1)!.phase === 'prefill' && sends.at(-1)!.outcome === 'done')
        ) {
          expect(f.availableRetries).toBeGreaterThanOrEqual(
            s.do === 'prefill' && sends.some((x) => x.phase === 'decode') ? 2 : 1,
          );
        }
      }),
      { seed: 5, numRuns: 2000 },
    );
  });
}
