/**
 * The agent's side of the training thread. The thread starts with the first samples, which only the leader of the training
 * role receives.
 */
import { Worker } from 'node:worker_threads';
import type { ModelTrainer } from '@tansypost/learning';

/** Creates a trainer whose thread is not started yet; `close` ends the thread. */
export function createThreadTrainer(): ModelTrainer & { readonly close: () => Promise<void> } {
  let worker: Worker | undefined;
  let requestCount = 0;
  const pending = new Map<number, { resolve: (model: Buffer) => void; reject: (error: Error) => void }>();
  function startedThread(): Worker {
    if (worker !== undefined) return worker;
    const started = new Worker(new URL('./trainer-thread.js', import.meta.url));
    started.unref();
    started.on('message', (message: { id: number; bytes: Uint8Array }) => {
      pending.get(message.id)?.resolve(Buffer.from(message.bytes));
      pending.delete(message.id);
    });
    started.on('error', (error) => {
      for (const request of pending.values()) request.reject(error);
      pending.clear();
      worker = undefined;
    });
    worker = started;
    return started;
  }
  return {
    add: (samples) => startedThread().postMessage({ do: 'add', samples }),
    train: (version) =>
      new Promise((resolve, reject) => {
        requestCount += 1;
        pending.set(requestCount, { resolve, reject });
        startedThread().postMessage({ do: 'train', id: requestCount, version });
      }),
    close: async () => {
      await worker?.terminate();
    },
  };
}
