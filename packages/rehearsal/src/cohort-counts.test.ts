/** Results of requests are added to the sums that a verdict is computed from. */
import { expect, it } from 'vitest';
import { countAnswer, createCohortCounts } from './cohort-counts.js';

it('counts the TTFT of every request, and a time per token only where there is one', () => {
  const counts = createCohortCounts('slice', 'tenant/kind');
  countAnswer(counts, { failed: false, logTtft: 2, logTokenTime: 3 });
  countAnswer(counts, { failed: true, logTtft: 5, logTokenTime: undefined });
  expect(counts).toEqual({
    ...{ arm: 'slice', stratum: 'tenant/kind', count: 2, failures: 1, sum: 7, squares: 29 },
    ...{ tokenCount: 1, tokenSum: 3, tokenSquares: 9 },
  });
});
