/** The end of a process that runs several tasks. */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { micros } from './brands.js';
import { createProcessEnd } from './process-end.js';
import { createVirtualClock } from './virtual-clock.js';

const timeout = micros(7_600_000);

it('LOST: exits once, when each task has ended, however often and in which order they report it', () => {
  const reports = fc.array(fc.nat(2), { maxLength: 12 });
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 3 }), reports, (taskCount, drawn) => {
      const { world } = createVirtualClock();
      let exits = 0;
      const end = createProcessEnd({ world, timeout, exit: () => (exits += 1) });
      const tasks = Array.from({ length: taskCount }, (_, index) => end.addTask(`task ${index}`));
      end.begin();
      const ended = new Set<number>();
      for (const report of drawn.map((number) => number % taskCount)) {
        tasks[report]!();
        ended.add(report);
        expect(exits).toBe(ended.size === taskCount ? 1 : 0);
      }
    }),
    { seed: 60, numRuns: 500 },
  );
});

it('exits at the end of the time for stopping, once, and names the tasks that still ran', async () => {
  const { world, logged, runTo } = createVirtualClock();
  let exits = 0;
  const end = createProcessEnd({ world, timeout, exit: () => (exits += 1) });
  const [endFirst, endSecond] = [end.addTask('router'), end.addTask('control node')];
  await runTo(5_000_000);
  end.begin();
  end.begin();
  endFirst();
  await runTo(5_000_000 + timeout - 1);
  expect(exits).toBe(0);
  await runTo(5_000_000 + timeout);
  expect([exits, logged]).toEqual([1, [{ event: 1006, fields: { running: ['control node'] } }]]);
  endSecond();
  await runTo(5_000_000 + 3 * timeout);
  expect(exits).toBe(1);
});
