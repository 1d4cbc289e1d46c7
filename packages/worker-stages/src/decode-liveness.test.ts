/** A probe that fails with an error must not stop further probes or cause an unhandled rejection. */
import { expect, it } from 'vitest';
import type { ListedWorker } from '@tansypost/control-feed';
import { createVirtualClock, micros } from '@tansypost/inner-protocol';
import { createDecodeLiveness } from './decode-liveness.js';

const second = 1_000_000;

function worker(id: string, part: 'prefill' | 'decode'): ListedWorker {
  return { id, service: 's', address: `${id}:1`, zone: 'z', slots: 8, leaving: false, coldMs: 0, part };
}

it('probes again after a probe that failed with an error', async () => {
  const clock = createVirtualClock();
  const rejections: unknown[] = [];
  function recordRejection(reason: unknown): void {
    rejections.push(reason);
  }
  process.on('unhandledRejection', recordRejection);
  let probes = 0;
  const liveness = createDecodeLiveness(clock.world, {
    workers: () => [worker('p', 'prefill'), worker('d', 'decode')],
    served: () => ['s'],
    isProber: () => true,
    report: () => {
      probes += 1;
      return Promise.reject(new Error('probe failed'));
    },
  });
  function poll(): void {
    liveness.poll();
    clock.world.after(micros(250_000), poll);
  }
  poll();
  await clock.runTo(10 * second);
  await new Promise((done) => setImmediate(done));
  process.off('unhandledRejection', recordRejection);
  expect([rejections.length, probes > 1]).toEqual([0, true]);
});
