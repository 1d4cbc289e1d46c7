/**
 * Samples packed for a way between zones, which is priced by the byte: rows of features with the upper half of each number
 * (to within 0.4 %, as much as a net can learn from), column by column and the upper bytes first, deflated.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { featureCount, type Sample } from '@tansypost/placement';

const columns = featureCount + 1;
const bytesAtMost = 1_000_000;

export function packSamples(ss: readonly Sample[]): Buffer {
  const out = Buffer.alloc(2 * columns * ss.length);
  const half = out.length / 2;
  const [number, bits] = [new Float32Array(1), new Uint32Array(1)];
  const seen = new Uint32Array(number.buffer);
  ss.forEach((s, i) => {
    for (let j = 0; j < columns; j += 1) {
      number[0] = j < featureCount ? s.features[j]! : s.reward;
      bits[0] = seen[0]! + 0x8000;
      const at = j * ss.length + i;
      out[at] = bits[0] >>> 24;
      out[half + at] = (bits[0] >>> 16) & 0xff;
    }
  });
  return deflateRawSync(out, { level: 6 });
}

// What cannot be read is no sample.
export function unpackSamples(b: Buffer, count: number): Sample[] {
  const raw = inflated(b);
  if (raw === undefined || raw.length !== 2 * columns * count) return [];
  const half = raw.length / 2;
  const bits = new Uint32Array(1);
  const number = new Float32Array(bits.buffer);
  function value(i: number, j: number): number {
    const at = j * count + i;
    bits[0] = ((raw![at]! << 24) | (raw![half + at]! << 16)) >>> 0;
    return number[0]!;
  }
  return Array.from({ length: count }, (_, i) => ({
    features: Float32Array.from({ length: featureCount }, (__, j) => value(i, j)),
    reward: value(i, featureCount),
  })).filter((s) => s.features.every(Number.isFinite) && Number.isFinite(s.reward) && s.reward <= 0);
}

function inflated(b: Buffer): Buffer | undefined {
  try {
    return inflateRawSync(b, { maxOutputLength: bytesAtMost });
  } catch {
    return undefined;
  }
}
