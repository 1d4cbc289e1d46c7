/**
 * Trains on the calling thread in steps of a few milliseconds, so that other work of the thread runs in between. It is
 * used where a thread of its own would cost too much memory.
 */
import { micros, type World } from '@tansypost/inner-protocol';
import { createTrainer, encodeModel, trainingDefaults, type Model } from '@tansypost/placement';
import type { ModelTrainer } from './training-controller.js';

/** Longest uninterrupted stretch of training, and the pause after it. */
const sliceUs = 2_500;
const pauseUs = 12_000;
const rowsPerStep = 8;

/** Creates a trainer; tests alter the trained model with `transform`. */
export function createIncrementalTrainer(
  world: Pick<World, 'now' | 'after'>,
  transform?: (model: Model) => Model,
): ModelTrainer {
  const trainer = createTrainer(trainingDefaults);
  return {
    add: trainer.add,
    train: (version) =>
      new Promise((resolve, reject) => {
        const steps = trainer.trainInSteps(version, (version.epoch * 1000 + version.n) >>> 0, rowsPerStep);
        function run(): void {
          const sliceEnd = world.now() + sliceUs;
          try {
            for (;;) {
              const step = steps.next();
              if (step.done === true) return resolve(encodeModel(transform?.(step.value) ?? step.value));
              if (world.now() >= sliceEnd) break;
            }
          } catch (error) {
            return reject(error as Error);
          }
          world.after(micros(pauseUs), run);
        }
        run();
      }),
  };
}
