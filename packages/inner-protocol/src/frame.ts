/**
 * Frames on a TCP stream: four bytes of length, then the body. A length over the limit is rejected as soon as it is
 * read, before any of the body is buffered.
 */
import * as E from 'fp-ts/lib/Either.js';
import { BadFrameError } from './errors.js';

/** Maximum length of a body. */
export const maxFrameBytes = 48 * 1024 * 1024;

const headerBytes = 4;

/** Prefixes a body with its length. */
export function encodeFrame(body: Buffer): Buffer {
  const header = Buffer.allocUnsafe(headerBytes);
  header.writeUInt32BE(body.length, 0);
  return Buffer.concat([header, body]);
}

/** Splits one stream into frames. */
export interface FrameDecoder {
  /** Returns the bodies that the chunk completes, or a `BadFrameError`. */
  readonly push: (chunk: Buffer) => E.Either<Error, Buffer[]>;
}

/** Creates the decoder of one stream. */
export function createFrameDecoder(maxBytes = maxFrameBytes): FrameDecoder {
  let buffered: Buffer[] = [];
  let size = 0;
  function push(chunk: Buffer): E.Either<Error, Buffer[]> {
    buffered.push(chunk);
    size += chunk.length;
    const bodies: Buffer[] = [];
    while (size >= headerBytes) {
      const bytes = buffered.length === 1 ? buffered[0]! : Buffer.concat(buffered);
      buffered = [bytes];
      const length = bytes.readUInt32BE(0);
      if (length > maxBytes) return E.left(tooLongError(length, maxBytes));
      const end = headerBytes + length;
      if (size < end) break;
      bodies.push(bytes.subarray(headerBytes, end));
      buffered = bytes.length > end ? [bytes.subarray(end)] : [];
      size -= end;
    }
    return E.right(bodies);
  }
  return { push };
}

function tooLongError(length: number, maxBytes: number): Error {
  return new BadFrameError(
    `Frame of ${length} bytes exceeds the limit of ${maxBytes}; closing the link. Check that the peer is a tansypost process.`,
  );
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  it('reassembles frames from chunks of any size, and rejects an oversized frame by its length alone', () => {
    const stream = Buffer.concat([
      encodeFrame(Buffer.from('one')),
      encodeFrame(Buffer.alloc(0)),
      encodeFrame(Buffer.from('three')),
    ]);
    for (let size = 1; size <= stream.length; size += 1) {
      const decoder = createFrameDecoder();
      const decoded: string[] = [];
      for (let i = 0; i < stream.length; i += size) {
        const bodies = decoder.push(stream.subarray(i, i + size));
        if (E.isRight(bodies)) decoded.push(...bodies.right.map(String));
      }
      expect(decoded).toEqual(['one', '', 'three']);
    }
    expect(E.isLeft(createFrameDecoder(10).push(Buffer.from([0, 0, 0, 11])))).toBe(true);
  });
}
