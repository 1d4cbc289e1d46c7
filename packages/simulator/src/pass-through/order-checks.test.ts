/** The check on orders to workers, on histories that break it and on one that does not. */
import { expect, it } from 'vitest';
import { checkPassed } from './passed-checks.js';
import { passedDeployments } from './passed-deployment.js';
import { emptyHistory, type StageOrderRecord } from './passed-history.js';

const second = 1_000_000;

function order(at: number, machine: string, fence: number, worker = 'w1'): StageOrderRecord {
  return { at: at * second, machine, holder: machine, fence, worker, stage: 'decode', status: 202 };
}
function breachesOf(orders: readonly StageOrderRecord[], woken: readonly string[] = []): string[] {
  const history = emptyHistory();
  history.orders.push(...orders);
  for (const machine of woken)
    history.troubles.push({ who: `woken ${machine}`, what: 'woken', from: 11.9 * second, to: 12.2 * second });
  return checkPassed(history, passedDeployments['ferry']!).map((breach) => breach.rule);
}

it('lets one machine order again and again, and another one after three seconds', () => {
  expect(breachesOf([order(9, 'c0', 1), order(9.5, 'c0', 2), order(12.5, 'c1', 3)])).toEqual([]);
  expect(breachesOf([order(9, 'c0', 1), order(9.1, 'c1', 2, 'w2')])).toEqual([]);
});

it('sees holders that take turns, one fence for two, and a fence that falls', () => {
  expect(breachesOf([order(9, 'c0', 1), order(12, 'c1', 2), order(12.1, 'c0', 3)])).toEqual(['one orderer']);
  expect(breachesOf([order(9, 'c0', 1), order(20, 'c1', 1)])).toEqual(['one orderer']);
  expect(breachesOf([order(9, 'c0', 5), order(20, 'c0', 4)])).toEqual(['one orderer']);
});

it('does not count an order that a machine had on its way when it froze', () => {
  const turns = [order(10, 'c0', 2), order(12, 'c1', 3)];
  expect(breachesOf(turns)).toEqual(['one orderer']);
  expect(breachesOf(turns, ['c1'])).toEqual([]);
});
