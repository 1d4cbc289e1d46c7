/** Usage reports as calls of a duty: the record determines which windows are closed, and planned content never changes. */
import { expect, it } from 'vitest';
import type { DutyRecord } from '@tansypost/duty-log';
import { createVirtualClock, type Address, type MessageOf } from '@tansypost/inner-protocol';
import { createUsageDuty } from './usage-duty.js';

const router = 'r1:1' as Address;
const emptyRecord: DutyRecord = { term: null, lastIntent: 0, open: [], outcomes: [] };
const startTime = 1_790_000_000_000;
const windowLength = 5000;
const firstWindow = startTime / windowLength;

/** A node whose only router reports `count` requests in the first window whenever it is polled. */
function createScene() {
  const state = { count: 3, hasTerm: true };
  const polls: MessageOf<'UsageAsk'>[] = [];
  const clock = createVirtualClock({
    send: (_to, message) => {
      if (message.kind === 'UsageAsk') polls.push(message);
    },
  });
  function now(): number {
    return startTime + clock.world.now() / 1000;
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
  function answerPolls(): void {
    for (const { after } of polls.splice(0)) {
      const tables = [{ window: firstWindow, counts: [{ tenant: 'a', count: state.count }] }];
      const answer = { kind: 'UsageTold', router, process: 'p', now: Math.floor(now()), after, sequence: 1 } as const;
      duty.receive({ ...answer, tables });
    }
  }
  async function pass(until: number): Promise<void> {
    for (let at: number = clock.world.now(); at < until; at += 100_000) {
      await clock.runTo(at);
      answerPolls();
    }
  }
  return { duty, state, polls, pass };
}

const content = JSON.stringify({ window: firstWindow, counts: { a: 3 } });
const reported: DutyRecord = {
  ...emptyRecord,
  lastIntent: 1,
  outcomes: [{ subject: 'windows', content, outcome: 'accepted', fence: 4 }],
};

it('polls no router before it has read the record in a term of its own', async () => {
  const { duty, state, polls, pass } = createScene();
  await pass(2_000_000);
  state.hasTerm = false;
  duty.plan(emptyRecord);
  await pass(4_000_000);
  expect(polls).toEqual([]);
});

it('plans a window with the same content until the record holds it, and then the next window', async () => {
  const { duty, state, pass } = createScene();
  duty.plan(emptyRecord);
  await pass(8_000_000);
  const planned = [{ subject: 'windows', content }];
  expect(duty.plan(emptyRecord)).toEqual(planned);
  state.count = 5;
  await pass(9_000_000);
  expect(duty.plan(emptyRecord)).toEqual(planned);
  expect(duty.plan({ ...emptyRecord, lastIntent: 1, open: [{ id: 1, ...planned[0]! }] })).toEqual([]);
  await pass(14_000_000);
  const next = JSON.stringify({ window: firstWindow + 1, counts: {} });
  expect(duty.plan(reported)).toEqual([{ subject: 'windows', content: next }]);
});
