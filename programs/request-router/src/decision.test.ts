/** What a router does after each outcome of an attempt. */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import type { AttemptLedger } from './attempt-ledger.js';
import { decide } from './decision.js';
import { failureKinds } from './failure.js';

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
it('never retries a request that may have started and is not idempotent, nor reports as not run one that may have run', () => {
  fc.assert(
    fc.property(fc.array(send, { maxLength: 5 }), fc.boolean(), facts, (attempts, firstByteSent, conditions) => {
      const ledger: AttemptLedger = { attempts, firstByteSent };
      const step = decide(ledger, conditions);
      const started = attempts.some((attempt) => attempt.phase === 'prefill' && attempt.outcome !== 'notStarted');
      if (step.action === 'prefill') expect(conditions.idempotent || !started).toBe(true);
      if (step.action !== 'fail') expect(firstByteSent).toBe(false);
      if (step.action === 'decode')
        expect(attempts.at(-1)!.outcome === 'done' || attempts.at(-1)!.outcome === 'notStarted').toBe(true);
      if (step.action === 'fail' && failureKinds[step.failure.kind].ran === 'no')
        expect(attempts.every((attempt) => attempt.outcome === 'notStarted')).toBe(true);
      if (
        step.action !== 'fail' &&
        attempts.length > 0 &&
        !(attempts.at(-1)!.phase === 'prefill' && attempts.at(-1)!.outcome === 'done')
      ) {
        expect(conditions.availableRetries).toBeGreaterThanOrEqual(
          step.action === 'prefill' && attempts.some((attempt) => attempt.phase === 'decode') ? 2 : 1,
        );
      }
    }),
    { seed: 5, numRuns: 2000 },
  );
});
