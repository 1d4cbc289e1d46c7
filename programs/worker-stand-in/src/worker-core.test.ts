/** The state of a simulated worker. */
import { micros } from '@tansypost/inner-protocol';
import { expect, it } from 'vitest';
import { promptDigest } from './answer.js';
import { type KvHandle, createWorkerCore, workerDefaults } from './worker-core.js';

it('rejects a stage order of an older epoch and applies one of the same or a newer epoch', () => {
  const core = createWorkerCore(
    { now: () => micros(0), after: () => () => undefined, log: () => undefined },
    { ...workerDefaults, worker: 'w', incarnation: 1 },
  );
  expect(core.setStage(5, 'decode')).toBe(true);
  expect(core.setStage(4, 'prefill')).toBe(false);
  expect(core.part()).toBe('decode');
  expect(core.setStage(6, '')).toBe(true);
  expect(core.setStage(5, 'prefill')).toBe(false);
  expect(core.setStage(6, 'prefill')).toBe(true);
});
it('accepts a KV handle once, for the request, prompt and incarnation that it was created for', () => {
  const timers: (() => void)[] = [];
  const core = createWorkerCore(
    {
      now: () => micros(0),
      after: (_, callback) => {
        timers.push(callback);
        return () => undefined;
      },
      log: () => undefined,
    },
    { ...workerDefaults, worker: 'w', incarnation: 3 },
  );
  let handle: KvHandle | undefined;
  core.prefill({ request: 'r1', prompt: 'a b c', maxTokens: 4 }, (outcome) => {
    if (outcome.tag === 'done') handle = outcome.handle;
  });
  timers[0]!();
  expect(core.consumeHandle({ ...handle!, request: 'r2' })).toBe('memory_foreign');
  expect(core.consumeHandle({ ...handle!, digest: promptDigest('a b d') })).toBe('memory_foreign');
  expect(core.consumeHandle({ ...handle!, incarnation: 2 })).toBe('memory_lapsed');
  expect(core.consumeHandle(handle!)).toBeUndefined();
  expect(core.consumeHandle(handle!)).toBe('memory_lapsed');
  expect(core.admitDecode({ request: 'r2', prompt: 'a b c', maxTokens: 4 }, handle!)).toBe('memory_foreign');
});
