import { expect, it } from 'vitest';
import { createSendBudget, type SendBudget } from './send-budget.js';

it('stays within the fleet’s budget over every window, for seven routers that spend all they can', () => {
  let t = 0;
  const terms = { share: 0.2, always: 54, window: 10_000_000, routers: () => 7 };
  const routers = Array.from({ length: 7 }, () => createSendBudget(() => t, terms));
  const past: { t: number; f: number; e: number }[] = [];
  for (let i = 0; i < 6000; i += 1) {
    t += 10_000;
    const quiet = Math.floor(t / 12_000_000) % 2 === 1;
    let [f, e] = [0, 0];
    for (const r of routers) {
      if (!quiet && i % 23 === 0) {
        r.first('s');
        f += 1;
      }
      while (r.room('s')) {
        r.extra('s');
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
    expect(w.reduce((a, p) => a + p.e, 0)).toBeLessThanOrEqual(terms.share * firsts + terms.always);
  }
});

it('BUDGET: stays within the fleet’s budget though all routers begin anew within a window', () => {
  const terms = { share: 0.2, always: 54, window: 10_000_000, routers: () => 7 };
  let [now, extras] = [0, 0];
  function startAll(): SendBudget[] {
    return Array.from({ length: terms.routers() }, () => createSendBudget(() => now, terms));
  }
  function spendAll(budgets: readonly SendBudget[]): void {
    for (const budget of budgets)
      while (budget.room('s')) {
        budget.extra('s');
        extras += 1;
      }
  }
  const firstLife = startAll();
  now += 3 * terms.window;
  spendAll(firstLife);
  now += 1_000_000;
  spendAll(startAll());
  expect(extras).toBeLessThanOrEqual(terms.always);
});

it('BUDGET: stays within the budget though all routers begin anew twice within a window', () => {
  const terms = { share: 0.2, always: 54, window: 10_000_000, routers: () => 7 };
  let [now, extras] = [0, 0];
  function startAll(): SendBudget[] {
    return Array.from({ length: terms.routers() }, () => createSendBudget(() => now, terms));
  }
  function spendAll(budgets: readonly SendBudget[]): void {
    for (const budget of budgets)
      while (budget.room('s')) {
        budget.extra('s');
        extras += 1;
      }
  }
  const firstLife = startAll();
  now += 3 * terms.window;
  spendAll(firstLife);
  for (const _life of [1, 2]) {
    now += 3_000_000;
    spendAll(startAll());
  }
  expect(extras).toBeLessThanOrEqual(terms.always);
});
