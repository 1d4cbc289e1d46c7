/** A leader that receives nothing from any router may itself be partitioned, so it closes no window before the maximum wait. */
import { expect, it } from 'vitest';
import { createVirtualClock, type Address, type Message } from '@tansypost/inner-protocol';
import { createUsageCollector } from './usage-collector.js';

const second = 1_000_000;
const windowLengthMs = 5000;
const startTimeMs = 1_790_000_000_000;
const firstWindow = startTimeMs / windowLengthMs;

function createScenario() {
  const clock = createVirtualClock({ send: (_to: Address, _message: Message) => undefined });
  const state = { closedThrough: firstWindow - 1, routers: [] as string[] };
  const collector = createUsageCollector(clock.world, {
    self: 'c0:1' as Address,
    windowLength: windowLengthMs,
    reportDelay: 10_000,
    reportingMargin: 4000,
    routers: () => state.routers as Address[],
    wallClock: () => startTimeMs + clock.world.now() / 1000,
    isLeader: () => true,
    closedThrough: () => state.closedThrough,
  });
  return { clock, state, collector };
}

it('closes no window as empty before the maximum wait if it has no contact with any router yet', async () => {
  const { clock, collector } = createScenario();
  await clock.runTo(5.5 * second);
  expect(collector.readyWindows()).toEqual([]);
});

it('still holds windows back after all routers became unresponsive and their state expired', async () => {
  const { clock, state, collector } = createScenario();
  state.routers = ['r0:1', 'r1:1'];
  await clock.runTo(4 * second);
  for (const router of state.routers) {
    const now = startTimeMs + clock.world.now() / 1000;
    const tables = [{ window: firstWindow, counts: [{ tenant: 'a', count: 3 }] }];
    collector.receive({ kind: 'UsageTold', router, process: 'p', now, after: 0, sequence: 3, tables });
  }
  await clock.runTo(7 * second);
  state.routers = [];
  await clock.runTo(20 * second);
  expect(collector.readyWindows()).toEqual([]);
});
