/**
 * Binary patches between two versions of the configuration. Both versions are split into chunks after each closing
 * brace, so that a chunk is about one entry of a list in JSON. Chunks that the older version contains are copied from
 * it, the others are sent as literals. The content isn't interpreted: this works for any two byte strings.
 */
import { digest, type MessageOf } from '@tansypost/inner-protocol';

/** One step: the `literal` bytes, then `length` bytes of the older version from `offset` on. */
export type PatchStep = MessageOf<'ConfigurationPatch'>['steps'][number];

const closingBrace = 0x7d;
const maxChunkBytes = 1024;
/** Approximate size of an encoded step without its literal. */
const stepOverheadBytes = 8;
const digestLength = 16;

interface Chunk {
  readonly offset: number;
  readonly text: string;
}

/** The digest by which a patched version is verified. */
export function digestOf(value: Uint8Array): string {
  return digest(value).slice(0, digestLength);
}

function splitChunks(value: Buffer): Chunk[] {
  const chunks: Chunk[] = [];
  let offset = 0;
  for (let i = 0; i < value.length; i += 1) {
    const isChunkEnd = value[i] === closingBrace || i - offset + 1 >= maxChunkBytes || i === value.length - 1;
    if (!isChunkEnd) continue;
    chunks.push({ offset, text: value.toString('latin1', offset, i + 1) });
    offset = i + 1;
  }
  return chunks;
}

function offsetsByText(chunks: readonly Chunk[]): Map<string, number[]> {
  const offsets = new Map<string, number[]>();
  for (const { offset, text } of chunks) {
    const earlier = offsets.get(text);
    if (earlier === undefined) offsets.set(text, [offset]);
    else earlier.push(offset);
  }
  return offsets;
}

/** Computes the steps that turn `base` into `next`. */
export function createPatch(base: Buffer, next: Buffer): PatchStep[] {
  const baseOffsets = offsetsByText(splitChunks(base));
  const steps: PatchStep[] = [];
  let literalStart = 0;
  let copyStart = 0;
  let copyLength = 0;

  function endCopy(at: number): void {
    if (copyLength === 0) return;
    const literal = next.subarray(literalStart, at - copyLength);
    steps.push({ literal, offset: copyStart, length: copyLength });
    literalStart = at;
    copyLength = 0;
  }

  for (const { offset, text } of splitChunks(next)) {
    const offsets = baseOffsets.get(text);
    const continuesCopy = copyLength > 0 && offsets?.includes(copyStart + copyLength) === true;
    if (!continuesCopy) endCopy(offset);
    if (offsets === undefined) continue;
    if (!continuesCopy) copyStart = offsets[0]!;
    copyLength += text.length;
  }
  endCopy(next.length);
  if (literalStart < next.length) steps.push({ literal: next.subarray(literalStart), offset: 0, length: 0 });
  return steps;
}

/** Approximate size of the encoded steps. */
export function patchBytes(steps: readonly PatchStep[]): number {
  return steps.reduce((sum, step) => sum + step.literal.length + stepOverheadBytes, 0);
}

/** Applies the steps to `base`; undefined if they don't fit it or the result doesn't have the digest. */
export function applyPatch(base: Buffer, steps: readonly PatchStep[], expectedDigest: string): Buffer | undefined {
  const parts: Buffer[] = [];
  for (const step of steps) {
    if (step.offset < 0 || step.length < 0 || step.offset + step.length > base.length) return undefined;
    parts.push(step.literal, base.subarray(step.offset, step.offset + step.length));
  }
  const next = Buffer.concat(parts);
  return digestOf(next) === expectedDigest ? next : undefined;
}
