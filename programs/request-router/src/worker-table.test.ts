/** What a router knows of its workers. */
import { micros, type WorkerId } from '@tansypost/inner-protocol';
import type { ThroughputTracker } from '@tansypost/placement';
import { expect, it } from 'vitest';
import { createWorkerTable } from './worker-table.js';

it('ends the ejection of a failed worker sooner once a later report shows that it responds', () => {
  let now = 0;
  const table = createWorkerTable(() => micros(now), { speedClass: () => 0 } as unknown as ThroughputTracker);
  table.mergeStates([1, 2].map((number) => ({ worker: `w${number}`, incarnation: 1, state: 1, address: 'x' })));
  function names(): string {
    return table
      .candidates('prefill', () => 'both', new Set())
      .map((candidate) => candidate.worker)
      .join(' ');
  }
  table.recordFailure('w1' as WorkerId);
  now = 600_000;
  expect(names()).toBe('w2');
  now = 2_100_000;
  expect(names()).toBe('w1 w2');
  table.recordFailure('w1' as WorkerId);
  now = 3_000_000;
  table.mergeReports([
    { worker: 'w1', incarnation: 1, queued: 0, active: 0, kvUsed: 0, part: 'both', age: 100_000, fence: 0 },
  ]);
  now = 3_200_000;
  expect(names()).toBe('w1 w2');
});
