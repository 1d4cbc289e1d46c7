/** Training of the model, and its encoding. */
import { createSeededRandom } from '@tansypost/inner-protocol';
import { expect, it } from 'vitest';
import { featureCount } from './features.js';
import { decodeModel, encodeModel, modelHash, predictTtft } from './model.js';
import type { Sample } from './samples.js';
import { createTrainer, trainingDefaults } from './training.js';

function drawSample(random: () => number): Sample {
  const features = new Float32Array(featureCount);
  features[0] = 100 + 3000 * random();
  features[1] = random();
  features[2] = features[0] * (1 - features[1]);
  features[4] = Math.floor(10 * random());
  const isFast = random() < 0.5;
  features[isFast ? 11 : 9] = 1;
  return { features, reward: -((features[2] / (isFast ? 8000 : 3000)) * (1 + 0.3 * features[4])) };
}
it('learns a TTFT that is not linear in the features, and the model survives encoding', () => {
  const random = createSeededRandom(21);
  const trainer = createTrainer({ ...trainingDefaults, fifoCapacity: 1000, replayCapacity: 500, passes: 6 });
  trainer.add(Array.from({ length: 1500 }, () => drawSample(random)));
  expect(trainer.isDue()).toBe(true);
  trainer.train({ epoch: 64, n: 1 }, 5);
  trainer.add(Array.from({ length: 600 }, () => drawSample(random)));
  const model = trainer.train({ epoch: 64, n: 2 }, 6);
  expect(trainer.poolSizes()).toEqual({ fifo: 1000, replay: 500 });
  const testSamples = Array.from({ length: 300 }, () => drawSample(random));
  const encoded = encodeModel(model);
  const decoded = decodeModel(encoded, modelHash(encoded));
  if (decoded._tag === 'Left') throw decoded.left;
  const predictions = predictTtft(
    decoded.right,
    testSamples.map((sample) => sample.features),
  )!;
  const modelError =
    testSamples.reduce((sum, sample, i) => sum + Math.abs(-sample.reward - predictions[i]!), 0) / testSamples.length;
  const mean = testSamples.reduce((sum, sample) => sum - sample.reward, 0) / testSamples.length;
  const errorOfMean =
    testSamples.reduce((sum, sample) => sum + Math.abs(-sample.reward - mean), 0) / testSamples.length;
  expect(modelError).toBeLessThan(0.3 * errorOfMean);
  encoded[encoded.length - 1]! ^= 1;
  expect(decodeModel(encoded, modelHash(encodeModel(model)))._tag).toBe('Left');
});
