/** Rules that every decision follows, whatever the history and the conditions. */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { decideNextStep } from './decision.js';

const histories = fc.record({
  attempts: fc.integer({ min: 0, max: 3 }),
  ran: fc.constantFrom('no' as const, 'maybe' as const),
  responseStarted: fc.boolean(),
  lastRefused: fc.boolean(),
});
const conditions = fc.record({
  clientGone: fc.boolean(),
  admitted: fc.boolean(),
  remainingTime: fc.constantFrom(0, 1_000_000),
  idempotent: fc.boolean(),
  resumable: fc.boolean(),
  maxAttempts: fc.integer({ min: 1, max: 3 }),
  retryAllowed: fc.boolean(),
  workerAvailable: fc.boolean(),
});

it('never repeats a non-repeatable run, never denies a possible run, and never exceeds the retry budget', () => {
  fc.assert(
    fc.property(histories, conditions, (history, condition) => {
      const next = decideNextStep(history, condition);
      const runs = next.step === 'run' || next.step === 'resume';
      if (runs && history.ran === 'maybe') expect(condition.idempotent || condition.resumable).toBe(true);
      if (next.step === 'giveUp') expect(next.ran).toBe(history.ran);
      if (history.responseStarted) expect(['stop', 'resume', 'cut']).toContain(next.step);
      if (next.step === 'resume') expect(condition.resumable && history.responseStarted).toBe(true);
      if (runs && (history.attempts > 0 || history.ran === 'maybe'))
        expect(condition.retryAllowed && condition.maxAttempts > history.attempts).toBe(true);
      if (runs) expect(condition.workerAvailable && condition.remainingTime > 0 && !condition.clientGone).toBe(true);
      if (runs) expect(condition.admitted).toBe(true);
      if (next.step === 'giveUp' && next.kind === 'unknown_key')
        expect(!condition.admitted && history.ran === 'no').toBe(true);
    }),
    { seed: 12 },
  );
});
