// The one budget for extra sends and probes: a fifth of the first sends of the last ten seconds. Half of
// it is granted to the zone's home agent for fetching reports as traffic flows; what is granted
// counts as spent, whether or not it was used.
import type { Micros } from '@tansypost/inner-protocol';

export interface ExtraBudget {
  readonly first: () => void;
  readonly mayExtra: () => boolean;
  readonly extra: () => void;
  readonly granted: () => number;
  readonly totals: () => { first: number; extra: number };
}
const window = 10_000_000;
const slot = 100_000;

export function createExtraBudget(now: () => Micros, share = 0.2, probeShare = 0.1): ExtraBudget {
  const slots: { at: number; first: number; spent: number }[] = [];
  let [first, extra, probes] = [0, 0, 0];
  function here(): { at: number; first: number; spent: number } {
    const at = Math.floor(now() / slot);
    while (slots.length > 0 && slots[0]!.at <= at - window / slot) slots.shift();
    if (slots.at(-1)?.at !== at) slots.push({ at, first: 0, spent: 0 });
    return slots.at(-1)!;
  }
  function sums(): { first: number; spent: number } {
    here();
    return slots.reduce((a, s) => ({ first: a.first + s.first, spent: a.spent + s.spent }), { first: 0, spent: 0 });
  }
  function mayExtra(): boolean {
    const s = sums();
    return s.spent + 1 <= share * s.first + 1e-9;
  }
  return {
    first: () => { first += 1; here().first += 1; },
    mayExtra,
    extra: () => { extra += 1; here().spent += 1; },
    granted: () => {
      const due = Math.floor(first * probeShare);
      while (probes < due && mayExtra()) {
        probes += 1;
        here().spent += 1;
      }
      return probes;
    },
    totals: () => ({ first, extra }),
  };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  const { seeded, micros } = await import('@tansypost/inner-protocol');
  it('holds a fifth over every ten seconds, whatever the order of calls', () => {
    const r = seeded(8);
    let t = 0;
    const b = createExtraBudget(() => micros(t));
    const past: { t: number; first: number; spent: number }[] = [];
    let probes = 0;
    for (let i = 0; i < 4000; i += 1) {
      t += Math.floor(r() * 30_000);
      const burst = Math.floor(t / 3_000_000) % 2 === 0;
      let [f, s] = [0, 0];
      if (r() < (burst ? 0.9 : 0.2)) { b.first(); f = 1; }
      if (b.mayExtra()) { b.extra(); s += 1; }
      const g = b.granted();
      s += g - probes;
      probes = g;
      past.push({ t, first: f, spent: s });
      const w = past.filter((p) => p.t > t - 9_800_000);
      const sum = w.reduce((a, p) => ({ f: a.f + p.first, s: a.s + p.spent }), { f: 0, s: 0 });
      const all = past.filter((p) => p.t > t - 10_200_000).reduce((a, p) => a + p.first, 0);
      expect(sum.s).toBeLessThanOrEqual(0.2 * all + 1);
    }
  });
}
