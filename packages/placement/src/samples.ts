/**
 * Training samples as routers send them to the leader of the training role: rows of features, each with its reward, in
 * batches of a hundred. Losing a batch only delays a training round.
 */

/** Samples in a full batch. */
export const sampleBatchSize = 100;

/** One placement decision and its result. */
export interface Sample {
  readonly features: Float32Array;
  /** Negative TTFT in seconds. */
  readonly reward: number;
}

/** Encodes samples of `width` features as rows of little-endian 32-bit floats, the reward last. */
export function encodeSamples(samples: readonly Sample[], width: number): Buffer {
  const buffer = Buffer.alloc(samples.length * (width + 1) * 4);
  samples.forEach((sample, i) => {
    for (let j = 0; j < width; j += 1) buffer.writeFloatLE(sample.features[j]!, 4 * (i * (width + 1) + j));
    buffer.writeFloatLE(sample.reward, 4 * (i * (width + 1) + width));
  });
  return buffer;
}

/** Decodes samples; a buffer of another length holds none, and rows with impossible numbers are left out. */
export function decodeSamples(buffer: Buffer, count: number, width: number): Sample[] {
  if (buffer.length !== count * (width + 1) * 4) return [];
  const samples: Sample[] = [];
  for (let i = 0; i < count; i += 1) {
    const features = Float32Array.from({ length: width }, (_, j) => buffer.readFloatLE(4 * (i * (width + 1) + j)));
    const reward = buffer.readFloatLE(4 * (i * (width + 1) + width));
    if (features.every(Number.isFinite) && Number.isFinite(reward) && reward <= 0) samples.push({ features, reward });
  }
  return samples;
}
