/**
 * The agent's end of the training thread. The thread starts with the first samples, which only the holder of
 * the training duty gets.
 */
import { Worker } from 'node:worker_threads';
import type { TrainerPort } from '@tansypost/learning';

export function createThreadTrainer(): TrainerPort & { readonly close: () => Promise<void> } {
  let worker: Worker | undefined;
  let requestCount = 0;
  const pending = new Map<number, { ok: (b: Buffer) => void; no: (e: Error) => void }>();
  function startedThread(): Worker {
    if (worker !== undefined) return worker;
    const x = new Worker(new URL('./trainer-thread.js', import.meta.url));
    x.unref();
    x.on('message', (m: { id: number; bytes: Uint8Array }) => {
      pending.get(m.id)?.ok(Buffer.from(m.bytes));
      pending.delete(m.id);
    });
    x.on('error', (e) => {
      for (const o of pending.values()) o.no(e);
      pending.clear();
      worker = undefined;
    });
    worker = x;
    return x;
  }
  return {
    add: (samples) => startedThread().postMessage({ do: 'add', samples }),
    train: (version) =>
      new Promise((ok, no) => {
        requestCount += 1;
        pending.set(requestCount, { ok, no });
        startedThread().postMessage({ do: 'train', id: requestCount, version });
      }),
    close: async () => {
      await worker?.terminate();
    },
  };
}
