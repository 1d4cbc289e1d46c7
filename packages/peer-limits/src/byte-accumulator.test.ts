/** Bytes collected from pieces of any size. */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { createByteAccumulator } from './byte-accumulator.js';

/** A piece as a socket gives it: part of a larger read buffer. */
function pieceOf(bytes: Buffer): Buffer {
  const readBuffer = Buffer.alloc(65_536);
  bytes.copy(readBuffer, 100);
  return readBuffer.subarray(100, 100 + bytes.length);
}

it('returns all bytes in order, whatever the pieces, also when it is used again', () => {
  const pieces = fc.array(fc.uint8Array({ maxLength: 3000 }), { maxLength: 60 });
  fc.assert(
    fc.property(fc.array(pieces, { maxLength: 3 }), fc.boolean(), (bodies, ownBuffers) => {
      const accumulator = createByteAccumulator();
      for (const body of bodies) {
        const expected = Buffer.concat(body);
        for (const piece of body) accumulator.push(ownBuffers ? Buffer.from(piece) : pieceOf(Buffer.from(piece)));
        expect(accumulator.length()).toBe(expected.length);
        expect(accumulator.take().equals(expected)).toBe(true);
        expect(accumulator.heldBytes()).toBe(0);
      }
    }),
  );
});

it('holds at most twice the length and one block for single bytes of large buffers', () => {
  const accumulator = createByteAccumulator();
  const piece = pieceOf(Buffer.from('x'));
  for (let length = 1; length <= 300_000; length += 1) {
    accumulator.push(piece);
    if (accumulator.heldBytes() > 2 * length + 65_536) expect.unreachable(`${accumulator.heldBytes()} for ${length}`);
  }
  expect(accumulator.take()).toEqual(Buffer.alloc(300_000, 'x'));
});

it('does not change bytes that were taken when its blocks are used again', () => {
  const first = createByteAccumulator();
  for (let index = 0; index < 4; index += 1) first.push(pieceOf(Buffer.alloc(60_000, 'a')));
  const taken = first.take();
  const second = createByteAccumulator();
  for (let index = 0; index < 4; index += 1) second.push(pieceOf(Buffer.alloc(60_000, 'b')));
  expect(taken).toEqual(Buffer.alloc(240_000, 'a'));
});
