/**
 * The training side: a FIFO of the newest samples and a replay pool of those that left it, kept by a
 * gradient-coreset rule (what the last inner layer says of a sample, weighted by how wrong the
 * prediction was, must differ from what is kept already). A round trains on both pools, starting from
 * the last model. It runs away from every request: in a worker thread, or in steps of a few milliseconds each.
 */
import { createSeededRandom } from '@tansypost/inner-protocol';
import { featureCount } from './features.js';
import type { Model, ModelVersion, Scaling } from './model.js';
import { backward, createPredictor, forward, createZeroGradients, type Predictor } from './predictor.js';
import type { Sample } from './samples.js';

export interface TrainingOptions {
  readonly fifoCapacity: number;
  readonly replayCapacity: number;
  readonly samplesPerTraining: number;
  readonly passes: number;
  readonly batchSize: number;
  readonly learningRate: number;
  readonly dropoutRate: number;
}
export const trainingDefaults: TrainingOptions = {
  fifoCapacity: 5000,
  replayCapacity: 5000,
  samplesPerTraining: 1000,
  passes: 4,
  batchSize: 64,
  learningRate: 1e-3,
  dropoutRate: 0.1,
};

export interface Trainer {
  readonly add: (ss: readonly Sample[]) => void;
  readonly isDue: () => boolean;
  readonly train: (v: ModelVersion, seed: number) => Model;
  // The same in steps, each of which takes no more than so many rows through the net.
  readonly trainInSteps: (v: ModelVersion, seed: number, rows: number) => Generator<undefined, Model>;
  readonly poolSizes: () => { fifo: number; replay: number };
}

interface Kept {
  readonly s: Sample;
  readonly g: Float32Array;
  near: number;
}
const sketch = 16;

export function createTrainer(o: TrainingOptions): Trainer {
  let fifo: Sample[] = [];
  const replay: Kept[] = [];
  let fresh = 0;
  let total = 0;
  let last: Model | undefined;
  const r = createSeededRandom(11);
  const project = Float32Array.from({ length: 128 * sketch }, () => r() - 0.5);

  function gradientOf(s: Sample): Float32Array {
    const g = new Float32Array(sketch);
    if (last === undefined) {
      for (let j = 0; j < sketch; j += 1) g[j] = s.features[j % featureCount]!;
      return g;
    }
    const p = forward(last.predictor, scale(last.scaling, s.features), 1)!;
    const h = p.activations.at(-2)!;
    const res = p.activations.at(-1)![0]! - (s.reward - last.scaling.yMean) / last.scaling.ySd;
    for (let i = 0; i < h.length; i += 1) {
      const v = h[i]! * res;
      if (v !== 0) for (let j = 0; j < sketch; j += 1) g[j]! += v * project[i * sketch + j]!;
    }
    return g;
  }

  function apart(a: Float32Array, b: Float32Array): number {
    let d = 0;
    for (let i = 0; i < sketch; i += 1) d += (a[i]! - b[i]!) ** 2;
    return d;
  }

  function admit(s: Sample): void {
    const g = gradientOf(s);
    let near = Infinity;
    for (const k of replay) near = Math.min(near, apart(g, k.g));
    if (replay.length < o.replayCapacity) {
      replay.push({ s, g, near });
      return;
    }
    let least = 0;
    for (let i = 1; i < replay.length; i += 1) if (replay[i]!.near < replay[least]!.near) least = i;
    if (near > replay[least]!.near) replay[least] = { s, g, near };
  }

  function add(ss: readonly Sample[]): void {
    fifo.push(...ss);
    fresh += ss.length;
    total += ss.length;
    const out = fifo.length - o.fifoCapacity;
    if (out > 0) {
      for (const s of fifo.slice(0, out)) admit(s);
      fifo = fifo.slice(out);
    }
  }

  function train(v: ModelVersion, seed: number): Model {
    const g = steps(v, seed, o.batchSize);
    for (;;) {
      const x = g.next();
      if (x.done === true) return x.value;
    }
  }

  function* steps(v: ModelVersion, seed: number, rows: number): Generator<undefined, Model> {
    fresh = 0;
    const all = [...fifo, ...replay.map((k) => k.s)];
    const scaling = computeScaling(all);
    const p = last === undefined ? createPredictor(featureCount, seed) : rescale(last, scaling);
    yield* fit(p, scaling, all, o, createSeededRandom(seed), rows);
    const m = { version: v, sampleCount: total, predictor: p, scaling };
    last = m;
    return m;
  }

  return {
    add,
    isDue: () => fresh >= o.samplesPerTraining,
    train,
    trainInSteps: steps,
    poolSizes: () => ({ fifo: fifo.length, replay: replay.length }),
  };
}

function scale(s: Scaling, x: Float32Array): Float32Array {
  return x.map((v, j) => (v - s.mean[j]!) / s.deviation[j]!);
}

export function computeScaling(ss: readonly Sample[]): Scaling {
  const mean = new Float32Array(featureCount);
  const sd = new Float32Array(featureCount);
  const low = new Float32Array(featureCount).fill(Infinity);
  const high = new Float32Array(featureCount).fill(-Infinity);
  for (let j = 0; j < featureCount; j += 1) {
    let m = 0;
    for (const s of ss) {
      m += s.features[j]!;
      low[j] = Math.min(low[j]!, s.features[j]!);
      high[j] = Math.max(high[j]!, s.features[j]!);
    }
    m /= ss.length;
    let q = 0;
    for (const s of ss) q += (s.features[j]! - m) ** 2;
    mean[j] = m;
    sd[j] = Math.sqrt(q / ss.length) || 1;
  }
  const yMean = ss.reduce((a, s) => a + s.reward, 0) / ss.length;
  const ySd = Math.sqrt(ss.reduce((a, s) => a + (s.reward - yMean) ** 2, 0) / ss.length) || 1;
  return { mean, deviation: sd, low, high, yMean, ySd };
}

// Carries the last weights over to new statistics, so that the model says the same as before it trains on.
function rescale(m: Model, s: Scaling): Predictor {
  const p = {
    sizes: m.predictor.sizes,
    weights: m.predictor.weights.map((w) => w.slice()),
    biases: m.predictor.biases.map((b) => b.slice()),
  };
  const b = p.sizes[1]!;
  for (let j = 0; j < featureCount; j += 1) {
    const f = s.deviation[j]! / m.scaling.deviation[j]!;
    const shift = (s.mean[j]! - m.scaling.mean[j]!) / m.scaling.deviation[j]!;
    for (let k = 0; k < b; k += 1) {
      p.biases[0]![k]! += p.weights[0]![j * b + k]! * shift;
      p.weights[0]![j * b + k]! *= f;
    }
  }
  const l = p.weights.length - 1;
  const f = m.scaling.ySd / s.ySd;
  p.weights[l] = p.weights[l]!.map((v) => v * f);
  p.biases[l]![0] = p.biases[l]![0]! * f + (m.scaling.yMean - s.yMean) / s.ySd;
  return p;
}

// Adam on a Huber loss: TTFT has a long tail, and squares would let a few waits rule the fit.
function* fit(
  p: Predictor,
  s: Scaling,
  all: readonly Sample[],
  o: TrainingOptions,
  random: () => number,
  rows: number,
): Generator<undefined, void> {
  const xs = all.map((a) => scale(s, a.features));
  const ys = all.map((a) => (a.reward - s.yMean) / s.ySd);
  const params = [...p.weights, ...p.biases];
  const m1 = params.map((a) => new Float32Array(a.length));
  const m2 = params.map((a) => new Float32Array(a.length));
  const sum = createZeroGradients(p);
  const gs = [...sum.weights, ...sum.biases];
  const order = [...all.keys()];
  let t = 0;
  for (let e = 0; e < o.passes; e += 1) {
    for (let i = order.length - 1; i > 0; i -= 1) {
      const j = Math.floor(random() * (i + 1));
      [order[i], order[j]] = [order[j]!, order[i]!];
    }
    for (let at = 0; at < order.length; at += o.batchSize) {
      const whole = order.slice(at, at + o.batchSize);
      for (const g of gs) g.fill(0);
      for (let from = 0; from < whole.length; from += rows) {
        const ids = whole.slice(from, from + rows);
        const n = ids.length;
        const x = new Float32Array(n * featureCount);
        ids.forEach((id, i) => x.set(xs[id]!, i * featureCount));
        const pass = forward(p, x, n, { rate: o.dropoutRate, random })!;
        const up = Float32Array.from(
          pass.activations.at(-1)!,
          (v, i) => Math.max(-1, Math.min(1, v - ys[ids[i]!]!)) / whole.length,
        );
        backward(p, pass, n, up, sum);
        yield undefined;
      }
      t += 1;
      const c1 = 1 - 0.9 ** t;
      const c2 = 1 - 0.999 ** t;
      params.forEach((a, k) => {
        const [b1, b2, d] = [m1[k]!, m2[k]!, gs[k]!];
        for (let i = 0; i < a.length; i += 1) {
          b1[i] = 0.9 * b1[i]! + 0.1 * d[i]!;
          b2[i] = 0.999 * b2[i]! + 0.001 * d[i]! * d[i]!;
          a[i]! -= (o.learningRate * (b1[i]! / c1)) / (Math.sqrt(b2[i]! / c2) + 1e-8);
        }
      });
    }
  }
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  const { decodeModel, encodeModel, modelHash, predictTtft } = await import('./model.js');
  function sample(r: () => number): Sample {
    const x = new Float32Array(featureCount);
    x[0] = 100 + 3000 * r();
    x[1] = r();
    x[2] = x[0] * (1 - x[1]);
    x[4] = Math.floor(10 * r());
    const fast = r() < 0.5;
    x[fast ? 11 : 9] = 1;
    return { features: x, reward: -((x[2] / (fast ? 8000 : 3000)) * (1 + 0.3 * x[4])) };
  }
  it('learns a TTFT that no straight line fits, and the model survives its encoding', () => {
    const r = createSeededRandom(21);
    const t = createTrainer({ ...trainingDefaults, fifoCapacity: 1000, replayCapacity: 500, passes: 6 });
    t.add(Array.from({ length: 1500 }, () => sample(r)));
    expect(t.isDue()).toBe(true);
    t.train({ epoch: 64, n: 1 }, 5);
    t.add(Array.from({ length: 600 }, () => sample(r)));
    const m = t.train({ epoch: 64, n: 2 }, 6);
    expect(t.poolSizes()).toEqual({ fifo: 1000, replay: 500 });
    const test = Array.from({ length: 300 }, () => sample(r));
    const b = encodeModel(m);
    const d = decodeModel(b, modelHash(b));
    if (d._tag === 'Left') throw d.left;
    const ys = predictTtft(
      d.right,
      test.map((s) => s.features),
    )!;
    const err = test.reduce((a, s, i) => a + Math.abs(-s.reward - ys[i]!), 0) / test.length;
    const mean = test.reduce((a, s) => a - s.reward, 0) / test.length;
    const flat = test.reduce((a, s) => a + Math.abs(-s.reward - mean), 0) / test.length;
    expect(err).toBeLessThan(0.3 * flat);
    b[b.length - 1]! ^= 1;
    expect(decodeModel(b, modelHash(encodeModel(m)))._tag).toBe('Left');
  });
}
