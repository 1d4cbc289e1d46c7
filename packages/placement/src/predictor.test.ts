/** What the predictor expects of a worker. */
import { createSeededRandom } from '@tansypost/inner-protocol';
import { expect, it } from 'vitest';
import { createPredictor, forward, backward } from './predictor.js';

it('has gradients that agree with numerical ones, with and without dropout', () => {
  const rowCount = 5;
  const random = createSeededRandom(3);
  const batch = Float32Array.from({ length: rowCount * 4 }, () => random() * 2 - 1);
  const targets = Float32Array.from({ length: rowCount }, () => random());
  for (const rate of [0, 0.3]) {
    const predictor = createPredictor(4, 9, [8, 8, 8]);
    function loss(): number {
      const outputs = forward(predictor, batch, rowCount, {
        rate,
        random: createSeededRandom(5),
      })!.activations.at(-1)!;
      return outputs.reduce((sum, output, i) => sum + 0.5 * (output - targets[i]!) ** 2, 0);
    }
    const pass = forward(predictor, batch, rowCount, { rate, random: createSeededRandom(5) })!;
    const gradients = backward(
      predictor,
      pass,
      rowCount,
      pass.activations.at(-1)!.map((output, i) => output - targets[i]!),
    );
    let checked = 0;
    for (let layer = 0; layer < 4; layer += 1) {
      for (let i = 0; i < predictor.weights[layer]!.length; i += 3) {
        const weights = predictor.weights[layer]!;
        const original = weights[i]!;
        const step = 1e-2;
        weights[i] = original + step;
        const lossAbove = loss();
        weights[i] = original - step;
        const lossBelow = loss();
        weights[i] = original;
        const numerical = (lossAbove - lossBelow) / (2 * step);
        if (Math.abs(numerical) < 1e-3) continue;
        checked += 1;
        expect(Math.abs(gradients.weights[layer]![i]! - numerical)).toBeLessThan(
          0.05 * Math.max(0.2, Math.abs(numerical)),
        );
      }
    }
    expect(checked).toBeGreaterThan(20);
  }
});
