/**
 * The durable state of one replica: the id of its disk, the state of the replica, its rows, and the change history of
 * each row. Everything is written through to the journal, and callbacks run once the record is synced. The journal is
 * compacted into a snapshot when it has grown to several times the size of its contents.
 *
 * Every row and change has the sequence number at which this replica stored it, so that a copy can resume where it
 * stopped. Sequence numbers are valid only until the disk is reopened; `copySource` identifies the current opening.
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
 * `blank`: has no complete copy and does not vote; `voting`: a full member; `fenced`: replaced by another disk;
 * `failed`: a write to its disk failed; `unusable`: its membership record cannot be decoded or belongs to another
 * cluster.
 */
export type ReplicaState = 'blank' | 'voting' | 'fenced' | 'failed' | 'unusable';

/** Settings and callbacks of a replica's storage. */
export interface ReplicaStorageOptions {
  readonly disk: Disk;
  /** The records read from the journal when it was opened. */
  readonly storedRecords: readonly JournalRecord[];
  /** The id assigned to a disk that has none. */
  readonly newDiskId: string;
  /** Size of the journal above which it is compacted. */
  readonly compactAboveBytes?: number;
  /** Called once, when a write to the disk has failed. */
  readonly onFailed: (error: Error) => void;
}

/** A row that was stored after a sequence number, with the changes stored after it. */
export interface ChangedRow {
  readonly key: string;
  readonly sequence: number;
  readonly row: Row;
  readonly changes: readonly AppliedChange[];
}

/** Called when a write is synced (true) or has failed (false). */
export type SyncCallback = (ok: boolean) => void;

/** The durable state of one replica. */
export interface ReplicaStorage {
  readonly diskId: () => string;
  /** Identifies this opening of the disk to the replicas that copy from it. */
  readonly copySource: string;
  /** The state read from the journal when it was opened, or written last. */
  readonly storedState: () => ReplicaState;
  /** The disks that bootstrapped the cluster together with this one; empty if this one took no part. */
  readonly bootstrapDisks: () => readonly string[];
  readonly setBootstrapDisks: (disks: readonly string[]) => void;
  readonly row: (key: string) => Row;
  readonly rows: () => ReadonlyMap<string, Row>;
  readonly history: (key: string) => ChangeHistory;
  /**
   * Stores a row and its changes in memory at once; calls back when they are synced (true) or the write failed (false).
   */
  readonly putRow: (key: string, row: Row, changes: readonly AppliedChange[], done: SyncCallback) => void;
  /** Rewrites an unchanged row and calls back once it and all earlier writes are synced. */
  readonly syncRow: (key: string, done: SyncCallback) => void;
  readonly putState: (state: ReplicaState, done: SyncCallback) => void;
  /** The rows stored after a sequence number, in the order of their sequence numbers. */
  readonly changedSince: (sequence: number) => ChangedRow[];
  /** Whether a write has been pending for longer than a healthy disk takes, or a write has failed. */
  readonly isSlow: () => boolean;
}

const slowWriteUs = 400_000;
const defaultCompactAboveBytes = 8 * 1024 * 1024;
const compactionFactor = 3;
const rowOverheadBytes = 256;

/** Opens the storage with the records found on the disk; a disk without an id is assigned one. */
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

  for (const record of options.storedRecords) load(record);
  if (options.storedRecords.length === 0) append(identityRecord(), () => undefined);

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

  /** Stores a row in memory; returns those of its changes that were not known before. */
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
    let existing = histories.get(key);
    if (existing === undefined) histories.set(key, (existing = createChangeHistory()));
    return existing;
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
    options.onFailed(error);
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
    const changes: AppliedChange[] = [];
    for (const [version, at] of changeSequencesByKey.get(key) ?? []) {
      const change = at > after ? history(key).at(version) : undefined;
      if (change !== undefined) changes.push(change);
    }
    return changes;
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
