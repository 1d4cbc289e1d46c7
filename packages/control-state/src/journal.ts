/**
 * The format of a replica's append-only file. Each entry is a magic number, a length, a checksum and one record.
 * Records that are written together share one checksum, because an unsynced write may be torn at any byte. A truncated
 * or damaged entry at the end of the file was never acknowledged and is cut off. A damaged entry followed by intact
 * ones means that the disk lost data that it had synced, and the file is rejected. A rewritten file begins with a
 * snapshot whose header contains the number of its records; a file with an incomplete snapshot is rejected as well.
 */
import { crc32 } from 'node:zlib';
import avsc from 'avsc';
import * as E from 'fp-ts/lib/Either.js';
import { DamagedFileError, toSchema, type TypeOfShape } from '@tansypost/inner-protocol';

const recordMagic = Buffer.from('TPJ1');
const batchMagic = Buffer.from('TPJM');
const magics = [recordMagic, batchMagic];
const headerBytes = 12;
const recordShape = {
  kind: 'string',
  key: 'string',
  promised: 'long',
  epoch: 'long',
  version: 'long',
  value: 'bytes',
  changes: ['string'],
} as const;
/** One record of the file. `kind` is `disk`, `state` or `row`; fields that the kind does not use are empty. */
export type JournalRecord = TypeOfShape<typeof recordShape>;

const codecCache: { codec?: avsc.Type } = {};

function codec(): avsc.Type {
  codecCache.codec ??= avsc.Type.forSchema(toSchema('Record', recordShape));
  return codecCache.codec;
}

/** Encodes one record with its own checksum. */
export function encodeRecord(record: JournalRecord): Buffer {
  return withHeader(recordMagic, codec().toBuffer(record));
}

/** Combines encoded records into one entry with one checksum. */
export function joinRecords(records: readonly Buffer[]): Buffer {
  if (records.length === 1) return records[0]!;
  const parts = records.flatMap((record) => {
    const length = Buffer.allocUnsafe(4);
    length.writeUInt32BE(record.length - headerBytes);
    return [length, record.subarray(headerBytes)];
  });
  return withHeader(batchMagic, Buffer.concat(parts));
}

/** The kind of a snapshot's header record; its `version` is the number of records in the snapshot. */
const snapshotKind = 'snapshot';

/** Encodes the records of a snapshot after a header with their number. */
export function encodeSnapshot(records: readonly JournalRecord[]): Buffer {
  const header: JournalRecord = {
    kind: snapshotKind,
    key: '',
    promised: 0,
    epoch: 0,
    version: records.length,
    value: Buffer.alloc(0),
    changes: [],
  };
  return Buffer.concat([header, ...records].map(encodeRecord));
}

function withHeader(magic: Buffer, body: Buffer): Buffer {
  const header = Buffer.allocUnsafe(headerBytes);
  magic.copy(header);
  header.writeUInt32BE(body.length, 4);
  header.writeUInt32BE(crc32(body), 8);
  return Buffer.concat([header, body]);
}

function readAt(file: Buffer, offset: number): { bodies: Buffer[]; end: number } | undefined {
  if (offset + headerBytes > file.length) return undefined;
  const isBatch = file.compare(batchMagic, 0, 4, offset, offset + 4) === 0;
  if (!isBatch && file.compare(recordMagic, 0, 4, offset, offset + 4) !== 0) return undefined;
  const end = offset + headerBytes + file.readUInt32BE(offset + 4);
  if (end > file.length) return undefined;
  const body = file.subarray(offset + headerBytes, end);
  if (crc32(body) !== file.readUInt32BE(offset + 8)) return undefined;
  if (!isBatch) return { bodies: [body], end: end };
  const bodies: Buffer[] = [];
  for (let position = 0; position < body.length;) {
    const bodyEnd = position + 4 + body.readUInt32BE(position);
    bodies.push(body.subarray(position + 4, bodyEnd));
    position = bodyEnd;
  }
  return { bodies, end: end };
}

function hasIntactRecordAfter(file: Buffer, offset: number): boolean {
  return magics.some((magic) => {
    for (let position = file.indexOf(magic, offset + 1); position >= 0; position = file.indexOf(magic, position + 1))
      if (readAt(file, position) !== undefined) return true;
    return false;
  });
}

/** The records of a file, the number of its valid bytes, and the number of torn bytes at its end. */
export interface JournalContents {
  readonly records: readonly JournalRecord[];
  readonly validBytes: number;
  readonly tornBytes: number;
}

/** Reads a file. Left is `DamagedFileError` if data that was synced is missing. */
export function readJournal(file: Buffer): E.Either<Error, JournalContents> {
  const records: JournalRecord[] = [];
  let offset = 0;
  while (offset < file.length) {
    const entry = readAt(file, offset);
    if (entry === undefined) {
      if (hasIntactRecordAfter(file, offset)) {
        return E.left(
          new DamagedFileError(
            `The data file is damaged at byte ${offset} and intact records follow. It is not used; the replica copies from the others.`,
          ),
        );
      }
      break;
    }
    for (const body of entry.bodies) records.push(codec().fromBuffer(body) as JournalRecord);
    offset = entry.end;
  }
  const [first, ...others] = records;
  if (first?.kind !== snapshotKind) return E.right({ records, validBytes: offset, tornBytes: file.length - offset });
  if (others.length < first.version) return E.left(truncatedSnapshot(first.version, others.length));
  return E.right({ records: others, validBytes: offset, tornBytes: file.length - offset });
}

function truncatedSnapshot(expected: number, found: number): Error {
  return new DamagedFileError(
    `The snapshot in the data file is truncated: it has ${found} of ${expected} records. It is not used; the replica copies from the others.`,
  );
}
