// The format of the append-only file: a magic, a length, a checksum, then one record. A record that
// is cut or damaged at the very end was never answered for and is cut away; a damaged one with
// whole records behind it means the disk lost something it had promised, and the file is refused.
import { crc32 } from 'node:zlib';
import avsc from 'avsc';
import * as E from 'fp-ts/lib/Either.js';
import { DamagedFile, toSchema, type Of } from '@tansypost/inner-protocol';

const magic = Buffer.from('TPJ1');
const headSize = 12;
const shape = {
  kind: 'string',
  key: 'string',
  promised: 'long',
  epoch: 'long',
  version: 'long',
  value: 'bytes',
  changes: ['string'],
} as const;
const type = avsc.Type.forSchema(toSchema('Record', shape));
export type JournalRecord = Of<typeof shape>;

export function encodeRecord(r: JournalRecord): Buffer {
  const b = type.toBuffer(r);
  const h = Buffer.allocUnsafe(headSize);
  magic.copy(h);
  h.writeUInt32BE(b.length, 4);
  h.writeUInt32BE(crc32(b), 8);
  return Buffer.concat([h, b]);
}

function readAt(all: Buffer, at: number): { body: Buffer; next: number } | undefined {
  if (at + headSize > all.length || all.compare(magic, 0, 4, at, at + 4) !== 0) return undefined;
  const next = at + headSize + all.readUInt32BE(at + 4);
  if (next > all.length) return undefined;
  const body = all.subarray(at + headSize, next);
  return crc32(body) === all.readUInt32BE(at + 8) ? { body, next } : undefined;
}

export interface JournalRead {
  readonly records: readonly JournalRecord[];
  readonly good: number;
  readonly cut: number;
}

export function readJournal(all: Buffer): E.Either<Error, JournalRead> {
  const records: JournalRecord[] = [];
  let at = 0;
  while (at < all.length) {
    const r = readAt(all, at);
    if (r === undefined) {
      for (let n = all.indexOf(magic, at + 1); n >= 0; n = all.indexOf(magic, n + 1)) {
        if (readAt(all, n) !== undefined) {
          return E.left(
            new DamagedFile(
              `The data file is damaged at byte ${at} with whole records behind it. It is not served; the place copies from the other two.`,
            ),
          );
        }
      }
      break;
    }
    records.push(type.fromBuffer(r.body) as JournalRecord);
    at = r.next;
  }
  return E.right({ records, good: at, cut: all.length - at });
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
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
}
