/** The bound on retries as a share of requests. */
import { createSeededRandom, micros } from '@tansypost/inner-protocol';
import { expect, it } from 'vitest';
import { maxSavedRetries, savedRetryRatio, createRetryBudget } from './retry-budget.js';

it('spends at most a fifth of the first attempts of any ten seconds, in any order of calls', () => {
  const random = createSeededRandom(8);
  let now = 0;
  const budget = createRetryBudget(() => micros(now));
  const past: { at: number; firstAttempts: number; spent: number }[] = [];
  let probes = 0;
  for (let i = 0; i < 4000; i += 1) {
    now += Math.floor(random() * 30_000);
    const burst = Math.floor(now / 3_000_000) % 2 === 0;
    let [firstAttempts, spent] = [0, 0];
    if (random() < (burst ? 0.9 : 0.2)) {
      budget.recordFirstAttempt();
      firstAttempts = 1;
    }
    if (budget.availableRetries() > 0) {
      budget.recordRetry();
      spent += 1;
    }
    const granted = budget.grantProbes();
    spent += granted - probes;
    probes = granted;
    past.push({ at: now, firstAttempts, spent });
    const recent = past.filter((entry) => entry.at > now - 9_800_000);
    const totals = recent.reduce(
      (sum, entry) => ({ firstAttempts: sum.firstAttempts + entry.firstAttempts, spent: sum.spent + entry.spent }),
      { firstAttempts: 0, spent: 0 },
    );
    const allFirstAttempts = past
      .filter((entry) => entry.at > now - 10_200_000)
      .reduce((sum, entry) => sum + entry.firstAttempts, 0);
    expect(totals.spent).toBeLessThanOrEqual(0.2 * allFirstAttempts + 2);
  }
});
it('stays near a fifth also in the ten seconds after a burst', () => {
  let now = 0;
  const budget = createRetryBudget(() => micros(now));
  for (let i = 0; i < 400; i += 1) {
    now += 25_000;
    budget.recordFirstAttempt();
  }
  let [firstAttempts, spent] = [0, 0];
  for (let i = 0; i < 10; i += 1) {
    now += 990_000;
    budget.recordFirstAttempt();
    firstAttempts += 1;
    while (budget.availableRetries() > 0) {
      budget.recordRetry();
      spent += 1;
    }
  }
  expect(spent).toBeLessThanOrEqual(0.2 * firstAttempts + maxSavedRetries + savedRetryRatio * 400);
});
