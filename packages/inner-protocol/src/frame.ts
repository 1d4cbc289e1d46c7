/**
 * Frames on a TCP stream: four bytes of length, then the body. A length over the limit is rejected as soon as it is
 * read, before any of the body is buffered.
 */
import * as E from 'fp-ts/lib/Either.js';
import { createByteAccumulator } from '@tansypost/peer-limits';
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
  /** Bytes of memory that are held for a frame that is not complete. */
  readonly heldBytes: () => number;
  /** Drops what is held; no chunk may follow. */
  readonly discard: () => void;
}

/** Creates the decoder of one stream; the first frame may have a limit of its own. */
export function createFrameDecoder(maxBytes = maxFrameBytes, maxFirstBytes = maxBytes): FrameDecoder {
  const incomplete = createByteAccumulator();
  let isFirst = true;
  /** Length of the incomplete frame with its header; undefined while the header is not complete. */
  let frameBytes: number | undefined;

  /** Adds bytes from the chunk's `start` until `target` bytes are collected; returns where it stopped. */
  function collect(chunk: Buffer, start: number, target: number): number {
    const end = Math.min(chunk.length, start + target - incomplete.length());
    incomplete.push(chunk.subarray(start, end));
    return end;
  }

  function push(chunk: Buffer): E.Either<Error, Buffer[]> {
    const bodies: Buffer[] = [];
    let start = 0;
    while (start < chunk.length) {
      const limit = isFirst ? maxFirstBytes : maxBytes;
      const bytes = incomplete.length() === 0 ? wholeFrame(chunk, start) : undefined;
      if (bytes !== undefined && bytes <= headerBytes + limit) {
        bodies.push(chunk.subarray(start + headerBytes, start + bytes));
        start += bytes;
        isFirst = false;
        continue;
      }
      start = collect(chunk, start, frameBytes ?? headerBytes);
      if (incomplete.length() < (frameBytes ?? headerBytes)) break;
      if (frameBytes === undefined) {
        const header = incomplete.take();
        const length = header.readUInt32BE(0);
        if (length > limit) return E.left(tooLongError(length, limit));
        incomplete.push(header);
        frameBytes = headerBytes + length;
        if (length > 0) continue;
      }
      bodies.push(incomplete.take().subarray(headerBytes));
      frameBytes = undefined;
      isFirst = false;
    }
    return E.right(bodies);
  }

  return { push, heldBytes: incomplete.heldBytes, discard: incomplete.discard };
}

/** Length of the frame that begins at `start`, with its header, if the chunk contains it to its end. */
function wholeFrame(chunk: Buffer, start: number): number | undefined {
  if (chunk.length - start < headerBytes) return undefined;
  const bytes = headerBytes + chunk.readUInt32BE(start);
  return chunk.length - start >= bytes ? bytes : undefined;
}

function tooLongError(length: number, maxBytes: number): Error {
  return new BadFrameError(
    `Frame of ${length} bytes exceeds the limit of ${maxBytes}; closing the link. Check that the peer is a tansypost process.`,
  );
}
