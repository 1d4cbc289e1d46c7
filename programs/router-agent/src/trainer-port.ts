/**
 * The agent's end of the training thread. The thread starts with the first samples, which only the holder of
 * the training duty gets.
 */
import { Worker } from 'node:worker_threads';
import type { ModelTrainer } from '@tansypost/learning';

export function createThreadTrainer(): ModelTrainer & { readonly close: () => Promise<void> } {
  let worker: Worker | undefined;
  let n = 0;
  const open = new Map<number, { ok: (b: Buffer) => void; no: (e: Error) => void }>();
  function thread(): Worker {
    if (worker !== undefined) return worker;
    const x = new Worker(new URL('./trainer-thread.js', import.meta.url));
    x.unref();
    x.on('message', (m: { id: number; bytes: Uint8Array }) => {
      open.get(m.id)?.ok(Buffer.from(m.bytes));
      open.delete(m.id);
    });
    x.on('error', (e) => {
      for (const o of open.values()) o.no(e);
      open.clear();
      worker = undefined;
    });
    worker = x;
    return x;
  }
  return {
    add: (samples) => thread().postMessage({ do: 'add', samples }),
    train: (version) =>
      new Promise((ok, no) => {
        n += 1;
        open.set(n, { ok, no });
        thread().postMessage({ do: 'train', id: n, version });
      }),
    close: async () => {
      await worker?.terminate();
    },
  };
}
