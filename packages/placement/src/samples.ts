/**
 * Samples on their way from the routers to the holder of the training duty: rows of features with the
 * reward behind them, flushed in batches of a hundred. Losing a batch only delays a training round.
 */

export const sampleBatchSize = 100;

export interface Sample {
  readonly features: Float32Array;
  readonly reward: number;
}

export function encodeSamples(ss: readonly Sample[], w: number): Buffer {
  const b = Buffer.alloc(ss.length * (w + 1) * 4);
  ss.forEach((s, i) => {
    for (let j = 0; j < w; j += 1) b.writeFloatLE(s.features[j]!, 4 * (i * (w + 1) + j));
    b.writeFloatLE(s.reward, 4 * (i * (w + 1) + w));
  });
  return b;
}

export function decodeSamples(b: Buffer, count: number, w: number): Sample[] {
  if (b.length !== count * (w + 1) * 4) return [];
  const out: Sample[] = [];
  for (let i = 0; i < count; i += 1) {
    const x = Float32Array.from({ length: w }, (_, j) => b.readFloatLE(4 * (i * (w + 1) + j)));
    const y = b.readFloatLE(4 * (i * (w + 1) + w));
    if (x.every(Number.isFinite) && Number.isFinite(y) && y <= 0) out.push({ features: x, reward: y });
  }
  return out;
}
