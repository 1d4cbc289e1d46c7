/** When a service counts as left without runners, and that this is said once. */
import { expect, it } from 'vitest';
import { createVirtualClock } from '@tansypost/inner-protocol';
import { createRunnerWatch } from './runner-watch.js';
import type { FleetWorker, Part } from './worker-fleet.js';

function worker(id: string, part: Part, leaving = false, service = 's'): FleetWorker {
  return { id, service, address: `${id}:1`, zone: 'z', slots: 8, part, leaving };
}

it('says once that only readers and leavers are left, and once that there is a runner again', () => {
  const clock = createVirtualClock();
  const watch = createRunnerWatch(clock.world);
  const reader = worker('reader', 'prefill');
  const runner = worker('runner', 'decode');
  watch.look(['s'], [reader, runner]);
  expect(clock.logged).toEqual([]);
  for (let time = 0; time < 3; time += 1) watch.look(['s'], [reader, worker('runner', 'decode', true)]);
  expect(clock.logged).toEqual([{ event: 5107, fields: { service: 's', runners: 0, readers: 1, leaving: 1 } }]);
  watch.look(['s'], [reader, runner]);
  watch.look(['s'], [reader, runner]);
  expect(clock.logged.slice(1)).toEqual([
    { event: 5108, fields: { service: 's', runners: 1, readers: 1, leaving: 0 } },
  ]);
});

it('looks at each service by itself', () => {
  const clock = createVirtualClock();
  const watch = createRunnerWatch(clock.world);
  watch.look(['s', 'other'], [worker('runner', 'decode')]);
  expect(clock.logged).toMatchObject([{ event: 5107, fields: { service: 'other' } }]);
});
