/**
 * The thread that trains models. It holds the sample pools and the last model; the agent's event loop only posts samples
 * and training commands to it and receives encoded models from it.
 */
import { parentPort } from 'node:worker_threads';
import { createTrainer, encodeModel, trainingDefaults, type ModelVersion, type Sample } from '@tansypost/placement';

/** A message to the thread. */
export type TrainerCommand =
  | { readonly do: 'add'; readonly samples: readonly Sample[] }
  | { readonly do: 'train'; readonly id: number; readonly version: ModelVersion };

if (parentPort !== null) {
  const port = parentPort;
  const trainer = createTrainer(trainingDefaults);
  port.on('message', (command: TrainerCommand) => {
    if (command.do === 'add') return trainer.add(command.samples);
    const model = trainer.train(command.version, (command.version.epoch * 1000 + command.version.n) >>> 0);
    port.postMessage({ id: command.id, bytes: encodeModel(model) });
  });
}
