/** Epochs of different slots never collide. */
import { expect, it } from 'vitest';
import { nextEpoch } from './row.js';

it('allocates increasing epochs that never collide between slots', () => {
  const seen = new Set<number>();
  for (let s = 0; s < 9; s += 1) for (let e = 0, n = 0; n < 20; n += 1) seen.add((e = nextEpoch(e, s)));
  expect(seen.size).toBe(180);
  expect(nextEpoch(nextEpoch(5, 2), 0)).toBeGreaterThan(nextEpoch(5, 2));
});
