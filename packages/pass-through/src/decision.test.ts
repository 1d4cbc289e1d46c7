import fc from 'fast-check';
import { expect, it } from 'vitest';
import { decide } from './decision.js';

const ledger = fc.record({
  sends: fc.integer({ min: 0, max: 3 }),
  ran: fc.constantFrom('no' as const, 'maybe' as const),
  begun: fc.boolean(),
  lastRefused: fc.boolean(),
});
const facts = fc.record({
  gone: fc.boolean(),
  admitted: fc.boolean(),
  left: fc.constantFrom(0, 1_000_000),
  repeatable: fc.boolean(),
  resumable: fc.boolean(),
  sendsAllowed: fc.integer({ min: 1, max: 3 }),
  extraRoom: fc.boolean(),
  workers: fc.boolean(),
});

it('never runs twice what may not be, never refuses what may have run, and spends no extra send without room', () => {
  fc.assert(
    fc.property(ledger, facts, (l, f) => {
      const s = decide(l, f);
      const runs = s.step === 'run' || s.step === 'resume';
      if (runs && l.ran === 'maybe') expect(f.repeatable || f.resumable).toBe(true);
      if (s.step === 'giveUp') expect(s.ran).toBe(l.ran);
      if (l.begun) expect(['stop', 'resume', 'cut']).toContain(s.step);
      if (s.step === 'resume') expect(f.resumable && l.begun).toBe(true);
      if (runs && (l.sends > 0 || l.ran === 'maybe')) expect(f.extraRoom && f.sendsAllowed > l.sends).toBe(true);
      if (runs) expect(f.workers && f.left > 0 && !f.gone).toBe(true);
      if (runs) expect(f.admitted).toBe(true);
      if (s.step === 'giveUp' && s.kind === 'unknown_key') expect(!f.admitted && l.ran === 'no').toBe(true);
    }),
    { seed: 12 },
  );
});
