/** When a service counts as without decode workers, and that each change is logged once. */
import { expect, it } from 'vitest';
import { createVirtualClock } from '@tansypost/inner-protocol';
import { createDecodeAvailability } from './decode-availability.js';
import type { FleetWorker, WorkerStage } from './worker-fleet.js';

function worker(id: string, part: WorkerStage, leaving = false, service = 's'): FleetWorker {
  return { id, service, address: `${id}:1`, zone: 'z', slots: 8, part, leaving };
}

it('logs once that only prefill and leaving workers are left, and once that a decode worker is back', () => {
  const clock = createVirtualClock();
  const availability = createDecodeAvailability(clock.world);
  const prefillWorker = worker('reader', 'prefill');
  const decodeWorker = worker('runner', 'decode');
  availability.check(['s'], [prefillWorker, decodeWorker]);
  expect(clock.logged).toEqual([]);
  for (let time = 0; time < 3; time += 1) availability.check(['s'], [prefillWorker, worker('runner', 'decode', true)]);
  expect(clock.logged).toEqual([{ event: 5107, fields: { service: 's', decode: 0, prefill: 1, leaving: 1 } }]);
  availability.check(['s'], [prefillWorker, decodeWorker]);
  availability.check(['s'], [prefillWorker, decodeWorker]);
  expect(clock.logged.slice(1)).toEqual([{ event: 5108, fields: { service: 's', decode: 1, prefill: 1, leaving: 0 } }]);
});

it('checks each service separately', () => {
  const clock = createVirtualClock();
  const availability = createDecodeAvailability(clock.world);
  availability.check(['s', 'other'], [worker('runner', 'decode')]);
  expect(clock.logged).toMatchObject([{ event: 5107, fields: { service: 'other' } }]);
});
