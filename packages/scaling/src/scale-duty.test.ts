/** Which orders the scale duty plans, given the record of its calls. */
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

/** Creates a duty that has observed an unchanged worker list long enough to plan its first order. */
async function createDutyWithHistory() {
  const clock = createVirtualClock();
  const duty = createScaleDuty(clock.world, {
    services: () => [{ name: 's', scaling: { minWorkers: 2, maxWorkers: 9, bootTime: 8_000_000 } }],
    view: () => ({ workers: [0, 1, 2, 3].map(worker), listAge: 0, loads: new Map() }),
  });
  await clock.runTo(5_000_000);
  return duty;
}

it('orders the current number of workers only once, whether that order is open or was refused', async () => {
  const duty = await createDutyWithHistory();
  const order = toPlannedOrder({ service: 's', zone: 'z', workers: 4 });
  expect(duty.plan(emptyRecord)).toEqual([order]);
  expect(duty.plan({ ...emptyRecord, lastIntent: 1, open: [{ id: 1, ...order }] })).toEqual([]);
  const refused = { ...order, outcome: 'refused' as const, fence: 3 };
  expect(duty.plan({ ...emptyRecord, outcomes: [refused] })).toEqual([]);
});
