/**
 * What one replica keeps on its disk: the identity of the disk, the state of the replica, its rows and the history of
 * changes of each. Everything is written through to the journal; a callback comes once the record is synced. The journal
 * is rewritten as a snapshot when it has grown to several times what it holds.
 *
 * Every row and change bears the sequence number of when this replica took it in, so that a copy can go on from where it
 * stopped. Sequence numbers hold for one opening of the disk, which `copySource` names.
 */
import type { World } from '@tansypost/inner-protocol';
import {
  createChangeHistory,
  decodeChange,
  encodeChange,
  type AppliedChange,
  type ChangeHistory,
} from './change-history.js';
import type { Disk } from './disk.js';
import type { JournalRecord } from './journal.js';
import { emptyRow, type Row } from './row.js';

/**
 * `blank`: holds no complete copy and does not vote; `voting`: a full member; `fenced`: replaced by another disk;
 * `failed`: its disk refused a write; `unusable`: its membership record cannot be read, or is that of another cluster.
 */
export type ReplicaState = 'blank' | 'voting' | 'fenced' | 'failed' | 'unusable';

/** What a replica's storage is opened with. */
export interface ReplicaStorageOptions {
  readonly disk: Disk;
  /** The records read from the journal when it was opened. */
  readonly found: readonly JournalRecord[];
  /** The identity that a disk without one gets. */
  readonly newDiskId: string;
  /** The size of the journal in bytes above which it is rewritten. */
  readonly compactAboveBytes?: number;
  /** Told once, when the disk has refused a write. */
  readonly failed: (error: Error) => void;
}

/** A row that has changed since a sequence number, with the changes taken in since then. */
export interface ChangedRow {
  readonly key: string;
  readonly sequence: number;
  readonly row: Row;
  readonly changes: readonly AppliedChange[];
}

/** Told whether a write is synced (true) or was refused (false). */
export type Written = (ok: boolean) => void;

/** The durable state of one replica. */
export interface ReplicaStorage {
  readonly diskId: () => string;
  /** Names this opening of the disk to those who copy from it. */
  readonly copySource: string;
  /** The state that the journal held when it was opened, or that was written last. */
  readonly storedState: () => ReplicaState;
  /** The disks that founded the cluster together with this one, as far as this one took part. */
  readonly founders: () => readonly string[];
  readonly setFounders: (disks: readonly string[]) => void;
  readonly row: (key: string) => Row;
  readonly rows: () => ReadonlyMap<string, Row>;
  readonly history: (key: string) => ChangeHistory;
  /** Takes a row and changes of it in at once and calls back once they are synced, or with false if the disk refused. */
  readonly putRow: (key: string, row: Row, changes: readonly AppliedChange[], done: Written) => void;
  /** Writes a row once more, unchanged, and calls back once all earlier writes are synced as well. */
  readonly syncRow: (key: string, done: Written) => void;
  readonly putState: (state: ReplicaState, done: Written) => void;
  /** The rows taken in after a sequence number, the earliest first. */
  readonly changedSince: (sequence: number) => ChangedRow[];
  /** Whether a write has waited for the disk longer than a sound disk takes. */
  readonly isSlow: () => boolean;
}

const slowAfter = 400_000;
const defaultRewriteOver = 8 * 1024 * 1024;
const rewriteFactor = 3;
const rowOverhead = 256;

/** Opens the storage on what was found; a disk without an identity is given one. */
export function createReplicaStorage(world: World, options: ReplicaStorageOptions): ReplicaStorage {
  const rows = new Map<string, Row>();
  const histories = new Map<string, ChangeHistory>();
  const rowSequence = new Map<string, number>();
  const changeSequence = new Map<string, Map<number, number>>();
  const pendingSince: number[] = [];
  const copySource = Math.floor(world.random() * 2 ** 40).toString(36);
  let sequence = 0;
  let disk = options.newDiskId;
  let state: ReplicaState = 'blank';
  let founders: readonly string[] = [];
  let rewriting = false;
  let broken = false;

  for (const record of options.found) load(record);
  if (options.found.length === 0) append(identityRecord(), () => undefined);

  function load(record: JournalRecord): void {
    if (record.kind === 'disk') disk = record.key;
    if (record.kind === 'state') {
      state = record.key as ReplicaState;
      founders = [...record.changes];
    }
    if (record.kind === 'row') {
      const { promised, epoch, version, value } = record;
      takeIn(record.key, { promised, epoch, version, value }, record.changes.map(decodeChange));
    }
  }

  /** Gives those of the changes that were not known yet. */
  function takeIn(key: string, row: Row, changes: readonly AppliedChange[]): AppliedChange[] {
    sequence += 1;
    rows.set(key, row);
    rowSequence.set(key, sequence);
    const added = changes.filter((change) => history(key).add(change));
    for (const change of added) noteChange(key, change.version);
    return added;
  }

  function noteChange(key: string, version: number): void {
    let sequences = changeSequence.get(key);
    if (sequences === undefined) changeSequence.set(key, (sequences = new Map<number, number>()));
    sequences.delete(version);
    sequences.set(version, sequence);
    for (const old of sequences.keys()) {
      if (history(key).at(old) !== undefined) break;
      sequences.delete(old);
    }
  }

  function history(key: string): ChangeHistory {
    let present = histories.get(key);
    if (present === undefined) histories.set(key, (present = createChangeHistory()));
    return present;
  }

  function append(record: JournalRecord, done: Written): void {
    if (broken) return done(false);
    pendingSince.push(world.now());
    options.disk.append(record, (error) => {
      pendingSince.shift();
      if (error !== undefined) {
        fail(error);
        return done(false);
      }
      done(true);
      rewriteIfLong();
    });
  }

  function fail(error: Error): void {
    if (broken) return;
    broken = true;
    options.failed(error);
  }

  function liveBytes(): number {
    let bytes = 0;
    for (const row of rows.values()) bytes += row.value.length + rowOverhead;
    return bytes;
  }

  function rewriteIfLong(): void {
    const limit = Math.max(options.compactAboveBytes ?? defaultRewriteOver, rewriteFactor * liveBytes());
    if (rewriting || broken || options.disk.size() < limit) return;
    rewriting = true;
    options.disk.rewrite(snapshot(), (error) => {
      rewriting = false;
      if (error !== undefined) fail(error);
      else world.log(2007, { bytes: options.disk.size() });
    });
  }

  function snapshot(): JournalRecord[] {
    return [
      identityRecord(),
      stateRecord(state),
      ...[...rows].map(([key, row]) => rowRecord(key, row, history(key).list())),
    ];
  }

  function identityRecord(): JournalRecord {
    return { kind: 'disk', key: disk, ...emptyRow, changes: [] };
  }

  function stateRecord(next: ReplicaState): JournalRecord {
    return { kind: 'state', key: next, ...emptyRow, changes: [...founders] };
  }

  function putRow(key: string, row: Row, changes: readonly AppliedChange[], done: Written): void {
    append(rowRecord(key, row, takeIn(key, row, changes)), done);
  }

  function putState(next: ReplicaState, done: Written): void {
    append(stateRecord(next), (ok) => {
      if (ok) state = next;
      done(ok);
    });
  }

  function changedSince(after: number): ChangedRow[] {
    return [...rowSequence]
      .filter(([, at]) => at > after)
      .sort((left, right) => left[1] - right[1])
      .map(([key, at]) => ({ key, sequence: at, row: rows.get(key)!, changes: changesSince(key, after) }));
  }

  function changesSince(key: string, after: number): AppliedChange[] {
    const found: AppliedChange[] = [];
    for (const [version, at] of changeSequence.get(key) ?? []) {
      const change = at > after ? history(key).at(version) : undefined;
      if (change !== undefined) found.push(change);
    }
    return found;
  }

  return {
    diskId: () => disk,
    copySource,
    storedState: () => state,
    founders: () => founders,
    setFounders: (disks) => {
      founders = [...disks];
    },
    row: (key) => rows.get(key) ?? emptyRow,
    rows: () => rows,
    history,
    putRow,
    syncRow: (key, done) => append(rowRecord(key, rows.get(key) ?? emptyRow, []), done),
    putState,
    changedSince,
    isSlow: () => broken || (pendingSince.length > 0 && world.now() - pendingSince[0]! > slowAfter),
  };
}

function rowRecord(key: string, row: Row, changes: readonly AppliedChange[]): JournalRecord {
  const { promised, epoch, version, value } = row;
  return { kind: 'row', key, promised, epoch, version, value, changes: changes.map(encodeChange) };
}
