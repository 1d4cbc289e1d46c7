/** The stop of a router in virtual time: what it takes and when, when it ends, and what it tells of it. */
import { expect, it } from 'vitest';
import { createVirtualClock } from '@tansypost/inner-protocol';
import { createGracefulShutdown, type ShutdownReport } from './graceful-shutdown.js';

const second = 1_000_000;
const gracePeriod = 8 * second;
/** Within this after the signal a request still has time enough, by the users' rule. */
const takenAtMost = 3 * second;

function stopping(active: (now: number) => number) {
  const clock = createVirtualClock();
  const reports: ShutdownReport[] = [];
  const asked: { readonly what: string; readonly at: number }[] = [];
  function note(what: string): void {
    asked.push({ what, at: clock.world.now() });
  }
  const shutdown = createGracefulShutdown(clock.world, {
    gracePeriod,
    activeRequests: () => active(clock.world.now()),
    closeIdleConnections: () => note('close idle'),
    rejectUnstarted: () => note('give up'),
    exit: (report) => reports.push(report),
  });
  return { clock, shutdown, reports, asked };
}

it('ends once nothing is under way, but not before the platform has seen that it is not ready', async () => {
  const { clock, shutdown, reports } = stopping(() => 0);
  shutdown.begin();
  expect(shutdown.hasBegun()).toBe(true);
  await clock.runTo(2.5 * second);
  expect(reports).toEqual([]);
  await clock.runTo(2.8 * second);
  expect(reports).toMatchObject([{ activeAtSignal: 0, cut: 0 }]);
});

it('refuses at once, with a time to come back, what comes after the platform has seen it', async () => {
  const { clock, shutdown, asked } = stopping(() => 1);
  expect(shutdown.checkArrival(true)).toBeUndefined();
  shutdown.begin();
  await clock.runTo(2 * second);
  expect(shutdown.checkArrival(true)).toBeUndefined();
  for (const time of [takenAtMost, 5 * second, 7 * second]) {
    await clock.runTo(time);
    expect(shutdown.checkArrival(false)).toMatchObject({ kind: 'leaving', ran: 'no', retryAfter: 0.1 });
  }
  const closed = asked.filter(({ what }) => what === 'close idle');
  expect(closed).toHaveLength(1);
  expect(closed[0]!.at).toBeLessThan(takenAtMost);
});

it('gives what is under way nearly the whole grace period, and gives up on what has not begun before it ends', async () => {
  const { clock, shutdown, reports, asked } = stopping(() => 2);
  shutdown.begin();
  await clock.runTo(7 * second);
  expect(asked.map(({ what }) => what)).toEqual(['close idle']);
  await clock.runTo(7.5 * second);
  expect(asked.map(({ what }) => what)).toEqual(['close idle', 'give up']);
  expect(reports).toEqual([]);
  await clock.runTo(gracePeriod);
  expect(reports).toMatchObject([{ activeAtSignal: 2, cut: 2 }]);
  expect(reports[0]!.took).toBeLessThan(gracePeriod - 0.2 * second);
});

it('ends when the last request under way has ended', async () => {
  const { clock, shutdown, reports } = stopping((now) => (now < 4 * second ? 1 : 0));
  shutdown.begin();
  await clock.runTo(3.9 * second);
  expect(reports).toEqual([]);
  await clock.runTo(4.2 * second);
  expect(reports).toMatchObject([{ cut: 0 }]);
});

it('tells of the requests that came after the signal, of those only', async () => {
  const { clock, shutdown, reports } = stopping((now) => (now < 4 * second ? 1 : 0));
  shutdown.checkArrival(true);
  shutdown.begin();
  await clock.runTo(second);
  shutdown.checkArrival(true);
  shutdown.checkArrival(false);
  await clock.runTo(3 * second);
  shutdown.checkArrival(true);
  await clock.runTo(gracePeriod);
  expect(reports).toMatchObject([{ taken: 2, refused: 1, onKeptConnections: 2, lastTakenAfter: second }]);
  expect(clock.logged.map((entry) => entry.event)).toEqual([1002, 1003]);
});
