/** A duty whose plan throws once must neither end the process nor be left alone for good. */
import { expect, it } from 'vitest';
import type { StoredValue, StoredVersion } from '@tansypost/control-feed';
import { createVirtualClock } from '@tansypost/inner-protocol';
import { createCallPacer } from './call-pacer.js';
import { createDutyTask } from './duty-task.js';
import type { DutyCall, PlannedCall } from './ports.js';

async function settle(): Promise<void> {
  for (let turn = 0; turn < 50; turn += 1) await Promise.resolve();
}

it('goes on with a duty after its plan threw', async () => {
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
  let throwing = true;
  function plan(): readonly PlannedCall[] {
    if (throwing) throw new Error('cannot plan');
    return calls.length === 0 ? [{ subject: 'a', content: '1' }] : [];
  }
  const rejections: unknown[] = [];
  function note(reason: unknown): void {
    rejections.push(reason);
  }
  process.on('unhandledRejection', note);
  const task = createDutyTask(clock.world, {
    duty: { name: 'usage', maySupersede: false, plan },
    member: 'c0',
    record,
    port: {
      call: async (call) => {
        calls.push(call);
        return 'accepted';
      },
    },
    pacer: createCallPacer(clock.world, 10, () => undefined),
    isLeader: () => true,
    canCall: () => true,
    backOffDuration: 1,
    maxCallTransit: 1,
    callTimeout: 1,
    onProgress: () => undefined,
  });
  task.look();
  await settle();
  throwing = false;
  task.look();
  await settle();
  await new Promise((done) => setImmediate(done));
  process.off('unhandledRejection', note);
  expect([rejections.length, calls.length]).toEqual([0, 1]);
});
