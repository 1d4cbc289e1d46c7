/** The check of stage orders to workers, on histories with and without a breach. */
import { expect, it } from 'vitest';
import { checkPassed } from './passed-checks.js';
import { passedDeployments } from './passed-deployment.js';
import { emptyHistory, type StageOrderRecord } from './passed-history.js';

const second = 1_000_000;

function order(at: number, machine: string, fence: number, worker = 'w1'): StageOrderRecord {
  return { at: at * second, machine, holder: machine, fence, worker, stage: 'decode', status: 202 };
}
function breachesOf(orders: readonly StageOrderRecord[], resumedMachines: readonly string[] = []): string[] {
  const history = emptyHistory();
  history.orders.push(...orders);
  for (const machine of resumedMachines)
    history.troubles.push({ who: `woken ${machine}`, what: 'woken', from: 11.9 * second, to: 12.2 * second });
  return checkPassed(history, passedDeployments['ferry']!).map((breach) => breach.rule);
}

it('allows repeated orders of one machine, and orders of another one after three seconds', () => {
  expect(breachesOf([order(9, 'c0', 1), order(9.5, 'c0', 2), order(12.5, 'c1', 3)])).toEqual([]);
  expect(breachesOf([order(9, 'c0', 1), order(9.1, 'c1', 2, 'w2')])).toEqual([]);
});

it('detects interleaved leaders, a fence shared by two leaders, and a decreasing fence', () => {
  expect(breachesOf([order(9, 'c0', 1), order(12, 'c1', 2), order(12.1, 'c0', 3)])).toEqual(['one orderer']);
  expect(breachesOf([order(9, 'c0', 1), order(20, 'c1', 1)])).toEqual(['one orderer']);
  expect(breachesOf([order(9, 'c0', 5), order(20, 'c0', 4)])).toEqual(['one orderer']);
});

it('ignores an order that was in flight when its machine froze', () => {
  const orders = [order(10, 'c0', 2), order(12, 'c1', 3)];
  expect(breachesOf(orders)).toEqual(['one orderer']);
  expect(breachesOf(orders, ['c1'])).toEqual([]);
});
