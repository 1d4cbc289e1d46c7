/**
 * The one budget for extra sends and probes: a fifth of the first sends of the last ten seconds. Half of
 * it is granted to the zone's home agent for fetching reports as traffic flows; what is granted
 * counts as spent, whether or not it was used. What is not spent is saved only up to two sends (a prompt
 * read again and its decode) and a fiftieth of the
 * first sends of the last ten seconds: else the savings of a crowd would be spent when it has gone, and the
 * ten seconds after it would hold far more than a fifth.
 */
import type { Micros } from '@tansypost/inner-protocol';

export interface RetryBudget {
  readonly recordFirstAttempt: () => void;
  // How many extra sends are allowed now.
  readonly availableRetries: () => number;
  readonly recordRetry: () => void;
  readonly grantProbes: () => number;
  readonly totals: () => { first: number; extra: number };
}
const budgetWindowUs = 10_000_000;
const slotUs = 100_000;
// A router begins with one, as a worker may die before it has sent anything.
const initialRetries = 1;
export const maxSavedRetries = 2;
export const savedRetryRatio = 0.02;

export function createRetryBudget(now: () => Micros, share = 0.2, probeShare = 0.1): RetryBudget {
  const slots: { at: number; first: number; spent: number }[] = [];
  let [first, extra, probes] = [0, 0, 0];
  let saved = initialRetries;
  function here(): { at: number; first: number; spent: number } {
    const at = Math.floor(now() / slotUs);
    while (slots.length > 0 && slots[0]!.at <= at - budgetWindowUs / slotUs) slots.shift();
    if (slots.at(-1)?.at !== at) slots.push({ at, first: 0, spent: 0 });
    return slots.at(-1)!;
  }
  function sums(): { first: number; spent: number } {
    here();
    return slots.reduce((a, s) => ({ first: a.first + s.first, spent: a.spent + s.spent }), { first: 0, spent: 0 });
  }
  function room(): number {
    const s = sums();
    return Math.max(0, Math.floor(Math.min(saved, share * s.first + initialRetries - s.spent) + 1e-9));
  }
  function spend(): void {
    saved -= 1;
    here().spent += 1;
  }
  return {
    recordFirstAttempt: () => {
      first += 1;
      here().first += 1;
      saved = Math.min(saved + share, maxSavedRetries + savedRetryRatio * sums().first);
    },
    availableRetries: room,
    recordRetry: () => {
      extra += 1;
      spend();
    },
    grantProbes: () => {
      const due = Math.floor(first * probeShare);
      while (probes < due && room() > 0) {
        probes += 1;
        spend();
      }
      return probes;
    },
    totals: () => ({ first, extra }),
  };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  const { createSeededRandom, micros } = await import('@tansypost/inner-protocol');
  it('holds a fifth over every ten seconds, whatever the order of calls', () => {
    const r = createSeededRandom(8);
    let t = 0;
    const b = createRetryBudget(() => micros(t));
    const past: { t: number; first: number; spent: number }[] = [];
    let probes = 0;
    for (let i = 0; i < 4000; i += 1) {
      t += Math.floor(r() * 30_000);
      const burst = Math.floor(t / 3_000_000) % 2 === 0;
      let [f, s] = [0, 0];
      if (r() < (burst ? 0.9 : 0.2)) {
        b.recordFirstAttempt();
        f = 1;
      }
      if (b.availableRetries() > 0) {
        b.recordRetry();
        s += 1;
      }
      const g = b.grantProbes();
      s += g - probes;
      probes = g;
      past.push({ t, first: f, spent: s });
      const w = past.filter((p) => p.t > t - 9_800_000);
      const sum = w.reduce((a, p) => ({ f: a.f + p.first, s: a.s + p.spent }), { f: 0, s: 0 });
      const all = past.filter((p) => p.t > t - 10_200_000).reduce((a, p) => a + p.first, 0);
      expect(sum.s).toBeLessThanOrEqual(0.2 * all + 2);
    }
  });
  it('keeps near a fifth in the ten seconds after a crowd has gone, too', () => {
    let t = 0;
    const b = createRetryBudget(() => micros(t));
    for (let i = 0; i < 400; i += 1) {
      t += 25_000;
      b.recordFirstAttempt();
    }
    let [firsts, spent] = [0, 0];
    for (let i = 0; i < 10; i += 1) {
      t += 990_000;
      b.recordFirstAttempt();
      firsts += 1;
      while (b.availableRetries() > 0) {
        b.recordRetry();
        spent += 1;
      }
    }
    expect(spent).toBeLessThanOrEqual(0.2 * firsts + maxSavedRetries + savedRetryRatio * 400);
  });
}
