/** A duty whose plan throws once must neither crash the process by an unhandled rejection nor stop for good. */
import { expect, it } from 'vitest';
import type { StoredValue, StoredVersion } from '@tansypost/control-feed';
import { createVirtualClock } from '@tansypost/inner-protocol';
import { createCallRateLimiter } from './call-rate-limiter.js';
import { createDutyTask } from './duty-task.js';
import type { DutyCall, PlannedCall } from './ports.js';

async function flushMicrotasks(): Promise<void> {
  for (let turn = 0; turn < 50; turn += 1) await Promise.resolve();
}

it('continues a duty after its plan threw', async () => {
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
  let planThrows = true;
  function plan(): readonly PlannedCall[] {
    if (planThrows) throw new Error('cannot plan');
    return calls.length === 0 ? [{ subject: 'a', content: '1' }] : [];
  }
  const rejections: unknown[] = [];
  function recordRejection(reason: unknown): void {
    rejections.push(reason);
  }
  process.on('unhandledRejection', recordRejection);
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
    rateLimiter: createCallRateLimiter(clock.world, 10, () => undefined),
    isLeader: () => true,
    canCall: () => true,
    holdOffDuration: 1,
    maxCallTransit: 1,
    callTimeout: 1,
    onProgress: () => undefined,
  });
  task.poll();
  await flushMicrotasks();
  planThrows = false;
  task.poll();
  await flushMicrotasks();
  await new Promise((done) => setImmediate(done));
  process.off('unhandledRejection', recordRejection);
  expect([rejections.length, calls.length]).toEqual([0, 1]);
});
