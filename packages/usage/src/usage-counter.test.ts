/** A router's counts: cumulative, sent again until they are acknowledged, and kept until their window is closed. */
import { expect, it } from 'vitest';
import { encodeMessage, createSeededRandom, type MessageOf } from '@tansypost/inner-protocol';
import { createUsageCounter } from './usage-counter.js';

const windowLength = 5000;
const start = 1_790_000_000_000;
const firstWindow = start / windowLength;

function createScene(maxWindows?: number) {
  const logged: { readonly event: number; readonly fields: Record<string, unknown> }[] = [];
  const time = { now: start };
  const counter = createUsageCounter(
    { log: (event, fields) => logged.push({ event, fields }) },
    { router: 'r:1', process: 'p1', windowLength, trueTime: () => time.now, maxWindows },
  );
  function poll(overrides: Partial<MessageOf<'UsageAsk'>> = {}): MessageOf<'UsageTold'> {
    return counter.answer({ kind: 'UsageAsk', from: 'c:1', process: 'p1', after: 0, closedThrough: 0, ...overrides });
  }
  return { counter, time, logged, poll };
}

it('answers with the full counts of changed tenants, and with all counts to a collector that knows none of this process', () => {
  const { counter, time, poll } = createScene();
  for (const tenant of ['b', 'a', 'b']) counter.recordStart(tenant);
  const first = poll();
  expect(first).toMatchObject({ router: 'r:1', process: 'p1', now: start, after: 0, sequence: 3 });
  expect(first.tables).toEqual([
    {
      window: firstWindow,
      counts: [
        { tenant: 'b', count: 2 },
        { tenant: 'a', count: 1 },
      ],
    },
  ]);
  expect(poll()).toEqual(first);
  expect(poll({ after: 3 }).tables).toEqual([]);
  time.now += windowLength;
  counter.recordStart('a');
  time.now -= 1;
  counter.recordStart('b');
  expect(poll({ after: 3 }).tables).toEqual([
    { window: firstWindow, counts: [{ tenant: 'b', count: 3 }] },
    { window: firstWindow + 1, counts: [{ tenant: 'a', count: 1 }] },
  ]);
  expect(poll({ after: 5, process: 'p0' }).tables).toHaveLength(2);
  expect(poll({ after: 5, process: 'p0' }).after).toBe(0);
});

it('keeps a window until it is closed, even after all of it has been sent', () => {
  const { counter, time, poll, logged } = createScene();
  counter.recordStart('a');
  time.now += windowLength;
  counter.recordStart('a');
  poll({ after: 1 });
  poll({ after: 2, closedThrough: firstWindow - 1 });
  expect(poll().tables).toHaveLength(2);
  expect(poll({ after: 2, closedThrough: firstWindow }).tables).toEqual([]);
  expect(counter.windows()).toEqual([firstWindow + 1]);
  expect(poll().tables).toHaveLength(1);
  expect(logged).toEqual([]);
});

it('logs how many counts it drops that no collector has received', () => {
  const { counter, time, poll, logged } = createScene();
  counter.recordStart('a');
  counter.recordStart('b');
  poll({ after: 0 });
  poll({ after: 2 });
  counter.recordStart('b');
  poll({ after: 2, closedThrough: firstWindow });
  expect(logged).toEqual([{ event: 3502, fields: { router: 'r:1', window: firstWindow, count: 1 } }]);
  counter.recordStart('b');
  time.now += windowLength;
  poll({ after: 3, closedThrough: firstWindow });
  expect(logged).toHaveLength(2);
  expect(counter.windows()).toEqual([]);
});

it('keeps a bounded number of windows if no collector polls', () => {
  const { counter, time, logged } = createScene(4);
  for (let i = 0; i < 100; i += 1) {
    counter.recordStart('a');
    time.now += windowLength;
  }
  expect(counter.windows()).toEqual([96, 97, 98, 99].map((i) => firstWindow + i));
  expect(logged).toHaveLength(96);
});

it('takes less than 250 bytes a second per router if 420 routers share 2,700 requests a second of 200 tenants', () => {
  const random = createSeededRandom(7);
  const { counter, time, poll } = createScene();
  const seconds = 60;
  let bytes = 0;
  let after = 0;
  for (let i = 0; i < seconds; i += 1) {
    for (let j = 0; j < 6 || (j === 6 && random() < 0.43); j += 1) {
      time.now += 150;
      counter.recordStart(`tenant-${Math.floor(random() * 200)}`);
    }
    time.now = start + (i + 1) * 1000;
    const request = { process: 'p1', after, closedThrough: firstWindow + Math.floor(i / 5) - 2 };
    const answer = poll(request);
    bytes +=
      encodeMessage({ kind: 'UsageAsk', from: '10.0.0.1:7000', ...request }).length + encodeMessage(answer).length;
    after = answer.sequence;
  }
  expect(bytes / seconds).toBeLessThan(250);
  expect(bytes / seconds).toBeGreaterThan(100);
});
