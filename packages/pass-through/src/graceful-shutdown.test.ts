/** Graceful shutdown in virtual time: which requests are accepted, when the process exits, and what it reports. */
import { expect, it } from 'vitest';
import { createVirtualClock } from '@tansypost/inner-protocol';
import { createGracefulShutdown, type ShutdownReport } from './graceful-shutdown.js';

const second = 1_000_000;
const gracePeriod = 8 * second;
/** Until this long after the signal a request may be accepted, as it still has enough time by the users' rule. */
const maxAcceptedAfterMicros = 3 * second;

function prepareShutdown(active: (now: number) => number) {
  const clock = createVirtualClock();
  const reports: ShutdownReport[] = [];
  const calls: { readonly what: string; readonly at: number }[] = [];
  function record(what: string): void {
    calls.push({ what, at: clock.world.now() });
  }
  const shutdown = createGracefulShutdown(clock.world, {
    gracePeriod,
    activeRequests: () => active(clock.world.now()),
    closeIdleConnections: () => record('close idle'),
    rejectUnstarted: () => record('reject unstarted'),
    exit: (report) => reports.push(report),
  });
  return { clock, shutdown, reports, calls };
}

it('exits once no request is in flight, but not before the platform has seen that it is not ready', async () => {
  const { clock, shutdown, reports } = prepareShutdown(() => 0);
  shutdown.begin();
  expect(shutdown.hasBegun()).toBe(true);
  await clock.runTo(2.5 * second);
  expect(reports).toEqual([]);
  await clock.runTo(2.8 * second);
  expect(reports).toMatchObject([{ activeAtSignal: 0, cut: 0 }]);
});

it('rejects requests at once with a time to retry after the platform has seen that it is not ready', async () => {
  const { clock, shutdown, calls } = prepareShutdown(() => 1);
  expect(shutdown.checkArrival(true)).toBeUndefined();
  shutdown.begin();
  await clock.runTo(2 * second);
  expect(shutdown.checkArrival(true)).toBeUndefined();
  for (const time of [maxAcceptedAfterMicros, 5 * second, 7 * second]) {
    await clock.runTo(time);
    expect(shutdown.checkArrival(false)).toMatchObject({ kind: 'leaving', ran: 'no', retryAfterSeconds: 0.1 });
  }
  const closed = calls.filter(({ what }) => what === 'close idle');
  expect(closed).toHaveLength(1);
  expect(closed[0]!.at).toBeLessThan(maxAcceptedAfterMicros);
});

it('gives requests in flight nearly the whole grace period, and rejects unstarted ones before it exits', async () => {
  const { clock, shutdown, reports, calls } = prepareShutdown(() => 2);
  shutdown.begin();
  await clock.runTo(7 * second);
  expect(calls.map(({ what }) => what)).toEqual(['close idle']);
  await clock.runTo(7.5 * second);
  expect(calls.map(({ what }) => what)).toEqual(['close idle', 'reject unstarted']);
  expect(reports).toEqual([]);
  await clock.runTo(gracePeriod);
  expect(reports).toMatchObject([{ activeAtSignal: 2, cut: 2 }]);
  expect(reports[0]!.took).toBeLessThan(gracePeriod - 0.2 * second);
});

it('exits when the last request in flight has ended', async () => {
  const { clock, shutdown, reports } = prepareShutdown((now) => (now < 4 * second ? 1 : 0));
  shutdown.begin();
  await clock.runTo(3.9 * second);
  expect(reports).toEqual([]);
  await clock.runTo(4.2 * second);
  expect(reports).toMatchObject([{ cut: 0 }]);
});

it('reports only the requests that arrived after the signal', async () => {
  const { clock, shutdown, reports } = prepareShutdown((now) => (now < 4 * second ? 1 : 0));
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
