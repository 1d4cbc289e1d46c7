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
export type JournalRecord = Of<typeof shape>;

const made: { codec?: avsc.Type } = {};

function codec(): avsc.Type {
  made.codec ??= avsc.Type.forSchema(toSchema('Record', shape));
  return made.codec;
}

export function encodeRecord(r: JournalRecord): Buffer {
  const b = codec().toBuffer(r);
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
    records.push(codec().fromBuffer(r.body) as JournalRecord);
    at = r.next;
  }
  return E.right({ records, good: at, cut: all.length - at });
}
