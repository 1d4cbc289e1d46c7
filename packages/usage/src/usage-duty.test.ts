/** Reports of usage as calls of a duty: the record says which windows are closed, and content once given out stays. */
import { expect, it } from 'vitest';
import type { DutyRecord } from '@tansypost/duty-log';
import { createVirtualClock, type Address, type MessageOf } from '@tansypost/inner-protocol';
import { createUsageDuty } from './usage-duty.js';

const router = 'r1:1' as Address;
const emptyRecord: DutyRecord = { term: null, lastIntent: 0, open: [], outcomes: [] };
const startOfClocks = 1_790_000_000_000;
const windowLength = 5000;
const firstWindow = startOfClocks / windowLength;

/** A node whose one router tells a count of `count` in the first window whenever it is asked. */
function scene() {
  const state = { count: 3, hasTerm: true };
  const asks: MessageOf<'UsageAsk'>[] = [];
  const clock = createVirtualClock({
    send: (_to, message) => {
      if (message.kind === 'UsageAsk') asks.push(message);
    },
  });
  function now(): number {
    return startOfClocks + clock.world.now() / 1000;
  }
  const duty = createUsageDuty(clock.world, {
    self: 'c1:1' as Address,
    windowLength,
    reportDelay: 10_000,
    reportingMargin: 4000,
    routers: () => [router],
    wallClock: now,
    hasTerm: () => state.hasTerm,
  });
  function answer(): void {
    for (const { after } of asks.splice(0)) {
      const tables = [{ window: firstWindow, counts: [{ tenant: 'a', count: state.count }] }];
      const told = { kind: 'UsageTold', router, process: 'p', now: Math.floor(now()), after, sequence: 1 } as const;
      duty.receive({ ...told, tables });
    }
  }
  async function pass(until: number): Promise<void> {
    for (let at: number = clock.world.now(); at < until; at += 100_000) {
      await clock.runTo(at);
      answer();
    }
  }
  return { duty, state, asks, pass };
}

const content = JSON.stringify({ window: firstWindow, counts: { a: 3 } });
const reported: DutyRecord = {
  ...emptyRecord,
  lastIntent: 1,
  outcomes: [{ subject: 'windows', content, outcome: 'accepted', fence: 4 }],
};

it('asks nobody before it has read the record under a term of its own', async () => {
  const { duty, state, asks, pass } = scene();
  await pass(2_000_000);
  state.hasTerm = false;
  duty.plan(emptyRecord);
  await pass(4_000_000);
  expect(asks).toEqual([]);
});

it('owes a window with the same content until the record holds it, and then the next', async () => {
  const { duty, state, pass } = scene();
  duty.plan(emptyRecord);
  await pass(8_000_000);
  const owed = [{ subject: 'windows', content }];
  expect(duty.plan(emptyRecord)).toEqual(owed);
  state.count = 5;
  await pass(9_000_000);
  expect(duty.plan(emptyRecord)).toEqual(owed);
  expect(duty.plan({ ...emptyRecord, lastIntent: 1, open: [{ id: 1, ...owed[0]! }] })).toEqual([]);
  await pass(14_000_000);
  const next = JSON.stringify({ window: firstWindow + 1, counts: {} });
  expect(duty.plan(reported)).toEqual([{ subject: 'windows', content: next }]);
});
