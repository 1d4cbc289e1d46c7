import * as E from 'fp-ts/lib/Either.js';
import { expect, it } from 'vitest';
import { encodeRecord, readJournal } from './journal.js';

function some(n: number): Buffer[] {
  return Array.from({ length: n }, (_, i) =>
    encodeRecord({
      kind: 'row',
      key: `k${i}`,
      promised: i,
      epoch: i,
      version: i,
      value: Buffer.from(`v${i}`),
      changes: [`c@${i}`],
    }),
  );
}
it('cuts a tail torn at any byte and keeps all before it', () => {
  const rs = some(3);
  const two = Buffer.concat(rs.slice(0, 2));
  for (let n = 0; n < rs[2]!.length; n += 1) {
    const r = readJournal(Buffer.concat([two, rs[2]!.subarray(0, n)]));
    expect(E.isRight(r) && [r.right.records.length, r.right.good, r.right.cut]).toEqual([2, two.length, n]);
  }
});
it('refuses a file with any one byte of a middle record altered', () => {
  const rs = some(3);
  const all = Buffer.concat(rs);
  for (let n = rs[0]!.length; n < rs[0]!.length + rs[1]!.length; n += 1) {
    const b = Buffer.from(all);
    b[n] = b[n]! ^ 0x5a;
    expect(E.isLeft(readJournal(b))).toBe(true);
  }
});
