/** A leader that receives nothing from any router closes no window while it may itself be the node that is cut off. */
import { expect, it } from 'vitest';
import { createVirtualClock, type Address, type Message } from '@tansypost/inner-protocol';
import { createUsageCollector } from './usage-collector.js';

const second = 1_000_000;
const windowLength = 5000;
const start = 1_790_000_000_000;
const firstWindow = start / windowLength;

function createScene() {
  const clock = createVirtualClock({ send: (_to: Address, _message: Message) => undefined });
  const state = { closed: firstWindow - 1, routers: [] as string[] };
  const collector = createUsageCollector(clock.world, {
    self: 'c0:1' as Address,
    windowLength,
    reportDelay: 10_000,
    reportingMargin: 4000,
    routers: () => state.routers as Address[],
    wallClock: () => start + clock.world.now() / 1000,
    isLeader: () => true,
    closedThrough: () => state.closed,
  });
  return { clock, state, collector };
}

it('closes no window as empty before the maximum wait if it has no contact with any router yet', async () => {
  const { clock, collector } = createScene();
  await clock.runTo(5.5 * second);
  expect(collector.readyWindows()).toEqual([]);
});

it('still holds windows back after all routers became unresponsive and their state expired', async () => {
  const { clock, state, collector } = createScene();
  state.routers = ['r0:1', 'r1:1'];
  await clock.runTo(4 * second);
  for (const router of state.routers) {
    const now = start + clock.world.now() / 1000;
    const tables = [{ window: firstWindow, counts: [{ tenant: 'a', count: 3 }] }];
    collector.receive({ kind: 'UsageTold', router, process: 'p', now, after: 0, sequence: 3, tables });
  }
  await clock.runTo(7 * second);
  state.routers = [];
  await clock.runTo(20 * second);
  expect(collector.readyWindows()).toEqual([]);
});
