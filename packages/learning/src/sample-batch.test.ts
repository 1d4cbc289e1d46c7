/** Samples keep their size bound and accuracy through compression. */
import { expect, it } from 'vitest';
import { createSeededRandom } from '@tansypost/inner-protocol';
import { featureCount, type Sample } from '@tansypost/placement';
import { packSamples, unpackSamples } from './sample-batch.js';

it('packs samples to a fifth of their size or less and restores them to within 0.4 %; malformed input gives none', () => {
  const random = createSeededRandom(4);
  const samples = Array.from({ length: 100 }, (): Sample => {
    const features = new Float32Array(featureCount);
    features[0] = Math.round(400 + 9000 * random());
    features[2] = features[0];
    features[3] = Math.floor(4 * random());
    features[5] = Math.floor(2 * random()) * features[0];
    features[8] = 1;
    return { features, reward: -Math.fround(random()) };
  });
  const packed = packSamples(samples);
  expect(packed.length).toBeLessThan((100 * (featureCount + 1) * 4) / 5);
  const unpacked = unpackSamples(packed, 100);
  expect(unpacked.length).toBe(100);
  unpacked.forEach((restored, i) => {
    const sample = samples[i]!;
    [...restored.features, restored.reward].forEach((value, j) => {
      const original = j < featureCount ? sample.features[j]! : sample.reward;
      expect(Math.abs(value - original)).toBeLessThanOrEqual(0.004 * Math.abs(original));
    });
  });
  expect(unpackSamples(packed, 99)).toEqual([]);
  expect(unpackSamples(packed.subarray(3), 100)).toEqual([]);
});
