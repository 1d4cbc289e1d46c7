/** A platform that takes every call, and answers each a little later than is waited for: what is owed must still come. */
import { expect, it } from 'vitest';
import type { StoredValue, StoredVersion } from '@tansypost/control-feed';
import { createVirtualClock, micros } from '@tansypost/inner-protocol';
import { createCallPacer } from './call-pacer.js';
import { createDutyTask } from './duty-task.js';
import type { DutyCall, PlannedCall } from './ports.js';

const second = 1_000_000;

it('reports later windows though answers take longer than they are waited for', async () => {
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
    pacer: createCallPacer(clock.world, 5, () => undefined),
    isLeader: () => true,
    canCall: () => true,
    backOffDuration: 3.6 * second,
    maxCallTransit: 0.6 * second,
    callTimeout: 2.5 * second,
    onProgress: () => undefined,
  });
  function look(): void {
    task.look();
    clock.world.after(micros(250_000), look);
  }
  for (let window = 0; window < 8; window += 1)
    clock.world.after(micros(window * 5 * second), () => planned.push({ subject: 'windows', content: `${window}` }));
  look();
  await clock.runTo(60 * second);
  expect([...new Set(calls.map(({ content }) => content))]).toEqual(['0', '1', '2', '3', '4', '5', '6', '7']);
});
