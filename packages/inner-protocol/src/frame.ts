/**
 * Frames on a TCP stream: four bytes of length, then the body. A length over the limit is an error at once, before any
 * of the body is held.
 */
import * as E from 'fp-ts/lib/Either.js';
import { BadFrameError } from './errors.js';

/** The longest body, in bytes. */
export const maxFrameBytes = 48 * 1024 * 1024;

const headerSize = 4;

/** A body with its length before it. */
export function encodeFrame(body: Buffer): Buffer {
  const header = Buffer.allocUnsafe(headerSize);
  header.writeUInt32BE(body.length, 0);
  return Buffer.concat([header, body]);
}

/** Cuts one stream into frames. */
export interface FrameDecoder {
  /** The bodies that the chunk completes, or a `BadFrameError`. */
  readonly push: (chunk: Buffer) => E.Either<Error, Buffer[]>;
}

/** Makes the unframer of one stream. */
export function createFrameDecoder(limit = maxFrameBytes): FrameDecoder {
  let held: Buffer[] = [];
  let size = 0;
  function push(chunk: Buffer): E.Either<Error, Buffer[]> {
    held.push(chunk);
    size += chunk.length;
    const bodies: Buffer[] = [];
    while (size >= headerSize) {
      const bytes = held.length === 1 ? held[0]! : Buffer.concat(held);
      held = [bytes];
      const length = bytes.readUInt32BE(0);
      if (length > limit) return E.left(tooLong(length, limit));
      const end = headerSize + length;
      if (size < end) break;
      bodies.push(bytes.subarray(headerSize, end));
      held = bytes.length > end ? [bytes.subarray(end)] : [];
      size -= end;
    }
    return E.right(bodies);
  }
  return { push };
}

function tooLong(length: number, limit: number): Error {
  return new BadFrameError(
    `A frame of ${length} bytes is over the limit of ${limit}; the link is closed. Check that the other side is a tansypost process.`,
  );
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  it('gives whole frames whatever the chunks are, and refuses an oversized one from its length alone', () => {
    const stream = Buffer.concat([
      encodeFrame(Buffer.from('one')),
      encodeFrame(Buffer.alloc(0)),
      encodeFrame(Buffer.from('three')),
    ]);
    for (let size = 1; size <= stream.length; size += 1) {
      const unframer = createFrameDecoder();
      const got: string[] = [];
      for (let i = 0; i < stream.length; i += size) {
        const bodies = unframer.push(stream.subarray(i, i + size));
        if (E.isRight(bodies)) got.push(...bodies.right.map(String));
      }
      expect(got).toEqual(['one', '', 'three']);
    }
    expect(E.isLeft(createFrameDecoder(10).push(Buffer.from([0, 0, 0, 11])))).toBe(true);
  });
}
