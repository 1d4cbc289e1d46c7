/**
 * Compresses samples for links between zones, where traffic is priced by the byte. Of each number only the upper half is
 * sent (accurate to 0.4 %, which is enough to train on), column by column with the high bytes first, deflated.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { featureCount, type Sample } from '@tansypost/placement';

const columns = featureCount + 1;
const maxInflatedBytes = 1_000_000;

/** Compresses samples. */
export function packSamples(samples: readonly Sample[]): Buffer {
  const packed = Buffer.alloc(2 * columns * samples.length);
  const half = packed.length / 2;
  const [number, rounded] = [new Float32Array(1), new Uint32Array(1)];
  const bits = new Uint32Array(number.buffer);
  samples.forEach((sample, i) => {
    for (let j = 0; j < columns; j += 1) {
      number[0] = j < featureCount ? sample.features[j]! : sample.reward;
      rounded[0] = bits[0]! + 0x8000;
      const at = j * samples.length + i;
      packed[at] = rounded[0] >>> 24;
      packed[half + at] = (rounded[0] >>> 16) & 0xff;
    }
  });
  return deflateRawSync(packed, { level: 6 });
}

/** Decompresses samples; malformed input holds none, and rows with impossible numbers are left out. */
export function unpackSamples(packed: Buffer, count: number): Sample[] {
  const raw = inflate(packed);
  if (raw === undefined || raw.length !== 2 * columns * count) return [];
  const half = raw.length / 2;
  const bits = new Uint32Array(1);
  const number = new Float32Array(bits.buffer);
  function valueAt(i: number, j: number): number {
    const at = j * count + i;
    bits[0] = ((raw![at]! << 24) | (raw![half + at]! << 16)) >>> 0;
    return number[0]!;
  }
  return Array.from({ length: count }, (_, i) => ({
    features: Float32Array.from({ length: featureCount }, (__, j) => valueAt(i, j)),
    reward: valueAt(i, featureCount),
  })).filter(
    (sample) => sample.features.every(Number.isFinite) && Number.isFinite(sample.reward) && sample.reward <= 0,
  );
}

function inflate(packed: Buffer): Buffer | undefined {
  try {
    return inflateRawSync(packed, { maxOutputLength: maxInflatedBytes });
  } catch {
    return undefined;
  }
}
