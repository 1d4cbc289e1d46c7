/** The journal format: which files are truncated, rejected and accepted. */
import * as E from 'fp-ts/lib/Either.js';
import { expect, it } from 'vitest';
import { encodeRecord, encodeSnapshot, joinRecords, readJournal, type JournalRecord } from './journal.js';

function records(count: number): JournalRecord[] {
  return Array.from({ length: count }, (_, i) => ({
    kind: 'row',
    key: `k${i}`,
    promised: i,
    epoch: i,
    version: i,
    value: Buffer.from(`v${i}`),
    changes: [`c@${i}`],
  }));
}
function encodedRecords(count: number): Buffer[] {
  return records(count).map(encodeRecord);
}
it('cuts off a last record that is torn at any byte, and keeps all records before it', () => {
  const encoded = encodedRecords(3);
  const firstTwo = Buffer.concat(encoded.slice(0, 2));
  for (let n = 0; n < encoded[2]!.length; n += 1) {
    const contents = readJournal(Buffer.concat([firstTwo, encoded[2]!.subarray(0, n)]));
    expect(
      E.isRight(contents) && [contents.right.records.length, contents.right.validBytes, contents.right.tornBytes],
    ).toEqual([2, firstTwo.length, n]);
  }
});
it('rejects a file in which any byte of a middle record is corrupted', () => {
  const encoded = encodedRecords(3);
  const file = Buffer.concat(encoded);
  for (let n = encoded[0]!.length; n < encoded[0]!.length + encoded[1]!.length; n += 1) {
    const corrupted = Buffer.from(file);
    corrupted[n] = corrupted[n]! ^ 0x5a;
    expect(E.isLeft(readJournal(corrupted))).toBe(true);
  }
});
it('cuts off records that were written together as a unit, wherever they are torn', () => {
  const encoded = encodedRecords(4);
  const batch = joinRecords(encoded.slice(1));
  const complete = readJournal(Buffer.concat([encoded[0]!, batch, encoded[0]!]));
  expect(E.isRight(complete) && complete.right.records.map((record) => record.key)).toEqual([
    'k0',
    'k1',
    'k2',
    'k3',
    'k0',
  ]);
  for (let n = 0; n < batch.length; n += 1) {
    const torn = Buffer.from(batch);
    torn.fill(0xee, n, Math.min(n + 8, torn.length));
    const contents = readJournal(Buffer.concat([encoded[0]!, torn]));
    expect(E.isRight(contents) && [contents.right.records.length, contents.right.tornBytes]).toEqual([1, batch.length]);
    expect(E.isLeft(readJournal(Buffer.concat([encoded[0]!, torn, encoded[0]!])))).toBe(true);
  }
});
it('rejects a snapshot truncated at any byte, and accepts a complete one followed by appended records', () => {
  const snapshot = encodeSnapshot(records(3));
  const complete = readJournal(Buffer.concat([snapshot, encodedRecords(1)[0]!]));
  expect(E.isRight(complete) && complete.right.records.map((record) => record.key)).toEqual(['k0', 'k1', 'k2', 'k0']);
  const headerSize = encodeSnapshot([]).length;
  const header = encodeSnapshot(records(3)).subarray(0, headerSize);
  expect(E.isRight(readJournal(header.subarray(0, headerSize - 1)))).toBe(true);
  for (let n = headerSize; n < snapshot.length; n += 1)
    expect(E.isLeft(readJournal(snapshot.subarray(0, n)))).toBe(true);
});
