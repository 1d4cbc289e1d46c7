/** Scale orders as calls of a duty: the record decides which orders are still to be made. */
import { expect, it } from 'vitest';
import type { ListedWorker } from '@tansypost/control-feed';
import type { DutyRecord } from '@tansypost/duty-log';
import { createVirtualClock } from '@tansypost/inner-protocol';
import { createScaleDuty } from './scale-duty.js';
import { toPlannedOrder } from './scale-order.js';

const emptyRecord: DutyRecord = { term: null, lastIntent: 0, open: [], outcomes: [] };

function worker(index: number): ListedWorker {
  const part = index === 0 ? 'prefill' : 'decode';
  return {
    id: `w${index}`,
    service: 's',
    address: `w${index}:1`,
    zone: 'z',
    slots: 8,
    leaving: false,
    coldMs: 0,
    part,
  };
}

async function createObservingDuty() {
  const clock = createVirtualClock();
  const duty = createScaleDuty(clock.world, {
    services: () => [{ name: 's', scaling: { minWorkers: 2, maxWorkers: 9, bootTime: 8_000_000 } }],
    view: () => ({ workers: [0, 1, 2, 3].map(worker), listAge: 0, loads: new Map() }),
  });
  await clock.runTo(5_000_000);
  return duty;
}

it('orders the number of workers present once, whether that order is open or has ended', async () => {
  const duty = await createObservingDuty();
  const order = toPlannedOrder({ service: 's', zone: 'z', workers: 4 });
  expect(duty.plan(emptyRecord)).toEqual([order]);
  expect(duty.plan({ ...emptyRecord, lastIntent: 1, open: [{ id: 1, ...order }] })).toEqual([]);
  const ended = { ...order, outcome: 'refused' as const, fence: 3 };
  expect(duty.plan({ ...emptyRecord, outcomes: [ended] })).toEqual([]);
});
