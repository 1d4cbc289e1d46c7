/** The journal: what is cut, refused and taken. */
import * as E from 'fp-ts/lib/Either.js';
import { expect, it } from 'vitest';
import { encodeRecord, encodeSnapshot, joinRecords, readJournal, type JournalRecord } from './journal.js';

function records(n: number): JournalRecord[] {
  return Array.from({ length: n }, (_, i) => ({
    kind: 'row',
    key: `k${i}`,
    promised: i,
    epoch: i,
    version: i,
    value: Buffer.from(`v${i}`),
    changes: [`c@${i}`],
  }));
}
function some(n: number): Buffer[] {
  return records(n).map(encodeRecord);
}
it('cuts a tail torn at any byte and keeps all before it', () => {
  const rs = some(3);
  const two = Buffer.concat(rs.slice(0, 2));
  for (let n = 0; n < rs[2]!.length; n += 1) {
    const r = readJournal(Buffer.concat([two, rs[2]!.subarray(0, n)]));
    expect(E.isRight(r) && [r.right.records.length, r.right.validBytes, r.right.tornBytes]).toEqual([2, two.length, n]);
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
it('cuts records written together away as one, wherever they are torn', () => {
  const rs = some(4);
  const many = joinRecords(rs.slice(1));
  const whole = readJournal(Buffer.concat([rs[0]!, many, rs[0]!]));
  expect(E.isRight(whole) && whole.right.records.map((r) => r.key)).toEqual(['k0', 'k1', 'k2', 'k3', 'k0']);
  for (let n = 0; n < many.length; n += 1) {
    const torn = Buffer.from(many);
    torn.fill(0xee, n, Math.min(n + 8, torn.length));
    const r = readJournal(Buffer.concat([rs[0]!, torn]));
    expect(E.isRight(r) && [r.right.records.length, r.right.tornBytes]).toEqual([1, many.length]);
    expect(E.isLeft(readJournal(Buffer.concat([rs[0]!, torn, rs[0]!])))).toBe(true);
  }
});
it('refuses a snapshot that was cut anywhere, and takes a whole one with what was appended to it', () => {
  const snapshot = encodeSnapshot(records(3));
  const whole = readJournal(Buffer.concat([snapshot, some(1)[0]!]));
  expect(E.isRight(whole) && whole.right.records.map((r) => r.key)).toEqual(['k0', 'k1', 'k2', 'k0']);
  const headSize = encodeSnapshot([]).length;
  const first = encodeSnapshot(records(3)).subarray(0, headSize);
  expect(E.isRight(readJournal(first.subarray(0, headSize - 1)))).toBe(true);
  for (let n = headSize; n < snapshot.length; n += 1) expect(E.isLeft(readJournal(snapshot.subarray(0, n)))).toBe(true);
});
