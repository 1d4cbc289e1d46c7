import { expect, it } from 'vitest';
import { createRetryBudget, type RetryBudget } from './send-budget.js';

it('stays within the fleet’s budget over every window, for seven routers that spend all they can', () => {
  let t = 0;
  const terms = { ratio: 0.2, slack: 54, window: 10_000_000, routerCount: () => 7 };
  const routers = Array.from({ length: 7 }, () => createRetryBudget(() => t, terms));
  const past: { t: number; f: number; e: number }[] = [];
  for (let i = 0; i < 6000; i += 1) {
    t += 10_000;
    const quiet = Math.floor(t / 12_000_000) % 2 === 1;
    let [f, e] = [0, 0];
    for (const r of routers) {
      if (!quiet && i % 23 === 0) {
        r.recordRequest('s');
        f += 1;
      }
      while (r.hasRoom('s')) {
        r.recordRetry('s');
        e += 1;
      }
    }
    past.push({ t, f, e });
    const w = past.filter((p) => p.t > t - terms.window);
    const before = past.filter((p) => p.t > t - 1.5 * terms.window && p.t <= t - 0.5 * terms.window);
    const firsts = Math.max(
      w.reduce((a, p) => a + p.f, 0),
      before.reduce((a, p) => a + p.f, 0),
    );
    expect(w.reduce((a, p) => a + p.e, 0)).toBeLessThanOrEqual(terms.ratio * firsts + terms.slack);
  }
});

/** Extra sends within one window of seven routers that spend all they can, and begin anew so often, `apart` microseconds apart. */
function spentOverLives(starts: number, apart: number, always: number): number {
  const terms = { ratio: 0.2, slack: always, window: 10_000_000, routerCount: () => 7 };
  let [now, extras] = [0, 0];
  function startAll(): RetryBudget[] {
    return Array.from({ length: terms.routerCount() }, () => createRetryBudget(() => now, terms));
  }
  function spendAll(budgets: readonly RetryBudget[]): void {
    for (const budget of budgets)
      while (budget.hasRoom('s')) {
        budget.recordRetry('s');
        extras += 1;
      }
  }
  const firstLife = startAll();
  now += 3 * terms.window;
  spendAll(firstLife);
  for (let start = 0; start < starts; start += 1) {
    now += apart;
    spendAll(startAll());
  }
  return extras;
}

it('BUDGET: stays within the fleet’s budget though all routers begin anew within a window', () => {
  expect(spentOverLives(1, 1_000_000, 54)).toBeLessThanOrEqual(54);
});

it('BUDGET: stays within the budget though all routers begin anew twice within a window', () => {
  expect(spentOverLives(2, 3_000_000, 54)).toBeLessThanOrEqual(54);
});
