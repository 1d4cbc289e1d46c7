/** How requests are drawn into the cohorts of a rehearsal. */
import { expect, it } from 'vitest';
import { cohortOf } from './cohort.js';

it('draws two separate cohorts, the control three times as large as the treatment', () => {
  const counts = { slice: 0, control: 0, none: 0 };
  for (let i = 0; i < 20000; i += 1) counts[cohortOf('r', `q${i}`, 0.1)] += 1;
  expect(Math.abs(counts.slice - 2000)).toBeLessThan(200);
  expect(Math.abs(counts.control - 6000)).toBeLessThan(300);
});
