// Samples packed for a way between zones, which is priced by the byte: rows of features column by column, deflated, as
// most of them are zeros and whole numbers.
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { decodeSamples, encodeSamples, width, type Sample } from '@tansypost/placement';

export const sampleBatchWidth = width;
const bytesAtMost = 1_000_000;

function turned(b: Buffer, rows: number, columns: number): Buffer {
  const out = Buffer.alloc(b.length);
  for (let i = 0; i < rows; i += 1)
    for (let j = 0; j < columns; j += 1)
      b.copy(out, 4 * (j * rows + i), 4 * (i * columns + j), 4 * (i * columns + j) + 4);
  return out;
}

export function packSamples(ss: readonly Sample[]): Buffer {
  return deflateRawSync(turned(encodeSamples(ss, width), ss.length, width + 1), { level: 6 });
}

// What cannot be read is no sample.
export function unpackSamples(b: Buffer, count: number): Sample[] {
  try {
    const rows = inflateRawSync(b, { maxOutputLength: bytesAtMost });
    return rows.length === 4 * count * (width + 1) ? decodeSamples(turned(rows, width + 1, count), count, width) : [];
  } catch {
    return [];
  }
}
