/** When a window is closed, what of, and that what was given out never changes: a collector with scripted routers. */
import { expect, it } from 'vitest';
import { createVirtualClock, type Address, type Message, type MessageOf } from '@tansypost/inner-protocol';
import { createUsageCollector } from './usage-collector.js';

const second = 1_000_000;
const windowLength = 5000;
const reportDelay = 10_000;
const start = 1_790_000_000_000;
/** The window that begins with the test. */
const firstWindow = start / windowLength;

function createScene(routers: readonly string[] = ['r0:1', 'r1:1']) {
  const asks: { readonly to: string; readonly ask: MessageOf<'UsageAsk'> }[] = [];
  const clock = createVirtualClock({
    send: (to: Address, message: Message) => void (message.kind === 'UsageAsk' && asks.push({ to, ask: message })),
  });
  const state = { holder: true, standby: false, closed: undefined as number | undefined, routers: [...routers] };
  const collector = createUsageCollector(clock.world, {
    self: 'c0:1' as Address,
    windowLength,
    reportDelay,
    reportingMargin: 4000,
    routers: () => state.routers as Address[],
    wallClock: () => start + clock.world.now() / 1000,
    isLeader: () => state.holder,
    isStandby: () => state.standby,
    closedThrough: () => state.closed,
  });
  /** A router tells that so many requests of one tenant began in a window. */
  function tell(router: string, window: number, count: number, over: Partial<MessageOf<'UsageTold'>> = {}): void {
    const now = start + clock.world.now() / 1000;
    const tables = count === 0 ? [] : [{ window, counts: [{ tenant: 'a', count }] }];
    const usual = { kind: 'UsageTold', router, process: 'p', now, after: 0, sequence: count, tables } as const;
    collector.receive({ ...usual, ...over });
  }
  function due(): { window: number; count: number }[] {
    return collector.readyWindows().map(({ window, counts }) => ({ window, count: counts['a'] ?? 0 }));
  }
  function late(): number {
    const events = clock.logged.filter(({ event }) => event === 3501);
    return events.reduce((sum, { fields }) => sum + (fields['count'] as number), 0);
  }
  return { ...state, state, collector, clock, asks, tell, due, late, to: (at: number) => clock.runTo(at * second) };
}

it('closes a window once each router has told of a later moment, and not before its end has settled', async () => {
  const { to, tell, due } = createScene();
  await to(4.9);
  tell('r0:1', firstWindow, 3);
  tell('r1:1', firstWindow, 4);
  await to(5.1);
  tell('r0:1', firstWindow, 5);
  expect(due()).toEqual([]);
  await to(5.5);
  expect(due()).toEqual([]);
  tell('r1:1', firstWindow, 4);
  expect(due()).toEqual([{ window: firstWindow, count: 9 }]);
});

it('waits for a silent router until little of the delay is left, and counts what it tells later as late', async () => {
  const { to, tell, due, late, state } = createScene();
  await to(4);
  tell('r0:1', firstWindow, 3);
  tell('r1:1', firstWindow, 4);
  state.routers.pop();
  await to(10.9);
  tell('r0:1', firstWindow, 3);
  expect(due()).toEqual([]);
  await to(11.1);
  tell('r0:1', firstWindow, 3);
  expect(due()).toEqual([{ window: firstWindow, count: 7 }]);
  tell('r1:1', firstWindow, 6);
  tell('r1:1', firstWindow, 6);
  expect(due()[0]).toEqual({ window: firstWindow, count: 7 });
  state.closed = firstWindow + 1;
  await to(12);
  expect(late()).toBe(0);
  state.closed = firstWindow + 2;
  await to(13);
  expect(late()).toBe(2);
});

it('adds the processes of a router, and takes a repeated or older table for what it is', async () => {
  const { to, tell, due } = createScene(['r0:1']);
  await to(3);
  tell('r0:1', firstWindow, 3);
  tell('r0:1', firstWindow, 3);
  tell('r0:1', firstWindow, 2);
  await to(4);
  tell('r0:1', firstWindow, 5, { process: 'q' });
  tell('r0:1', firstWindow, 4);
  await to(6);
  tell('r0:1', firstWindow, 5, { process: 'q' });
  expect(due()).toEqual([{ window: firstWindow, count: 9 }]);
});

it('asks each router once a second from what it knows, and for all of it where an answer left a gap', async () => {
  const { to, tell, asks } = createScene();
  async function lastAsked(at: number): Promise<MessageOf<'UsageAsk'>> {
    await to(at);
    return asks.filter((asked) => asked.to === 'r0:1').at(-1)!.ask;
  }
  expect(await lastAsked(1)).toMatchObject({ from: 'c0:1', process: '', after: 0, closedThrough: 0 });
  tell('r0:1', firstWindow, 3, { after: 500, sequence: 510 });
  expect(await lastAsked(2)).toMatchObject({ process: 'p', after: 0 });
  tell('r0:1', firstWindow, 3, { sequence: 505 });
  tell('r0:1', firstWindow, 3, { after: 500, sequence: 510 });
  expect(await lastAsked(3)).toMatchObject({ process: 'p', after: 510 });
  tell('r0:1', firstWindow, 3, { process: 'q', sequence: 2 });
  expect(await lastAsked(4)).toMatchObject({ process: 'q', after: 2 });
});

it('asks who answers once a second, and who does not several times as often', async () => {
  const { to, tell, asks } = createScene();
  for (let i = 0; i < 100; i += 1) {
    await to(10 + i / 10);
    if (asks.at(-1)?.to === 'r0:1' || asks.at(-2)?.to === 'r0:1') tell('r0:1', firstWindow, 1);
  }
  const later = asks.slice(asks.length / 2);
  const [answering, silent] = ['r0:1', 'r1:1'].map((router) => later.filter((asked) => asked.to === router).length);
  expect(silent! / answering!).toBeGreaterThan(2.5);
  expect(silent! / answering!).toBeLessThan(4.5);
});

it('collects while it stands by, gives nothing out, and begins as the holder with all that it knows', async () => {
  const { to, tell, due, state, asks } = createScene(['r0:1', 'r1:1']);
  state.holder = false;
  await to(3);
  expect(asks).toEqual([]);
  state.standby = true;
  await to(4.5);
  expect(asks.length).toBeGreaterThan(1);
  tell('r0:1', firstWindow, 3);
  tell('r1:1', firstWindow, 4);
  tell('r1:1', firstWindow, 2, { process: 'q' });
  await to(8);
  tell('r0:1', firstWindow, 3);
  tell('r1:1', firstWindow, 2, { process: 'q' });
  expect(due()).toEqual([]);
  state.holder = true;
  state.standby = false;
  expect(due()).toEqual([{ window: firstWindow, count: 9 }]);
});

it('begins with the first window that anything was counted in, then leaves none out', async () => {
  const { to, tell, due, state } = createScene();
  await to(31);
  expect(due()).toEqual([]);
  tell('r0:1', firstWindow + 2, 3);
  tell('r1:1', firstWindow + 4, 4, { sequence: 1 });
  expect(due()).toEqual([
    { window: firstWindow + 2, count: 3 },
    { window: firstWindow + 3, count: 0 },
    { window: firstWindow + 4, count: 4 },
    { window: firstWindow + 5, count: 0 },
  ]);
  state.closed = firstWindow + 4;
  expect(due()).toEqual([{ window: firstWindow + 5, count: 0 }]);
});

it('closes nothing as a new holder before it has gathered, and gives out again what it gave out before', async () => {
  const { to, tell, due, state } = createScene();
  state.closed = firstWindow - 1;
  state.holder = false;
  await to(40);
  state.holder = true;
  await to(41);
  tell('r0:1', firstWindow, 3);
  expect(due()).toEqual([]);
  await to(42.5);
  tell('r0:1', firstWindow, 3);
  tell('r1:1', firstWindow, 4);
  expect(due()[0]).toEqual({ window: firstWindow, count: 7 });
  state.holder = false;
  await to(44);
  expect(due()).toEqual([]);
  state.holder = true;
  await to(47);
  tell('r0:1', firstWindow, 9);
  tell('r1:1', firstWindow, 4);
  expect(due()[0]).toEqual({ window: firstWindow, count: 7 });
});

it('holds windows back for longer where most routers are silent, as it may be the one that is cut off', async () => {
  const { to, tell, due, state } = createScene(['r0:1', 'r1:1', 'r2:1']);
  state.closed = firstWindow - 1;
  await to(4);
  for (const router of ['r0:1', 'r1:1', 'r2:1']) tell(router, firstWindow, 3);
  await to(12);
  tell('r0:1', firstWindow, 3);
  expect(due()).toEqual([]);
  await to(34.9);
  expect(due()).toEqual([]);
  await to(35.1);
  expect(due()).toEqual([{ window: firstWindow, count: 9 }]);
});

it('stays bounded when the record takes nothing for hours', async () => {
  const { to, tell, collector, state } = createScene(['r0:1']);
  state.closed = firstWindow - 1;
  for (let i = 1; i < 500; i += 1) {
    await to(5 * i);
    tell('r0:1', firstWindow + i - 1, 3, { process: `p${i}` });
  }
  expect(collector.retained().windows.length).toBeLessThanOrEqual(257);
  expect(collector.readyWindows().length).toBe(16);
  state.closed = firstWindow + 498;
  await to(2500);
  expect(collector.retained().windows.length).toBeLessThanOrEqual(3);
});
