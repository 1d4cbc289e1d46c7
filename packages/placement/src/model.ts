/**
 * A model as it travels and is scored with: the predictor, the statistics that its features are
 * z-scored by, the ranges it was trained on, and its version. The version is the training duty's
 * epoch and a count, so versions of different holders never meet; the hash of the content names the
 * bytes themselves, and a router refuses bytes that do not match.
 */
import * as E from 'fp-ts/lib/Either.js';
import { digest, TansypostError } from '@tansypost/inner-protocol';
import { forward, type Predictor } from './predictor.js';

export interface ModelVersion {
  readonly epoch: number;
  readonly n: number;
}
export interface Scaling {
  readonly mean: Float32Array;
  readonly deviation: Float32Array;
  readonly low: Float32Array;
  readonly high: Float32Array;
  readonly yMean: number;
  readonly ySd: number;
}
export interface Model {
  readonly version: ModelVersion;
  readonly sampleCount: number;
  readonly predictor: Predictor;
  readonly scaling: Scaling;
}

export function encodeModel(m: Model): Buffer {
  const head = {
    version: m.version,
    samples: m.sampleCount,
    sizes: m.predictor.sizes,
    yMean: m.scaling.yMean,
    ySd: m.scaling.ySd,
  };
  const h = Buffer.from(JSON.stringify(head));
  const n = Buffer.alloc(4);
  n.writeUInt32BE(h.length, 0);
  const arrays = [
    m.scaling.mean,
    m.scaling.deviation,
    m.scaling.low,
    m.scaling.high,
    ...m.predictor.weights,
    ...m.predictor.biases,
  ];
  return Buffer.concat([n, h, ...arrays.map((a) => Buffer.from(a.buffer, a.byteOffset, a.byteLength))]);
}

export function modelHash(b: Buffer): string {
  return digest(b).slice(0, 32);
}

export function decodeModel(b: Buffer, hash: string): E.Either<Error, Model> {
  if (modelHash(b) !== hash)
    return E.left(new TansypostError('The model does not match its hash; it is fetched again with the next news.'));
  return E.tryCatch(
    () => {
      const n = b.readUInt32BE(0);
      const head = JSON.parse(b.subarray(4, 4 + n).toString()) as {
        version: ModelVersion;
        samples: number;
        sizes: number[];
        yMean: number;
        ySd: number;
      };
      let at = 4 + n;
      function take(len: number): Float32Array {
        const a = new Float32Array(len);
        for (let i = 0; i < len; i += 1) a[i] = b.readFloatLE(at + 4 * i);
        at += 4 * len;
        return a;
      }
      const w = head.sizes[0]!;
      const [mean, deviation, low, high] = [take(w), take(w), take(w), take(w)];
      const weights = head.sizes.slice(1).map((m, i) => take(m * head.sizes[i]!));
      const biases = head.sizes.slice(1).map((m) => take(m));
      return {
        version: head.version,
        sampleCount: head.samples,
        predictor: { sizes: head.sizes, weights, biases },
        scaling: { mean, deviation, low, high, yMean: head.yMean, ySd: head.ySd },
      };
    },
    (e) => (e instanceof Error ? e : new TansypostError(String(e))),
  );
}

export function isInTrainingRange(s: Scaling, x: Float32Array): boolean {
  for (let i = 0; i < x.length; i += 1) {
    const room = 0.05 * (s.high[i]! - s.low[i]!);
    if (x[i]! < s.low[i]! - room || x[i]! > s.high[i]! + room) return false;
  }
  return true;
}

// The predicted TTFT in seconds of each row, all in one batch; undefined when time ran out.
export function predictTtft(m: Model, rows: readonly Float32Array[], expired?: () => boolean): number[] | undefined {
  const w = m.predictor.sizes[0]!;
  const x = new Float32Array(rows.length * w);
  rows.forEach((r, i) => {
    for (let j = 0; j < w; j += 1) x[i * w + j] = (r[j]! - m.scaling.mean[j]!) / m.scaling.deviation[j]!;
  });
  const p = forward(m.predictor, x, rows.length, undefined, expired);
  if (p === undefined) return undefined;
  return Array.from(p.activations.at(-1)!, (v) => -(v * m.scaling.ySd + m.scaling.yMean));
}
