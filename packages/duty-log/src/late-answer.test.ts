/**
 * A platform that accepts every call but always answers shortly after the call timeout. The late answers must still close
 * the calls; otherwise the first call would be retried for ever and block all later ones of its subject.
 */
import { expect, it } from 'vitest';
import type { StoredValue, StoredVersion } from '@tansypost/control-feed';
import { createVirtualClock, micros } from '@tansypost/inner-protocol';
import { createCallRateLimiter } from './call-rate-limiter.js';
import { createDutyTask } from './duty-task.js';
import type { DutyCall, PlannedCall } from './ports.js';

const second = 1_000_000;

it('makes the calls for later windows even if every answer arrives after the timeout', async () => {
  const clock = createVirtualClock();
  let stored: StoredVersion = { version: 0, value: Buffer.alloc(0) };
  const record: StoredValue = {
    read: async () => stored,
    write: async (base, value) => {
      stored = { version: base + 1, value };
      return stored.version;
    },
  };
  const calls: DutyCall[] = [];
  const planned: PlannedCall[] = [];
  const task = createDutyTask(clock.world, {
    duty: { name: 'usage', maySupersede: false, plan: () => planned },
    member: 'c0',
    record,
    port: {
      call: (call) => {
        calls.push(call);
        return new Promise((done) => clock.world.after(micros(2.7 * second), () => done('accepted')));
      },
    },
    rateLimiter: createCallRateLimiter(clock.world, 5, () => undefined),
    isLeader: () => true,
    canCall: () => true,
    holdOffDuration: 3.6 * second,
    maxCallTransit: 0.6 * second,
    callTimeout: 2.5 * second,
    onProgress: () => undefined,
  });
  function poll(): void {
    task.poll();
    clock.world.after(micros(250_000), poll);
  }
  for (let window = 0; window < 8; window += 1)
    clock.world.after(micros(window * 5 * second), () => planned.push({ subject: 'windows', content: `${window}` }));
  poll();
  await clock.runTo(60 * second);
  expect([...new Set(calls.map(({ content }) => content))]).toEqual(['0', '1', '2', '3', '4', '5', '6', '7']);
});
