/** Questions that fail, and what is kept of workers that are gone. */
import { expect, it } from 'vitest';
import type { ListedWorker } from '@tansypost/control-feed';
import { createVirtualClock, micros } from '@tansypost/inner-protocol';
import { createDecodeSilence } from './decode-silence.js';

const second = 1_000_000;

function worker(id: string, part: 'prefill' | 'decode'): ListedWorker {
  return { id, service: 's', address: `${id}:1`, zone: 'z', slots: 8, leaving: false, coldMs: 0, part };
}

it('asks again after a question that failed with an error', async () => {
  const clock = createVirtualClock();
  const rejections: unknown[] = [];
  function note(reason: unknown): void {
    rejections.push(reason);
  }
  process.on('unhandledRejection', note);
  let asked = 0;
  const silence = createDecodeSilence(clock.world, {
    workers: () => [worker('p', 'prefill'), worker('d', 'decode')],
    served: () => ['s'],
    isAsker: () => true,
    report: () => {
      asked += 1;
      return Promise.reject(new Error('cannot ask'));
    },
  });
  function look(): void {
    silence.look();
    clock.world.after(micros(250_000), look);
  }
  look();
  await clock.runTo(10 * second);
  await new Promise((done) => setImmediate(done));
  process.off('unhandledRejection', note);
  expect([rejections.length, asked > 1]).toEqual([0, true]);
});
