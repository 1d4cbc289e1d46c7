// Frames on a TCP stream: four bytes of length, then the body. A length over the limit is an error
// at once, before any of the body is held.
import * as E from 'fp-ts/lib/Either.js';
import { BadFrame } from './errors.js';

export const frameLimit = 48 * 1024 * 1024;

export function frame(b: Buffer): Buffer {
  const h = Buffer.allocUnsafe(4);
  h.writeUInt32BE(b.length, 0);
  return Buffer.concat([h, b]);
}

export interface Unframer {
  readonly push: (chunk: Buffer) => E.Either<Error, Buffer[]>;
}

export function createUnframer(limit = frameLimit): Unframer {
  let held: Buffer[] = [];
  let size = 0;
  function push(chunk: Buffer): E.Either<Error, Buffer[]> {
    held.push(chunk);
    size += chunk.length;
    const out: Buffer[] = [];
    while (size >= 4) {
      let all = held.length === 1 ? held[0]! : Buffer.concat(held);
      held = [all];
      const n = all.readUInt32BE(0);
      if (n > limit)
        return E.left(
          new BadFrame(
            `A frame of ${n} bytes is over the limit of ${limit}; the link is closed. Check that the other side is a tansypost process.`,
          ),
        );
      if (size < 4 + n) break;
      out.push(all.subarray(4, 4 + n));
      all = all.subarray(4 + n);
      held = all.length > 0 ? [all] : [];
      size -= 4 + n;
    }
    return E.right(out);
  }
  return { push };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  it('gives whole frames whatever the chunks are, and refuses an oversized one from its length alone', () => {
    const all = Buffer.concat([frame(Buffer.from('one')), frame(Buffer.alloc(0)), frame(Buffer.from('three'))]);
    for (let n = 1; n <= all.length; n += 1) {
      const u = createUnframer();
      const got: string[] = [];
      for (let i = 0; i < all.length; i += n) {
        const r = u.push(all.subarray(i, i + n));
        if (E.isRight(r)) got.push(...r.right.map(String));
      }
      expect(got).toEqual(['one', '', 'three']);
    }
    expect(E.isLeft(createUnframer(10).push(Buffer.from([0, 0, 0, 11])))).toBe(true);
  });
}
