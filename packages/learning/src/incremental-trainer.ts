/**
 * Trains on the thread that it is called on, a few milliseconds at a time, so that whatever else the thread does goes on
 * between. Where a thread of its own costs too much memory, this takes its place.
 */
import { micros, type World } from '@tansypost/inner-protocol';
import { createTrainer, encodeModel, trainingDefaults, type Model } from '@tansypost/placement';
import type { ModelTrainer } from './training-controller.js';

const slice = 2_500;
const pause = 12_000;
const rows = 8;

export function createIncrementalTrainer(w: Pick<World, 'now' | 'after'>, spoil?: (m: Model) => Model): ModelTrainer {
  const t = createTrainer(trainingDefaults);
  return {
    add: t.add,
    train: (v) =>
      new Promise((done, failed) => {
        const g = t.trainInSteps(v, (v.epoch * 1000 + v.n) >>> 0, rows);
        function go(): void {
          const until = w.now() + slice;
          try {
            for (;;) {
              const x = g.next();
              if (x.done === true) return done(encodeModel(spoil?.(x.value) ?? x.value));
              if (w.now() >= until) break;
            }
          } catch (e) {
            return failed(e as Error);
          }
          w.after(micros(pause), go);
        }
        go();
      }),
  };
}
