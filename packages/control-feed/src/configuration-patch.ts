/**
 * Differences between two versions of the configuration, as bytes. Both are cut into chunks after each closing brace,
 * so that a chunk is about one entry of a list in JSON; chunks that the older version holds are copied from it, the
 * others are sent. Nothing here understands the content: any two byte strings can be told apart and rebuilt.
 */
import { digest, type MessageOf } from '@tansypost/inner-protocol';

/** One step: `literal` bytes, then `length` bytes of the older version from `offset` on. */
export type PatchStep = MessageOf<'ConfigurationPatch'>['steps'][number];

const closingBrace = 0x7d;
const longestChunk = 1024;
/** About what a step costs in its encoding beside its literal. */
const stepBytes = 8;
const digestLength = 16;

interface Chunk {
  readonly offset: number;
  readonly text: string;
}

/** A digest that tells a wrongly rebuilt version from the right one. */
export function digestOf(value: Uint8Array): string {
  return digest(value).slice(0, digestLength);
}

function chunksOf(value: Buffer): Chunk[] {
  const chunks: Chunk[] = [];
  let offset = 0;
  for (let i = 0; i < value.length; i += 1) {
    const ends = value[i] === closingBrace || i - offset + 1 >= longestChunk || i === value.length - 1;
    if (!ends) continue;
    chunks.push({ offset, text: value.toString('latin1', offset, i + 1) });
    offset = i + 1;
  }
  return chunks;
}

function offsetsByText(chunks: readonly Chunk[]): Map<string, number[]> {
  const offsets = new Map<string, number[]>();
  for (const { offset, text } of chunks) {
    const known = offsets.get(text);
    if (known === undefined) offsets.set(text, [offset]);
    else known.push(offset);
  }
  return offsets;
}

/** The steps that make `next` out of `base`. */
export function createPatch(base: Buffer, next: Buffer): PatchStep[] {
  const known = offsetsByText(chunksOf(base));
  const steps: PatchStep[] = [];
  let literalFrom = 0;
  let copyFrom = 0;
  let copied = 0;

  function endCopy(at: number): void {
    if (copied === 0) return;
    const literal = next.subarray(literalFrom, at - copied);
    steps.push({ literal, offset: copyFrom, length: copied });
    literalFrom = at;
    copied = 0;
  }

  for (const { offset, text } of chunksOf(next)) {
    const offsets = known.get(text);
    const follows = copied > 0 && offsets?.includes(copyFrom + copied) === true;
    if (!follows) endCopy(offset);
    if (offsets === undefined) continue;
    if (!follows) copyFrom = offsets[0]!;
    copied += text.length;
  }
  endCopy(next.length);
  if (literalFrom < next.length) steps.push({ literal: next.subarray(literalFrom), offset: 0, length: 0 });
  return steps;
}

/** How many bytes the steps take to send, roughly. */
export function patchBytes(steps: readonly PatchStep[]): number {
  return steps.reduce((sum, step) => sum + step.literal.length + stepBytes, 0);
}

/** What the steps make out of `base`, or undefined if that is not what the digest stands for. */
export function applyPatch(base: Buffer, steps: readonly PatchStep[], expectedDigest: string): Buffer | undefined {
  const parts: Buffer[] = [];
  for (const step of steps) {
    if (step.offset < 0 || step.length < 0 || step.offset + step.length > base.length) return undefined;
    parts.push(step.literal, base.subarray(step.offset, step.offset + step.length));
  }
  const next = Buffer.concat(parts);
  return digestOf(next) === expectedDigest ? next : undefined;
}
