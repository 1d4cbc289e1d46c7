/** When a window is closed, with which content, and that a returned content never changes: a collector with scripted routers. */
import { expect, it } from 'vitest';
import { createVirtualClock, type Address, type Message, type MessageOf } from '@tansypost/inner-protocol';
import { createUsageCollector } from './usage-collector.js';

const second = 1_000_000;
const windowLength = 5000;
const reportDelay = 10_000;
const start = 1_790_000_000_000;
/** The window that starts with the test. */
const firstWindow = start / windowLength;

function createScene(routers: readonly string[] = ['r0:1', 'r1:1']) {
  const polls: { readonly to: string; readonly poll: MessageOf<'UsageAsk'> }[] = [];
  const clock = createVirtualClock({
    send: (to: Address, message: Message) => void (message.kind === 'UsageAsk' && polls.push({ to, poll: message })),
  });
  const state = { leader: true, standby: false, closed: undefined as number | undefined, routers: [...routers] };
  const collector = createUsageCollector(clock.world, {
    self: 'c0:1' as Address,
    windowLength,
    reportDelay,
    reportingMargin: 4000,
    routers: () => state.routers as Address[],
    wallClock: () => start + clock.world.now() / 1000,
    isLeader: () => state.leader,
    isStandby: () => state.standby,
    closedThrough: () => state.closed,
  });
  /** A router reports that `count` requests of one tenant started in a window. */
  function report(
    router: string,
    window: number,
    count: number,
    overrides: Partial<MessageOf<'UsageTold'>> = {},
  ): void {
    const now = start + clock.world.now() / 1000;
    const tables = count === 0 ? [] : [{ window, counts: [{ tenant: 'a', count }] }];
    const defaults = { kind: 'UsageTold', router, process: 'p', now, after: 0, sequence: count, tables } as const;
    collector.receive({ ...defaults, ...overrides });
  }
  function readyWindows(): { window: number; count: number }[] {
    return collector.readyWindows().map(({ window, counts }) => ({ window, count: counts['a'] ?? 0 }));
  }
  function lateCount(): number {
    const events = clock.logged.filter(({ event }) => event === 3501);
    return events.reduce((sum, { fields }) => sum + (fields['count'] as number), 0);
  }
  return {
    ...state,
    state,
    collector,
    clock,
    polls,
    report,
    readyWindows,
    lateCount,
    runTo: (at: number) => clock.runTo(at * second),
  };
}

it('closes a window once every router has reported a later time, and not before the settling time after its end', async () => {
  const { runTo, report, readyWindows } = createScene();
  await runTo(4.9);
  report('r0:1', firstWindow, 3);
  report('r1:1', firstWindow, 4);
  await runTo(5.1);
  report('r0:1', firstWindow, 5);
  expect(readyWindows()).toEqual([]);
  await runTo(5.5);
  expect(readyWindows()).toEqual([]);
  report('r1:1', firstWindow, 4);
  expect(readyWindows()).toEqual([{ window: firstWindow, count: 9 }]);
});

it('waits for an unresponsive router until the reporting margin, and counts what it reports later as late', async () => {
  const { runTo, report, readyWindows, lateCount, state } = createScene();
  await runTo(4);
  report('r0:1', firstWindow, 3);
  report('r1:1', firstWindow, 4);
  state.routers.pop();
  await runTo(10.9);
  report('r0:1', firstWindow, 3);
  expect(readyWindows()).toEqual([]);
  await runTo(11.1);
  report('r0:1', firstWindow, 3);
  expect(readyWindows()).toEqual([{ window: firstWindow, count: 7 }]);
  report('r1:1', firstWindow, 6);
  report('r1:1', firstWindow, 6);
  expect(readyWindows()[0]).toEqual({ window: firstWindow, count: 7 });
  state.closed = firstWindow + 1;
  await runTo(12);
  expect(lateCount()).toBe(0);
  state.closed = firstWindow + 2;
  await runTo(13);
  expect(lateCount()).toBe(2);
});

it('adds up the processes of a router, and ignores repeated or older tables', async () => {
  const { runTo, report, readyWindows } = createScene(['r0:1']);
  await runTo(3);
  report('r0:1', firstWindow, 3);
  report('r0:1', firstWindow, 3);
  report('r0:1', firstWindow, 2);
  await runTo(4);
  report('r0:1', firstWindow, 5, { process: 'q' });
  report('r0:1', firstWindow, 4);
  await runTo(6);
  report('r0:1', firstWindow, 5, { process: 'q' });
  expect(readyWindows()).toEqual([{ window: firstWindow, count: 9 }]);
});

it('polls each router once a second for the changes it does not know, including those in a gap left by an answer', async () => {
  const { runTo, report, polls } = createScene();
  async function lastPoll(at: number): Promise<MessageOf<'UsageAsk'>> {
    await runTo(at);
    return polls.filter((poll) => poll.to === 'r0:1').at(-1)!.poll;
  }
  expect(await lastPoll(1)).toMatchObject({ from: 'c0:1', process: '', after: 0, closedThrough: 0 });
  report('r0:1', firstWindow, 3, { after: 500, sequence: 510 });
  expect(await lastPoll(2)).toMatchObject({ process: 'p', after: 0 });
  report('r0:1', firstWindow, 3, { sequence: 505 });
  report('r0:1', firstWindow, 3, { after: 500, sequence: 510 });
  expect(await lastPoll(3)).toMatchObject({ process: 'p', after: 510 });
  report('r0:1', firstWindow, 3, { process: 'q', sequence: 2 });
  expect(await lastPoll(4)).toMatchObject({ process: 'q', after: 2 });
});

it('polls a router that answers once a second, and one that does not several times as often', async () => {
  const { runTo, report, polls } = createScene();
  for (let i = 0; i < 100; i += 1) {
    await runTo(10 + i / 10);
    if (polls.at(-1)?.to === 'r0:1' || polls.at(-2)?.to === 'r0:1') report('r0:1', firstWindow, 1);
  }
  const later = polls.slice(polls.length / 2);
  const [answering, unresponsive] = ['r0:1', 'r1:1'].map((router) => later.filter((poll) => poll.to === router).length);
  expect(unresponsive! / answering!).toBeGreaterThan(2.5);
  expect(unresponsive! / answering!).toBeLessThan(4.5);
});

it('collects as the standby without reporting, and starts as the leader with all that it has collected', async () => {
  const { runTo, report, readyWindows, state, polls } = createScene(['r0:1', 'r1:1']);
  state.leader = false;
  await runTo(3);
  expect(polls).toEqual([]);
  state.standby = true;
  await runTo(4.5);
  expect(polls.length).toBeGreaterThan(1);
  report('r0:1', firstWindow, 3);
  report('r1:1', firstWindow, 4);
  report('r1:1', firstWindow, 2, { process: 'q' });
  await runTo(8);
  report('r0:1', firstWindow, 3);
  report('r1:1', firstWindow, 2, { process: 'q' });
  expect(readyWindows()).toEqual([]);
  state.leader = true;
  state.standby = false;
  expect(readyWindows()).toEqual([{ window: firstWindow, count: 9 }]);
});

it('starts with the first window that has counts, and then omits no window', async () => {
  const { runTo, report, readyWindows, state } = createScene();
  await runTo(31);
  expect(readyWindows()).toEqual([]);
  report('r0:1', firstWindow + 2, 3);
  report('r1:1', firstWindow + 4, 4, { sequence: 1 });
  expect(readyWindows()).toEqual([
    { window: firstWindow + 2, count: 3 },
    { window: firstWindow + 3, count: 0 },
    { window: firstWindow + 4, count: 4 },
    { window: firstWindow + 5, count: 0 },
  ]);
  state.closed = firstWindow + 4;
  expect(readyWindows()).toEqual([{ window: firstWindow + 5, count: 0 }]);
});

it('closes nothing as a new leader before the warm-up ends, and returns unchanged what it returned before', async () => {
  const { runTo, report, readyWindows, state } = createScene();
  state.closed = firstWindow - 1;
  state.leader = false;
  await runTo(40);
  state.leader = true;
  await runTo(41);
  report('r0:1', firstWindow, 3);
  expect(readyWindows()).toEqual([]);
  await runTo(42.5);
  report('r0:1', firstWindow, 3);
  report('r1:1', firstWindow, 4);
  expect(readyWindows()[0]).toEqual({ window: firstWindow, count: 7 });
  state.leader = false;
  await runTo(44);
  expect(readyWindows()).toEqual([]);
  state.leader = true;
  await runTo(47);
  report('r0:1', firstWindow, 9);
  report('r1:1', firstWindow, 4);
  expect(readyWindows()[0]).toEqual({ window: firstWindow, count: 7 });
});

it('holds windows back for longer if most routers are unresponsive, as it may be the one that is cut off', async () => {
  const { runTo, report, readyWindows, state } = createScene(['r0:1', 'r1:1', 'r2:1']);
  state.closed = firstWindow - 1;
  await runTo(4);
  for (const router of ['r0:1', 'r1:1', 'r2:1']) report(router, firstWindow, 3);
  await runTo(12);
  report('r0:1', firstWindow, 3);
  expect(readyWindows()).toEqual([]);
  await runTo(34.9);
  expect(readyWindows()).toEqual([]);
  await runTo(35.1);
  expect(readyWindows()).toEqual([{ window: firstWindow, count: 9 }]);
});

it('stays bounded if the record cannot be written for hours', async () => {
  const { runTo, report, collector, state } = createScene(['r0:1']);
  state.closed = firstWindow - 1;
  for (let i = 1; i < 500; i += 1) {
    await runTo(5 * i);
    report('r0:1', firstWindow + i - 1, 3, { process: `p${i}` });
  }
  expect(collector.retained().windows.length).toBeLessThanOrEqual(257);
  expect(collector.readyWindows().length).toBe(16);
  state.closed = firstWindow + 498;
  await runTo(2500);
  expect(collector.retained().windows.length).toBeLessThanOrEqual(3);
});
