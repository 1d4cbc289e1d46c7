/** The scale planner on the closed fleet model, one seed per day: bounds on late requests and on worker seconds. */
import { expect, it } from 'vitest';
import {
  defaultFleet,
  defaultPricing,
  comparisonDays,
  compareScalingPolicies,
  type PolicyStatistics,
} from './scaling-comparison.js';

function resultsOf(dayName: string): (policy: string) => PolicyStatistics {
  const results = compareScalingPolicies(
    1,
    defaultFleet,
    defaultPricing,
    comparisonDays.filter((day) => day.name === dayName),
  );
  return (policy) => results.find((result) => result.policy === policy)!;
}
function lateShare({ late, failed, requests }: PolicyStatistics): number {
  return (late + failed) / requests;
}

it('pays for no more worker time than the initial fleet on a calm day, and serves as well as the maximum', () => {
  const resultFor = resultsOf('calm wave');
  expect(resultFor('planner').workerSeconds).toBeLessThanOrEqual(
    resultFor('constant initial count').workerSeconds * 1.02,
  );
  expect(lateShare(resultFor('planner'))).toBeLessThanOrEqual(lateShare(resultFor('constant maximum')) + 0.002);
});

it('is nearly as good as the oracle when load outgrows the initial fleet, unlike a constant initial count', () => {
  const resultFor = resultsOf('slow rise to 2.2 times');
  expect(lateShare(resultFor('planner'))).toBeLessThan(lateShare(resultFor('oracle')) + 0.005);
  expect(lateShare(resultFor('constant initial count'))).toBeGreaterThan(0.2);
});

it('achieves a higher value than the maximum worker count on every day', () => {
  for (const name of ['lull of 90 s', 'step to 1.8 times for 60 s', 'busiest zone lost for 30 s']) {
    const resultFor = resultsOf(name);
    expect([name, resultFor('planner').value > resultFor('constant maximum').value]).toEqual([name, true]);
  }
});
