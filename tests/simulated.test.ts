/**
 * Simulated fleets of both deployments under drawn faults, with the seeds fixed here. `npm run simulate` runs as
 * many more as wanted.
 */
import { describe, expect, it } from 'vitest';
import { coldStorage, ferry } from '../programs/requester-stand-in/src/index.js';
import { runOne } from '../packages/simulator/src/index.js';

const seeds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

describe.each([ferry, coldStorage])('$name', (d) => {
  it.each(seeds)('keeps every point under the faults of seed %i', async (seed) => {
    const x = await runOne(d, seed);
    console.log(`${d.name} seed ${seed}: ${x.faults.map((f) => f.do).join(' ')}; ${x.whole} of ${x.requests} whole`);
    expect(x.breaches).toEqual([]);
    expect(x.requests).toBeGreaterThan(100);
  });
  it('turns nothing away without faults, and gives the same run for the same seed', async () => {
    const [a, b] = [await runOne(d, 77, []), await runOne(d, 77, [])];
    expect(a.breaches).toEqual([]);
    expect(a.whole).toBe(a.requests);
    expect(b.history.sends).toEqual(a.history.sends);
  });
});
