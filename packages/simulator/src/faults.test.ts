/** The schedules of faults that the simulator draws. */
import { expect, it } from 'vitest';
import { type SimFault, shrink } from './faults.js';

it('shrinks to just the faults that are needed', async () => {
  const fs = Array.from({ length: 9 }, (_, i): SimFault => ({ at: i, do: 'kill', who: `router${i}`, for: 1 }));
  const s = await shrink(fs, async (x) => x.some((f) => f.who === 'router3') && x.some((f) => f.who === 'router7'));
  expect(s.map((f) => f.who)).toEqual(['router3', 'router7']);
});
