/** When a service counts as left without decode workers, and that this is said once. */
import { expect, it } from 'vitest';
import { createVirtualClock } from '@tansypost/inner-protocol';
import { createDecodeWatch } from './decode-watch.js';
import type { FleetWorker, WorkerStage } from './worker-fleet.js';

function worker(id: string, part: WorkerStage, leaving = false, service = 's'): FleetWorker {
  return { id, service, address: `${id}:1`, zone: 'z', slots: 8, part, leaving };
}

it('says once that only prefill workers and leavers are left, and once that one decodes again', () => {
  const clock = createVirtualClock();
  const watch = createDecodeWatch(clock.world);
  const reader = worker('reader', 'prefill');
  const runner = worker('runner', 'decode');
  watch.look(['s'], [reader, runner]);
  expect(clock.logged).toEqual([]);
  for (let time = 0; time < 3; time += 1) watch.look(['s'], [reader, worker('runner', 'decode', true)]);
  expect(clock.logged).toEqual([{ event: 5107, fields: { service: 's', decode: 0, prefill: 1, leaving: 1 } }]);
  watch.look(['s'], [reader, runner]);
  watch.look(['s'], [reader, runner]);
  expect(clock.logged.slice(1)).toEqual([{ event: 5108, fields: { service: 's', decode: 1, prefill: 1, leaving: 0 } }]);
});

it('looks at each service by itself', () => {
  const clock = createVirtualClock();
  const watch = createDecodeWatch(clock.world);
  watch.look(['s', 'other'], [worker('runner', 'decode')]);
  expect(clock.logged).toMatchObject([{ event: 5107, fields: { service: 'other' } }]);
});
