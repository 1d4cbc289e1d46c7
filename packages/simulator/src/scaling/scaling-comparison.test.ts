/** The planner on the closed model, one seed a day: what it may cost in late requests and in seconds of workers. */
import { expect, it } from 'vitest';
import {
  defaultFleet,
  defaultPricing,
  comparisonDays,
  compareScalingPolicies,
  type PolicyStatistics,
} from './scaling-comparison.js';

function played(name: string): (policy: string) => PolicyStatistics {
  const figures = compareScalingPolicies(
    1,
    defaultFleet,
    defaultPricing,
    comparisonDays.filter((day) => day.name === name),
  );
  return (policy) => figures.find((each) => each.policy === policy)!;
}
function lateShare({ late, failed, requests }: PolicyStatistics): number {
  return (late + failed) / requests;
}

it('pays for no more than was there on a calm day, and serves as well', () => {
  const of = played('calm wave');
  expect(of('planner').workerSeconds).toBeLessThanOrEqual(of('as at the start').workerSeconds * 1.02);
  expect(lateShare(of('planner'))).toBeLessThanOrEqual(lateShare(of('all always')) + 0.002);
});

it('is nearly as late as an oracle on a day that grows beyond what was there, and far from doing nothing', () => {
  const of = played('slow rise to 2.2 times');
  expect(lateShare(of('planner'))).toBeLessThan(lateShare(of('oracle')) + 0.005);
  expect(lateShare(of('as at the start'))).toBeGreaterThan(0.2);
});

it('earns more than all workers always on each day', () => {
  for (const name of ['lull of 90 s', 'step to 1.8 times for 60 s', 'busiest zone lost for 30 s']) {
    const of = played(name);
    expect([name, of('planner').value > of('all always').value]).toEqual([name, true]);
  }
});
