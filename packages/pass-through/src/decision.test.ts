import fc from 'fast-check';
import { expect, it } from 'vitest';
import { decideNextStep } from './decision.js';

const ledger = fc.record({
  attempts: fc.integer({ min: 0, max: 3 }),
  ran: fc.constantFrom('no' as const, 'maybe' as const),
  responseStarted: fc.boolean(),
  lastRefused: fc.boolean(),
});
const facts = fc.record({
  clientGone: fc.boolean(),
  admitted: fc.boolean(),
  remainingTime: fc.constantFrom(0, 1_000_000),
  idempotent: fc.boolean(),
  resumable: fc.boolean(),
  maxAttempts: fc.integer({ min: 1, max: 3 }),
  retryAllowed: fc.boolean(),
  workerAvailable: fc.boolean(),
});

it('never runs twice what may not be, never refuses what may have run, and spends no extra send without room', () => {
  fc.assert(
    fc.property(ledger, facts, (l, f) => {
      const s = decideNextStep(l, f);
      const runs = s.step === 'run' || s.step === 'resume';
      if (runs && l.ran === 'maybe') expect(f.idempotent || f.resumable).toBe(true);
      if (s.step === 'giveUp') expect(s.ran).toBe(l.ran);
      if (l.responseStarted) expect(['stop', 'resume', 'cut']).toContain(s.step);
      if (s.step === 'resume') expect(f.resumable && l.responseStarted).toBe(true);
      if (runs && (l.attempts > 0 || l.ran === 'maybe'))
        expect(f.retryAllowed && f.maxAttempts > l.attempts).toBe(true);
      if (runs) expect(f.workerAvailable && f.remainingTime > 0 && !f.clientGone).toBe(true);
      if (runs) expect(f.admitted).toBe(true);
      if (s.step === 'giveUp' && s.kind === 'unknown_key') expect(!f.admitted && l.ran === 'no').toBe(true);
    }),
    { seed: 12 },
  );
});
