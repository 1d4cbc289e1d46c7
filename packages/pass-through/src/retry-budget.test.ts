/** The retry budget of several routers together, also when they restart within one window. */
import { expect, it } from 'vitest';
import { createRetryBudget, type RetryBudget } from './retry-budget.js';

it('stays within the fleet’s budget in every window, for seven routers that retry as often as allowed', () => {
  let time = 0;
  const options = { ratio: 0.2, slack: 54, window: 10_000_000, routerCount: () => 7 };
  const routers = Array.from({ length: 7 }, () => createRetryBudget(() => time, options));
  const history: { time: number; requests: number; retries: number }[] = [];
  for (let i = 0; i < 6000; i += 1) {
    time += 10_000;
    const idle = Math.floor(time / 12_000_000) % 2 === 1;
    let [requests, retries] = [0, 0];
    for (const router of routers) {
      if (!idle && i % 23 === 0) {
        router.recordRequest('s');
        requests += 1;
      }
      while (router.hasRoom('s')) {
        router.recordRetry('s');
        retries += 1;
      }
    }
    history.push({ time, requests, retries });
    const window = history.filter((entry) => entry.time > time - options.window);
    const previous = history.filter(
      (entry) => entry.time > time - 1.5 * options.window && entry.time <= time - 0.5 * options.window,
    );
    const allowedRequests = Math.max(
      window.reduce((sum, entry) => sum + entry.requests, 0),
      previous.reduce((sum, entry) => sum + entry.requests, 0),
    );
    expect(window.reduce((sum, entry) => sum + entry.retries, 0)).toBeLessThanOrEqual(
      options.ratio * allowedRequests + options.slack,
    );
  }
});

/** Retries in one window of seven routers that retry as often as allowed and restart every `interval` microseconds. */
function retriesOverRestarts(restarts: number, interval: number, slack: number): number {
  const options = { ratio: 0.2, slack, window: 10_000_000, routerCount: () => 7 };
  let [now, retries] = [0, 0];
  function startAll(): RetryBudget[] {
    return Array.from({ length: options.routerCount() }, () => createRetryBudget(() => now, options));
  }
  function spendAll(budgets: readonly RetryBudget[]): void {
    for (const budget of budgets)
      while (budget.hasRoom('s')) {
        budget.recordRetry('s');
        retries += 1;
      }
  }
  const beforeRestarts = startAll();
  now += 3 * options.window;
  spendAll(beforeRestarts);
  for (let restart = 0; restart < restarts; restart += 1) {
    now += interval;
    spendAll(startAll());
  }
  return retries;
}

it('BUDGET: stays within the fleet’s budget when all routers restart within a window', () => {
  expect(retriesOverRestarts(1, 1_000_000, 54)).toBeLessThanOrEqual(54);
});

it('BUDGET: stays within the budget when all routers restart twice within a window', () => {
  expect(retriesOverRestarts(2, 3_000_000, 54)).toBeLessThanOrEqual(54);
});
