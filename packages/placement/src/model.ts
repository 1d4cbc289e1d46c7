/**
 * A model as it is distributed and used: the predictor, the statistics that normalize its features (z-scores), the ranges
 * it was trained on, and its version. The version is the epoch of the training role and a counter, so models of different
 * leaders never share a version. The hash of the content identifies the bytes; a router refuses bytes that do not match it.
 */
import * as E from 'fp-ts/lib/Either.js';
import { digest, TansypostError } from '@tansypost/inner-protocol';
import { forward, type Predictor } from './predictor.js';

/** Version of a model; it is stored and sent under these names. */
export interface ModelVersion {
  readonly epoch: number;
  readonly n: number;
}
/** Statistics of the training samples: for each feature mean, standard deviation and range; `y` is the reward. */
export interface Scaling {
  readonly mean: Float32Array;
  readonly deviation: Float32Array;
  readonly low: Float32Array;
  readonly high: Float32Array;
  readonly yMean: number;
  readonly ySd: number;
}
/** A trained model. */
export interface Model {
  readonly version: ModelVersion;
  /** Samples that training has received up to this model. */
  readonly sampleCount: number;
  readonly predictor: Predictor;
  readonly scaling: Scaling;
}

/** Encodes a model: length of the header, header as JSON, then all arrays as little-endian 32-bit floats. */
export function encodeModel(model: Model): Buffer {
  const head = {
    version: model.version,
    samples: model.sampleCount,
    sizes: model.predictor.sizes,
    yMean: model.scaling.yMean,
    ySd: model.scaling.ySd,
  };
  const header = Buffer.from(JSON.stringify(head));
  const headerLength = Buffer.alloc(4);
  headerLength.writeUInt32BE(header.length, 0);
  const arrays = [
    model.scaling.mean,
    model.scaling.deviation,
    model.scaling.low,
    model.scaling.high,
    ...model.predictor.weights,
    ...model.predictor.biases,
  ];
  return Buffer.concat([
    headerLength,
    header,
    ...arrays.map((array) => Buffer.from(array.buffer, array.byteOffset, array.byteLength)),
  ]);
}

/** The hash that identifies an encoded model. */
export function modelHash(encoded: Buffer): string {
  return digest(encoded).slice(0, 32);
}

/** Decodes a model; an error where its bytes do not match the hash or are malformed. */
export function decodeModel(encoded: Buffer, hash: string): E.Either<Error, Model> {
  if (modelHash(encoded) !== hash)
    return E.left(new TansypostError('The model does not match its hash; it is fetched again with the next update.'));
  return E.tryCatch(
    () => {
      const headerLength = encoded.readUInt32BE(0);
      const head = JSON.parse(encoded.subarray(4, 4 + headerLength).toString()) as {
        version: ModelVersion;
        samples: number;
        sizes: number[];
        yMean: number;
        ySd: number;
      };
      let at = 4 + headerLength;
      function readArray(length: number): Float32Array {
        const array = new Float32Array(length);
        for (let i = 0; i < length; i += 1) array[i] = encoded.readFloatLE(at + 4 * i);
        at += 4 * length;
        return array;
      }
      const inputs = head.sizes[0]!;
      const [mean, deviation, low, high] = [readArray(inputs), readArray(inputs), readArray(inputs), readArray(inputs)];
      const weights = head.sizes.slice(1).map((size, i) => readArray(size * head.sizes[i]!));
      const biases = head.sizes.slice(1).map((size) => readArray(size));
      return {
        version: head.version,
        sampleCount: head.samples,
        predictor: { sizes: head.sizes, weights, biases },
        scaling: { mean, deviation, low, high, yMean: head.yMean, ySd: head.ySd },
      };
    },
    (error) => (error instanceof Error ? error : new TansypostError(String(error))),
  );
}

/** Whether all features are in the range of the training samples, widened by 5 % to each side. */
export function isInTrainingRange(scaling: Scaling, row: Float32Array): boolean {
  for (let i = 0; i < row.length; i += 1) {
    const margin = 0.05 * (scaling.high[i]! - scaling.low[i]!);
    if (row[i]! < scaling.low[i]! - margin || row[i]! > scaling.high[i]! + margin) return false;
  }
  return true;
}

/** The predicted TTFT in seconds of each row, all in one batch; undefined when `expired` ended the call. */
export function predictTtft(
  model: Model,
  rows: readonly Float32Array[],
  expired?: () => boolean,
): number[] | undefined {
  const inputs = model.predictor.sizes[0]!;
  const batch = new Float32Array(rows.length * inputs);
  rows.forEach((row, i) => {
    for (let j = 0; j < inputs; j += 1)
      batch[i * inputs + j] = (row[j]! - model.scaling.mean[j]!) / model.scaling.deviation[j]!;
  });
  const pass = forward(model.predictor, batch, rows.length, undefined, expired);
  if (pass === undefined) return undefined;
  return Array.from(pass.activations.at(-1)!, (output) => -(output * model.scaling.ySd + model.scaling.yMean));
}
