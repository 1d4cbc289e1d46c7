/**
 * Training: a FIFO of the newest samples, and a replay pool of samples that have left it. The pool is selected by a
 * gradient coreset rule: a sample is represented by the last hidden layer's activations, weighted by the prediction error,
 * and is kept if that differs from the samples kept already. A round trains on both, starting from the last
 * model. It runs off the request path: in a worker thread, or in steps of a few milliseconds.
 */
import { createSeededRandom } from '@tansypost/inner-protocol';
import { featureCount } from './features.js';
import type { Model, ModelVersion, Scaling } from './model.js';
import { backward, createPredictor, forward, createZeroGradients, type Predictor } from './predictor.js';
import type { Sample } from './samples.js';

/** Parameters of training. */
export interface TrainingOptions {
  /** Samples in the FIFO. */
  readonly fifoCapacity: number;
  /** Samples in the replay pool. */
  readonly replayCapacity: number;
  /** New samples after which a round is due. */
  readonly samplesPerTraining: number;
  /** How often a round goes through all samples. */
  readonly passes: number;
  readonly batchSize: number;
  readonly learningRate: number;
  readonly dropoutRate: number;
}
/** Default parameters of training. */
export const trainingDefaults: TrainingOptions = {
  fifoCapacity: 5000,
  replayCapacity: 5000,
  samplesPerTraining: 1000,
  passes: 4,
  batchSize: 64,
  learningRate: 1e-3,
  dropoutRate: 0.1,
};

/** Collects samples and trains models on them. */
export interface Trainer {
  readonly add: (samples: readonly Sample[]) => void;
  /** Whether enough samples have come since the last round. */
  readonly isDue: () => boolean;
  readonly train: (version: ModelVersion, seed: number) => Model;
  /** The same in steps, each of which puts at most `rowsPerStep` rows through the predictor. */
  readonly trainInSteps: (version: ModelVersion, seed: number, rowsPerStep: number) => Generator<undefined, Model>;
  readonly poolSizes: () => { fifo: number; replay: number };
}

interface ReplayEntry {
  readonly sample: Sample;
  readonly sketch: Float32Array;
  /** Squared distance to the nearest entry when this one was added. */
  distance: number;
}
/** Dimensions that the representation of a sample is projected to. */
const sketchSize = 16;

/** Creates a trainer without samples. */
export function createTrainer(options: TrainingOptions): Trainer {
  let fifo: Sample[] = [];
  const replay: ReplayEntry[] = [];
  let newSamples = 0;
  let totalSamples = 0;
  let lastModel: Model | undefined;
  const random = createSeededRandom(11);
  const projection = Float32Array.from({ length: 128 * sketchSize }, () => random() - 0.5);

  /** A random projection of the sample's gradient; of its features where there is no model yet. */
  function sketchOf(sample: Sample): Float32Array {
    const sketch = new Float32Array(sketchSize);
    if (lastModel === undefined) {
      for (let j = 0; j < sketchSize; j += 1) sketch[j] = sample.features[j % featureCount]!;
      return sketch;
    }
    const pass = forward(lastModel.predictor, normalize(lastModel.scaling, sample.features), 1)!;
    const hidden = pass.activations.at(-2)!;
    const error = pass.activations.at(-1)![0]! - (sample.reward - lastModel.scaling.yMean) / lastModel.scaling.ySd;
    for (let i = 0; i < hidden.length; i += 1) {
      const gradient = hidden[i]! * error;
      if (gradient !== 0)
        for (let j = 0; j < sketchSize; j += 1) sketch[j]! += gradient * projection[i * sketchSize + j]!;
    }
    return sketch;
  }

  function squaredDistance(first: Float32Array, second: Float32Array): number {
    let sum = 0;
    for (let i = 0; i < sketchSize; i += 1) sum += (first[i]! - second[i]!) ** 2;
    return sum;
  }

  /** Adds a sample to the replay pool; to a full one in place of the least distinct entry, if it is more distinct. */
  function addToReplay(sample: Sample): void {
    const sketch = sketchOf(sample);
    let distance = Infinity;
    for (const entry of replay) distance = Math.min(distance, squaredDistance(sketch, entry.sketch));
    if (replay.length < options.replayCapacity) {
      replay.push({ sample, sketch, distance });
      return;
    }
    let leastDistinct = 0;
    for (let i = 1; i < replay.length; i += 1)
      if (replay[i]!.distance < replay[leastDistinct]!.distance) leastDistinct = i;
    if (distance > replay[leastDistinct]!.distance) replay[leastDistinct] = { sample, sketch, distance };
  }

  function add(samples: readonly Sample[]): void {
    fifo.push(...samples);
    newSamples += samples.length;
    totalSamples += samples.length;
    const excess = fifo.length - options.fifoCapacity;
    if (excess > 0) {
      for (const sample of fifo.slice(0, excess)) addToReplay(sample);
      fifo = fifo.slice(excess);
    }
  }

  function train(version: ModelVersion, seed: number): Model {
    const steps = trainInSteps(version, seed, options.batchSize);
    for (;;) {
      const step = steps.next();
      if (step.done === true) return step.value;
    }
  }

  function* trainInSteps(version: ModelVersion, seed: number, rowsPerStep: number): Generator<undefined, Model> {
    newSamples = 0;
    const samples = [...fifo, ...replay.map((entry) => entry.sample)];
    const scaling = computeScaling(samples);
    const predictor = lastModel === undefined ? createPredictor(featureCount, seed) : rescale(lastModel, scaling);
    yield* fit(predictor, scaling, samples, options, createSeededRandom(seed), rowsPerStep);
    const model = { version, sampleCount: totalSamples, predictor, scaling };
    lastModel = model;
    return model;
  }

  return {
    add,
    isDue: () => newSamples >= options.samplesPerTraining,
    train,
    trainInSteps,
    poolSizes: () => ({ fifo: fifo.length, replay: replay.length }),
  };
}

function normalize(scaling: Scaling, features: Float32Array): Float32Array {
  return features.map((value, j) => (value - scaling.mean[j]!) / scaling.deviation[j]!);
}

/** Computes the statistics that features and rewards are normalized by; a deviation of 0 is replaced by 1. */
export function computeScaling(samples: readonly Sample[]): Scaling {
  const mean = new Float32Array(featureCount);
  const deviation = new Float32Array(featureCount);
  const low = new Float32Array(featureCount).fill(Infinity);
  const high = new Float32Array(featureCount).fill(-Infinity);
  for (let j = 0; j < featureCount; j += 1) {
    let featureMean = 0;
    for (const sample of samples) {
      featureMean += sample.features[j]!;
      low[j] = Math.min(low[j]!, sample.features[j]!);
      high[j] = Math.max(high[j]!, sample.features[j]!);
    }
    featureMean /= samples.length;
    let squares = 0;
    for (const sample of samples) squares += (sample.features[j]! - featureMean) ** 2;
    mean[j] = featureMean;
    deviation[j] = Math.sqrt(squares / samples.length) || 1;
  }
  const yMean = samples.reduce((sum, sample) => sum + sample.reward, 0) / samples.length;
  const ySd = Math.sqrt(samples.reduce((sum, sample) => sum + (sample.reward - yMean) ** 2, 0) / samples.length) || 1;
  return { mean, deviation, low, high, yMean, ySd };
}

/** Adapts the weights of a model to new statistics, so that its predictions stay the same before training goes on. */
function rescale(model: Model, scaling: Scaling): Predictor {
  const predictor = {
    sizes: model.predictor.sizes,
    weights: model.predictor.weights.map((weights) => weights.slice()),
    biases: model.predictor.biases.map((biases) => biases.slice()),
  };
  const units = predictor.sizes[1]!;
  for (let j = 0; j < featureCount; j += 1) {
    const factor = scaling.deviation[j]! / model.scaling.deviation[j]!;
    const shift = (scaling.mean[j]! - model.scaling.mean[j]!) / model.scaling.deviation[j]!;
    for (let unit = 0; unit < units; unit += 1) {
      predictor.biases[0]![unit]! += predictor.weights[0]![j * units + unit]! * shift;
      predictor.weights[0]![j * units + unit]! *= factor;
    }
  }
  const lastLayer = predictor.weights.length - 1;
  const outputFactor = model.scaling.ySd / scaling.ySd;
  predictor.weights[lastLayer] = predictor.weights[lastLayer]!.map((weight) => weight * outputFactor);
  predictor.biases[lastLayer]![0] =
    predictor.biases[lastLayer]![0]! * outputFactor + (model.scaling.yMean - scaling.yMean) / scaling.ySd;
  return predictor;
}

/**
 * Fits the predictor in place with Adam on a Huber loss. TTFT has a long tail: with squared errors a few long waits
 * would dominate the fit.
 */
function* fit(
  predictor: Predictor,
  scaling: Scaling,
  samples: readonly Sample[],
  options: TrainingOptions,
  random: () => number,
  rowsPerStep: number,
): Generator<undefined, void> {
  const inputs = samples.map((sample) => normalize(scaling, sample.features));
  const targets = samples.map((sample) => (sample.reward - scaling.yMean) / scaling.ySd);
  const parameters = [...predictor.weights, ...predictor.biases];
  const firstMoments = parameters.map((array) => new Float32Array(array.length));
  const secondMoments = parameters.map((array) => new Float32Array(array.length));
  const gradientSum = createZeroGradients(predictor);
  const gradients = [...gradientSum.weights, ...gradientSum.biases];
  const order = [...samples.keys()];
  let updates = 0;
  for (let pass = 0; pass < options.passes; pass += 1) {
    for (let i = order.length - 1; i > 0; i -= 1) {
      const j = Math.floor(random() * (i + 1));
      [order[i], order[j]] = [order[j]!, order[i]!];
    }
    for (let at = 0; at < order.length; at += options.batchSize) {
      const batch = order.slice(at, at + options.batchSize);
      for (const gradient of gradients) gradient.fill(0);
      for (let from = 0; from < batch.length; from += rowsPerStep) {
        const indices = batch.slice(from, from + rowsPerStep);
        const rowCount = indices.length;
        const rows = new Float32Array(rowCount * featureCount);
        indices.forEach((index, i) => rows.set(inputs[index]!, i * featureCount));
        const forwardPass = forward(predictor, rows, rowCount, { rate: options.dropoutRate, random })!;
        const outputGradient = Float32Array.from(
          forwardPass.activations.at(-1)!,
          (output, i) => Math.max(-1, Math.min(1, output - targets[indices[i]!]!)) / batch.length,
        );
        backward(predictor, forwardPass, rowCount, outputGradient, gradientSum);
        yield undefined;
      }
      updates += 1;
      const firstCorrection = 1 - 0.9 ** updates;
      const secondCorrection = 1 - 0.999 ** updates;
      parameters.forEach((array, index) => {
        const [first, second, gradient] = [firstMoments[index]!, secondMoments[index]!, gradients[index]!];
        for (let i = 0; i < array.length; i += 1) {
          first[i] = 0.9 * first[i]! + 0.1 * gradient[i]!;
          second[i] = 0.999 * second[i]! + 0.001 * gradient[i]! * gradient[i]!;
          array[i]! -=
            (options.learningRate * (first[i]! / firstCorrection)) / (Math.sqrt(second[i]! / secondCorrection) + 1e-8);
        }
      });
    }
  }
}
