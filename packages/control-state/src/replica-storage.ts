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
export type SyncCallback = (ok: boolean) => void;

/** The durable state of one replica. */
export interface ReplicaStorage {
  readonly diskId: () => string;
  /** Names this opening of the disk to those who copy from it. */
  readonly copySource: string;
  /** The state that the journal held when it was opened, or that was written last. */
  readonly storedState: () => ReplicaState;
  /** The disks that founded the cluster together with this one, as far as this one took part. */
  readonly bootstrapDisks: () => readonly string[];
  readonly setBootstrapDisks: (disks: readonly string[]) => void;
  readonly row: (key: string) => Row;
  readonly rows: () => ReadonlyMap<string, Row>;
  readonly history: (key: string) => ChangeHistory;
  /** Takes a row and changes of it in at once and calls back once they are synced, or with false if the disk refused. */
  readonly putRow: (key: string, row: Row, changes: readonly AppliedChange[], done: SyncCallback) => void;
  /** Writes a row once more, unchanged, and calls back once all earlier writes are synced as well. */
  readonly syncRow: (key: string, done: SyncCallback) => void;
  readonly putState: (state: ReplicaState, done: SyncCallback) => void;
  /** The rows taken in after a sequence number, the earliest first. */
  readonly changedSince: (sequence: number) => ChangedRow[];
  /** Whether a write has waited for the disk longer than a sound disk takes. */
  readonly isSlow: () => boolean;
}

const slowWriteUs = 400_000;
const defaultCompactAboveBytes = 8 * 1024 * 1024;
const compactionFactor = 3;
const rowOverheadBytes = 256;

/** Opens the storage on what was found; a disk without an identity is given one. */
export function createReplicaStorage(world: World, options: ReplicaStorageOptions): ReplicaStorage {
  const rows = new Map<string, Row>();
  const histories = new Map<string, ChangeHistory>();
  const sequenceByKey = new Map<string, number>();
  const changeSequencesByKey = new Map<string, Map<number, number>>();
  const pendingWriteTimes: number[] = [];
  const copySource = Math.floor(world.random() * 2 ** 40).toString(36);
  let sequence = 0;
  let diskId = options.newDiskId;
  let state: ReplicaState = 'blank';
  let bootstrapDisks: readonly string[] = [];
  let isCompacting = false;
  let hasFailed = false;

  for (const record of options.found) load(record);
  if (options.found.length === 0) append(identityRecord(), () => undefined);

  function load(record: JournalRecord): void {
    if (record.kind === 'disk') diskId = record.key;
    if (record.kind === 'state') {
      state = record.key as ReplicaState;
      bootstrapDisks = [...record.changes];
    }
    if (record.kind === 'row') {
      const { promised, epoch, version, value } = record;
      applyRow(record.key, { promised, epoch, version, value }, record.changes.map(decodeChange));
    }
  }

  /** Gives those of the changes that were not known yet. */
  function applyRow(key: string, row: Row, changes: readonly AppliedChange[]): AppliedChange[] {
    sequence += 1;
    rows.set(key, row);
    sequenceByKey.set(key, sequence);
    const added = changes.filter((change) => history(key).add(change));
    for (const change of added) recordChangeSequence(key, change.version);
    return added;
  }

  function recordChangeSequence(key: string, version: number): void {
    let sequences = changeSequencesByKey.get(key);
    if (sequences === undefined) changeSequencesByKey.set(key, (sequences = new Map<number, number>()));
    sequences.delete(version);
    sequences.set(version, sequence);
    for (const oldVersion of sequences.keys()) {
      if (history(key).at(oldVersion) !== undefined) break;
      sequences.delete(oldVersion);
    }
  }

  function history(key: string): ChangeHistory {
    let present = histories.get(key);
    if (present === undefined) histories.set(key, (present = createChangeHistory()));
    return present;
  }

  function append(record: JournalRecord, done: SyncCallback): void {
    if (hasFailed) return done(false);
    pendingWriteTimes.push(world.now());
    options.disk.append(record, (error) => {
      pendingWriteTimes.shift();
      if (error !== undefined) {
        fail(error);
        return done(false);
      }
      done(true);
      compactIfLarge();
    });
  }

  function fail(error: Error): void {
    if (hasFailed) return;
    hasFailed = true;
    options.failed(error);
  }

  function liveBytes(): number {
    let bytes = 0;
    for (const row of rows.values()) bytes += row.value.length + rowOverheadBytes;
    return bytes;
  }

  function compactIfLarge(): void {
    const limit = Math.max(options.compactAboveBytes ?? defaultCompactAboveBytes, compactionFactor * liveBytes());
    if (isCompacting || hasFailed || options.disk.size() < limit) return;
    isCompacting = true;
    options.disk.rewrite(snapshot(), (error) => {
      isCompacting = false;
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
    return { kind: 'disk', key: diskId, ...emptyRow, changes: [] };
  }

  function stateRecord(next: ReplicaState): JournalRecord {
    return { kind: 'state', key: next, ...emptyRow, changes: [...bootstrapDisks] };
  }

  function putRow(key: string, row: Row, changes: readonly AppliedChange[], done: SyncCallback): void {
    append(rowRecord(key, row, applyRow(key, row, changes)), done);
  }

  function putState(next: ReplicaState, done: SyncCallback): void {
    append(stateRecord(next), (ok) => {
      if (ok) state = next;
      done(ok);
    });
  }

  function changedSince(after: number): ChangedRow[] {
    return [...sequenceByKey]
      .filter(([, at]) => at > after)
      .sort((left, right) => left[1] - right[1])
      .map(([key, at]) => ({ key, sequence: at, row: rows.get(key)!, changes: changesSince(key, after) }));
  }

  function changesSince(key: string, after: number): AppliedChange[] {
    const found: AppliedChange[] = [];
    for (const [version, at] of changeSequencesByKey.get(key) ?? []) {
      const change = at > after ? history(key).at(version) : undefined;
      if (change !== undefined) found.push(change);
    }
    return found;
  }

  return {
    diskId: () => diskId,
    copySource,
    storedState: () => state,
    bootstrapDisks: () => bootstrapDisks,
    setBootstrapDisks: (disks) => {
      bootstrapDisks = [...disks];
    },
    row: (key) => rows.get(key) ?? emptyRow,
    rows: () => rows,
    history,
    putRow,
    syncRow: (key, done) => append(rowRecord(key, rows.get(key) ?? emptyRow, []), done),
    putState,
    changedSince,
    isSlow: () => hasFailed || (pendingWriteTimes.length > 0 && world.now() - pendingWriteTimes[0]! > slowWriteUs),
  };
}

function rowRecord(key: string, row: Row, changes: readonly AppliedChange[]): JournalRecord {
  const { promised, epoch, version, value } = row;
  return { kind: 'row', key, promised, epoch, version, value, changes: changes.map(encodeChange) };
}
