/**
 * The format of a replica's append-only file: a magic, a length, a checksum, then one record. Records that are written
 * together stand under one checksum, as what was not synced may be torn anywhere. A record that is cut or damaged at the
 * very end was never answered for and is cut away; a damaged one with whole records behind it means that the disk lost
 * something it had promised, and the file is refused. A file that was rewritten begins with a snapshot, whose head says
 * how many records belong to it: one of which any is missing is refused as well.
 */
import { crc32 } from 'node:zlib';
import avsc from 'avsc';
import * as E from 'fp-ts/lib/Either.js';
import { DamagedFileError, toSchema, type TypeOfShape } from '@tansypost/inner-protocol';

const magic = Buffer.from('TPJ1');
const magicOfMany = Buffer.from('TPJM');
const magics = [magic, magicOfMany];
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
/** One record of the file. `kind` is `disk`, `state` or `row`; of the others' fields those that the kind does not use are empty. */
export type JournalRecord = TypeOfShape<typeof shape>;

const made: { codec?: avsc.Type } = {};

function codec(): avsc.Type {
  made.codec ??= avsc.Type.forSchema(toSchema('Record', shape));
  return made.codec;
}

/** Encodes one record under a checksum of its own. */
export function encodeRecord(r: JournalRecord): Buffer {
  return withHead(magic, codec().toBuffer(r));
}

/** Puts encoded records under one checksum. */
export function joinRecords(bs: readonly Buffer[]): Buffer {
  if (bs.length === 1) return bs[0]!;
  const parts = bs.flatMap((b) => {
    const n = Buffer.allocUnsafe(4);
    n.writeUInt32BE(b.length - headSize);
    return [n, b.subarray(headSize)];
  });
  return withHead(magicOfMany, Buffer.concat(parts));
}

/** The kind of the record that begins a snapshot; its version is the number of records that belong to it. */
const snapshotKind = 'snapshot';

/** Encodes the records of a snapshot, with the head that tells how many they are. */
export function encodeSnapshot(records: readonly JournalRecord[]): Buffer {
  const head: JournalRecord = {
    kind: snapshotKind,
    key: '',
    promised: 0,
    epoch: 0,
    version: records.length,
    value: Buffer.alloc(0),
    changes: [],
  };
  return Buffer.concat([head, ...records].map(encodeRecord));
}

function withHead(m: Buffer, b: Buffer): Buffer {
  const h = Buffer.allocUnsafe(headSize);
  m.copy(h);
  h.writeUInt32BE(b.length, 4);
  h.writeUInt32BE(crc32(b), 8);
  return Buffer.concat([h, b]);
}

function readAt(all: Buffer, at: number): { bodies: Buffer[]; next: number } | undefined {
  if (at + headSize > all.length) return undefined;
  const many = all.compare(magicOfMany, 0, 4, at, at + 4) === 0;
  if (!many && all.compare(magic, 0, 4, at, at + 4) !== 0) return undefined;
  const next = at + headSize + all.readUInt32BE(at + 4);
  if (next > all.length) return undefined;
  const body = all.subarray(at + headSize, next);
  if (crc32(body) !== all.readUInt32BE(at + 8)) return undefined;
  if (!many) return { bodies: [body], next };
  const bodies: Buffer[] = [];
  for (let n = 0; n < body.length;) {
    const end = n + 4 + body.readUInt32BE(n);
    bodies.push(body.subarray(n + 4, end));
    n = end;
  }
  return { bodies, next };
}

function wholeBehind(all: Buffer, at: number): boolean {
  return magics.some((m) => {
    for (let n = all.indexOf(m, at + 1); n >= 0; n = all.indexOf(m, n + 1))
      if (readAt(all, n) !== undefined) return true;
    return false;
  });
}

/** The records of a file, how many of its bytes are sound, and how many at its end were torn. */
export interface JournalContents {
  readonly records: readonly JournalRecord[];
  readonly validBytes: number;
  readonly tornBytes: number;
}

/** Reads a file. `DamagedFileError` where something that was promised is missing. */
export function readJournal(all: Buffer): E.Either<Error, JournalContents> {
  const records: JournalRecord[] = [];
  let at = 0;
  while (at < all.length) {
    const r = readAt(all, at);
    if (r === undefined) {
      if (wholeBehind(all, at)) {
        return E.left(
          new DamagedFileError(
            `The data file is damaged at byte ${at} with whole records behind it. It is not served; the replica copies from the others.`,
          ),
        );
      }
      break;
    }
    for (const b of r.bodies) records.push(codec().fromBuffer(b) as JournalRecord);
    at = r.next;
  }
  const [first, ...others] = records;
  if (first?.kind !== snapshotKind) return E.right({ records, validBytes: at, tornBytes: all.length - at });
  if (others.length < first.version) return E.left(cutShort(first.version, others.length));
  return E.right({ records: others, validBytes: at, tornBytes: all.length - at });
}

function cutShort(expected: number, found: number): Error {
  return new DamagedFileError(
    `The snapshot in the data file is cut short: ${found} of its ${expected} records are there. It is not served; the replica copies from the others.`,
  );
}
