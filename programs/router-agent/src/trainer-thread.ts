/**
 * The worker thread that trains. It holds the pools and the last model; the agent's own loop only posts
 * samples to it and takes finished bytes from it.
 */
import { parentPort } from 'node:worker_threads';
import { createTrainer, encodeModel, trainingDefaults, type ModelVersion, type Sample } from '@tansypost/placement';

export type TrainerCommand =
  | { readonly do: 'add'; readonly samples: readonly Sample[] }
  | { readonly do: 'train'; readonly id: number; readonly version: ModelVersion };

if (parentPort !== null) {
  const port = parentPort;
  const t = createTrainer(trainingDefaults);
  port.on('message', (c: TrainerCommand) => {
    if (c.do === 'add') return t.add(c.samples);
    const m = t.train(c.version, (c.version.epoch * 1000 + c.version.n) >>> 0);
    port.postMessage({ id: c.id, bytes: encodeModel(m) });
  });
}
