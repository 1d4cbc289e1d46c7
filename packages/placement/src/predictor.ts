/**
 * The reward predictor that all workers share: three hidden layers of 128 units with ReLU and, in training, dropout of 0.1
 * after each; one scalar output. It uses plain typed arrays and takes one batch a call. The forward pass calls a check
 * before each layer, so that scoring can be bounded in time; there is no dropout in scoring.
 */
import { createSeededRandom } from '@tansypost/inner-protocol';

/** A multilayer perceptron. */
export interface Predictor {
  /** Units of each layer, from the inputs to the output. */
  readonly sizes: readonly number[];
  /** One matrix for each layer, row by row; a row holds the weights of one input. */
  readonly weights: Float32Array[];
  readonly biases: Float32Array[];
}

/** Creates a predictor with random weights (He initialization). */
export function createPredictor(inputs: number, seed: number, hidden: readonly number[] = [128, 128, 128]): Predictor {
  const random = createSeededRandom(seed);
  const sizes = [inputs, ...hidden, 1];
  const weights: Float32Array[] = [];
  const biases: Float32Array[] = [];
  for (let layer = 0; layer + 1 < sizes.length; layer += 1) {
    const inputSize = sizes[layer]!;
    const outputSize = sizes[layer + 1]!;
    const deviation = Math.sqrt(2 / inputSize);
    weights.push(
      Float32Array.from(
        { length: inputSize * outputSize },
        () => deviation * Math.sqrt(-2 * Math.log(random() + 1e-12)) * Math.cos(2 * Math.PI * random()),
      ),
    );
    biases.push(new Float32Array(outputSize));
  }
  return { sizes, weights, biases };
}

/** What a forward pass computed, as the backward pass needs it. */
export interface ForwardPass {
  /** The inputs, then the outputs of each layer, for the whole batch. */
  readonly activations: Float32Array[];
  /** Factors of dropout by layer; undefined where there was none. */
  readonly dropoutMasks: (Float32Array | undefined)[];
}

/**
 * Runs a batch through the predictor.
 * @param predictor the predictor
 * @param batch inputs, row by row
 * @param rowCount rows in the batch
 * @param dropout rate of dropout, and the random numbers for it
 * @param expired is called before each layer; the pass ends without a result when it returns true
 */
export function forward(
  predictor: Predictor,
  batch: Float32Array,
  rowCount: number,
  dropout?: { rate: number; random: () => number },
  expired?: () => boolean,
): ForwardPass | undefined {
  const activations: Float32Array[] = [batch];
  const dropoutMasks: (Float32Array | undefined)[] = [];
  for (let layer = 0; layer < predictor.weights.length; layer += 1) {
    if (expired?.() === true) return undefined;
    const inputSize = predictor.sizes[layer]!;
    const outputSize = predictor.sizes[layer + 1]!;
    const weights = predictor.weights[layer]!;
    const bias = predictor.biases[layer]!;
    const inputs = activations[layer]!;
    const outputs = new Float32Array(rowCount * outputSize);
    const isLastLayer = layer === predictor.weights.length - 1;
    for (let i = 0; i < rowCount; i += 1) {
      const outputAt = i * outputSize;
      outputs.set(bias, outputAt);
      for (let j = 0; j < inputSize; j += 1) {
        const input = inputs[i * inputSize + j]!;
        if (input === 0) continue;
        const weightAt = j * outputSize;
        for (let unit = 0; unit < outputSize; unit += 1) outputs[outputAt + unit]! += input * weights[weightAt + unit]!;
      }
    }
    let mask: Float32Array | undefined;
    if (!isLastLayer) {
      for (let i = 0; i < outputs.length; i += 1) if (outputs[i]! < 0) outputs[i] = 0;
      if (dropout !== undefined && dropout.rate > 0) {
        const keptFactor = 1 / (1 - dropout.rate);
        mask = Float32Array.from({ length: outputs.length }, () => (dropout.random() < dropout.rate ? 0 : keptFactor));
        for (let i = 0; i < outputs.length; i += 1) outputs[i]! *= mask[i]!;
      }
    }
    dropoutMasks.push(mask);
    activations.push(outputs);
  }
  return { activations, dropoutMasks };
}

/** Gradients of a loss by the parameters of a predictor. */
export interface Gradients {
  readonly weights: Float32Array[];
  readonly biases: Float32Array[];
}

/** Gradients of 0, to add to. */
export function createZeroGradients(predictor: Predictor): Gradients {
  return {
    weights: predictor.weights.map((weights) => new Float32Array(weights.length)),
    biases: predictor.biases.map((biases) => new Float32Array(biases.length)),
  };
}

/**
 * Backpropagation. `outputGradient` is the derivative of the loss by each output of the batch; the gradients of the
 * parameters are added to `gradients`.
 */
export function backward(
  predictor: Predictor,
  pass: ForwardPass,
  rowCount: number,
  outputGradient: Float32Array,
  gradients = createZeroGradients(predictor),
): Gradients {
  const { weights: weightGradients, biases: biasGradients } = gradients;
  let upstream = outputGradient;
  for (let layer = predictor.weights.length - 1; layer >= 0; layer -= 1) {
    const inputSize = predictor.sizes[layer]!;
    const outputSize = predictor.sizes[layer + 1]!;
    const inputs = pass.activations[layer]!;
    const weights = predictor.weights[layer]!;
    const inputGradient = new Float32Array(rowCount * inputSize);
    const mask = layer > 0 ? pass.dropoutMasks[layer - 1] : undefined;
    for (let i = 0; i < rowCount; i += 1) {
      for (let unit = 0; unit < outputSize; unit += 1) biasGradients[layer]![unit]! += upstream[i * outputSize + unit]!;
      for (let j = 0; j < inputSize; j += 1) {
        const input = inputs[i * inputSize + j]!;
        if (input === 0) continue;
        const weightAt = j * outputSize;
        let sum = 0;
        for (let unit = 0; unit < outputSize; unit += 1) {
          const gradient = upstream[i * outputSize + unit]!;
          weightGradients[layer]![weightAt + unit]! += input * gradient;
          sum += weights[weightAt + unit]! * gradient;
        }
        inputGradient[i * inputSize + j] = mask === undefined ? sum : sum * mask[i * inputSize + j]!;
      }
    }
    upstream = inputGradient;
  }
  return gradients;
}
