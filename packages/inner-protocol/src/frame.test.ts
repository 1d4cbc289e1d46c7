/** Frames on a stream that arrives in chunks of any size. */
import * as E from 'fp-ts/lib/Either.js';
import { expect, it } from 'vitest';
import { createFrameDecoder, encodeFrame } from './frame.js';

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
it('holds little more than the bytes received of a frame that arrives byte by byte', () => {
  const decoder = createFrameDecoder();
  const stream = encodeFrame(Buffer.alloc(100_000, 'x'));
  // Each byte is part of a large read buffer, as on a socket.
  const readBuffer = Buffer.alloc(65_536);
  for (const byte of stream.subarray(0, -1)) {
    readBuffer[0] = byte;
    expect(decoder.push(readBuffer.subarray(0, 1))).toEqual(E.right([]));
  }
  expect(decoder.heldBytes()).toBeLessThan(3 * stream.length);
  expect(decoder.push(stream.subarray(-1))).toEqual(E.right([stream.subarray(4)]));
  expect(decoder.heldBytes()).toBe(0);
});
