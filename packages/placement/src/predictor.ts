/**
 * The shared reward predictor: three inner layers of 128 units with ReLU and dropout 0.1 between them,
 * one scalar out. Plain typed arrays, one batch a call. The forward pass can be given a check that
 * it asks between layers, which bounds the scoring call; dropout is off when it scores.
 */
import { createSeededRandom } from '@tansypost/inner-protocol';

export interface Predictor {
  readonly sizes: readonly number[];
  readonly weights: Float32Array[];
  readonly biases: Float32Array[];
}

export function createPredictor(inputs: number, seed: number, inner: readonly number[] = [128, 128, 128]): Predictor {
  const r = createSeededRandom(seed);
  const sizes = [inputs, ...inner, 1];
  const weights: Float32Array[] = [];
  const biases: Float32Array[] = [];
  for (let l = 0; l + 1 < sizes.length; l += 1) {
    const n = sizes[l]!;
    const m = sizes[l + 1]!;
    const s = Math.sqrt(2 / n);
    weights.push(
      Float32Array.from(
        { length: n * m },
        () => s * Math.sqrt(-2 * Math.log(r() + 1e-12)) * Math.cos(2 * Math.PI * r()),
      ),
    );
    biases.push(new Float32Array(m));
  }
  return { sizes, weights, biases };
}

export interface ForwardPass {
  readonly activations: Float32Array[];
  readonly dropoutMasks: (Float32Array | undefined)[];
}

export function forward(
  p: Predictor,
  x: Float32Array,
  n: number,
  drop?: { rate: number; random: () => number },
  expired?: () => boolean,
): ForwardPass | undefined {
  const outs: Float32Array[] = [x];
  const masks: (Float32Array | undefined)[] = [];
  for (let l = 0; l < p.weights.length; l += 1) {
    if (expired?.() === true) return undefined;
    const a = p.sizes[l]!;
    const b = p.sizes[l + 1]!;
    const w = p.weights[l]!;
    const bias = p.biases[l]!;
    const inp = outs[l]!;
    const out = new Float32Array(n * b);
    const lastLayer = l === p.weights.length - 1;
    for (let i = 0; i < n; i += 1) {
      const o = i * b;
      out.set(bias, o);
      for (let j = 0; j < a; j += 1) {
        const v = inp[i * a + j]!;
        if (v === 0) continue;
        const k = j * b;
        for (let m = 0; m < b; m += 1) out[o + m]! += v * w[k + m]!;
      }
    }
    let mask: Float32Array | undefined;
    if (!lastLayer) {
      for (let i = 0; i < out.length; i += 1) if (out[i]! < 0) out[i] = 0;
      if (drop !== undefined && drop.rate > 0) {
        const keep = 1 / (1 - drop.rate);
        mask = Float32Array.from({ length: out.length }, () => (drop.random() < drop.rate ? 0 : keep));
        for (let i = 0; i < out.length; i += 1) out[i]! *= mask[i]!;
      }
    }
    masks.push(mask);
    outs.push(out);
  }
  return { activations: outs, dropoutMasks: masks };
}

export interface Gradients {
  readonly weights: Float32Array[];
  readonly biases: Float32Array[];
}

export function createZeroGradients(p: Predictor): Gradients {
  return {
    weights: p.weights.map((w) => new Float32Array(w.length)),
    biases: p.biases.map((b) => new Float32Array(b.length)),
  };
}

// `up` is the derivative of the loss by each output of the batch. What it finds is added to `into`.
export function backward(
  p: Predictor,
  pass: ForwardPass,
  n: number,
  up: Float32Array,
  into = createZeroGradients(p),
): Gradients {
  const { weights: gw, biases: gb } = into;
  let d = up;
  for (let l = p.weights.length - 1; l >= 0; l -= 1) {
    const a = p.sizes[l]!;
    const b = p.sizes[l + 1]!;
    const inp = pass.activations[l]!;
    const w = p.weights[l]!;
    const below = new Float32Array(n * a);
    const mask = l > 0 ? pass.dropoutMasks[l - 1] : undefined;
    for (let i = 0; i < n; i += 1) {
      for (let m = 0; m < b; m += 1) gb[l]![m]! += d[i * b + m]!;
      for (let j = 0; j < a; j += 1) {
        const v = inp[i * a + j]!;
        if (v === 0) continue;
        const k = j * b;
        let s = 0;
        for (let m = 0; m < b; m += 1) {
          const g = d[i * b + m]!;
          gw[l]![k + m]! += v * g;
          s += w[k + m]! * g;
        }
        below[i * a + j] = mask === undefined ? s : s * mask[i * a + j]!;
      }
    }
    d = below;
  }
  return into;
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  it('has gradients that agree with numerical ones, with and without dropout', () => {
    const n = 5;
    const r = createSeededRandom(3);
    const x = Float32Array.from({ length: n * 4 }, () => r() * 2 - 1);
    const y = Float32Array.from({ length: n }, () => r());
    for (const rate of [0, 0.3]) {
      const p = createPredictor(4, 9, [8, 8, 8]);
      function loss(): number {
        const o = forward(p, x, n, { rate, random: createSeededRandom(5) })!.activations.at(-1)!;
        return o.reduce((s, v, i) => s + 0.5 * (v - y[i]!) ** 2, 0);
      }
      const pass = forward(p, x, n, { rate, random: createSeededRandom(5) })!;
      const g = backward(
        p,
        pass,
        n,
        pass.activations.at(-1)!.map((v, i) => v - y[i]!),
      );
      let checked = 0;
      for (let l = 0; l < 4; l += 1) {
        for (let k = 0; k < p.weights[l]!.length; k += 3) {
          const w = p.weights[l]!;
          const at = w[k]!;
          const h = 1e-2;
          w[k] = at + h;
          const hi = loss();
          w[k] = at - h;
          const lo = loss();
          w[k] = at;
          const num = (hi - lo) / (2 * h);
          if (Math.abs(num) < 1e-3) continue;
          checked += 1;
          expect(Math.abs(g.weights[l]![k]! - num)).toBeLessThan(0.05 * Math.max(0.2, Math.abs(num)));
        }
      }
      expect(checked).toBeGreaterThan(20);
    }
  });
}
