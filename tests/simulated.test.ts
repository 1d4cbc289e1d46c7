/**
 * Simulated fleets of both deployments under random faults with fixed seeds. `npm run simulate` runs any number of
 * further seeds.
 */
import { describe, expect, it } from 'vitest';
import { coldStorage, ferry } from '../programs/requester-stand-in/src/index.js';
import { runOne } from '../packages/simulator/src/index.js';

const seeds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

describe.each([ferry, coldStorage])('$name', (deployment) => {
  it.each(seeds)('violates no invariant under the faults of seed %i', async (seed) => {
    const result = await runOne(deployment, seed);
    console.log(
      `${deployment.name} seed ${seed}: ${result.faults.map((fault) => fault.do).join(' ')}; ${result.whole} of ${result.requests} whole`,
    );
    expect(result.breaches).toEqual([]);
    expect(result.requests).toBeGreaterThan(100);
  });
  it('rejects nothing without faults, and reproduces a run with the same seed', async () => {
    const [first, second] = [await runOne(deployment, 77, []), await runOne(deployment, 77, [])];
    expect(first.breaches).toEqual([]);
    expect(first.whole).toBe(first.requests);
    expect(second.history.sends).toEqual(first.history.sends);
  });
});
