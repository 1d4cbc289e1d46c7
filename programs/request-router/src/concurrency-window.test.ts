/** How the limit of concurrent prefills follows the speed of the workers. */
import { micros } from '@tansypost/inner-protocol';
import { expect, it } from 'vitest';
import { createConcurrencyWindow } from './concurrency-window.js';

it('shrinks to the number of prefills that finish within the target, and grows again when workers are fast', () => {
  let now = 0;
  const window = createConcurrencyWindow(
    () => micros(now),
    () => 1_000_000,
  );
  // A worker that prefills one prompt at a time, at first in 250 ms each and later in 10 ms.
  const ends: { at: number; end: (succeeded: boolean) => void }[] = [];
  let busy = 0;
  function step(each: number, until: number): void {
    while (now < until) {
      while (window.hasRoom()) {
        busy = Math.max(busy, now) + each;
        ends.push({ at: busy, end: window.beginPrefill() });
      }
      now = ends[0]!.at;
      ends.shift()!.end(true);
    }
  }
  step(250_000, 60_000_000);
  expect(window.size()).toBeLessThan(8);
  step(10_000, 120_000_000);
  expect(window.size()).toBeGreaterThan(40);
});
