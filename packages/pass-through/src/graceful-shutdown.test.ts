/** The stop of a router in virtual time: when it ends, and what it tells of the time since the signal. */
import { expect, it } from 'vitest';
import { createVirtualClock } from '@tansypost/inner-protocol';
import { createGracefulShutdown, type ShutdownReport } from './graceful-shutdown.js';

const second = 1_000_000;
const gracePeriod = 8 * second;

function stopping(active: () => number) {
  const clock = createVirtualClock();
  const reports: ShutdownReport[] = [];
  const shutdown = createGracefulShutdown(clock.world, {
    gracePeriod,
    active,
    end: (report) => reports.push(report),
  });
  return { clock, shutdown, reports };
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

it('gives what is under way nearly the whole grace period, and says how much is cut', async () => {
  const { clock, shutdown, reports } = stopping(() => 2);
  shutdown.begin();
  await clock.runTo(7.5 * second);
  expect(reports).toEqual([]);
  await clock.runTo(gracePeriod);
  expect(reports).toMatchObject([{ activeAtSignal: 2, cut: 2 }]);
  expect(reports[0]!.took).toBeLessThan(gracePeriod - 0.2 * second);
});

it('tells of the requests that came after the signal, of those only', async () => {
  const { clock, shutdown, reports } = stopping(() => 0);
  shutdown.arrived(true);
  shutdown.begin();
  await clock.runTo(second);
  shutdown.arrived(true);
  shutdown.arrived(false);
  await clock.runTo(gracePeriod);
  expect(reports).toMatchObject([{ taken: 2, takenOnKeptConnections: 1, lastTakenAfter: second }]);
  expect(clock.logged.map((entry) => entry.event)).toEqual([1002, 1003]);
});
