/**
 * A simulated disk with synced and unsynced bytes. A crash keeps a prefix of the unsynced bytes, cut at any byte. The
 * disk can be slow, stall, be full, or lose all its data.
 */
import type { Disk, JournalRecord } from '@tansypost/control-state';
import { encodeRecord, encodeSnapshot } from '@tansypost/control-state';
import type { Engine } from './engine.js';
import { deliver, type SimProcess } from './process.js';

export interface SimDisk {
  readonly open: (owner: SimProcess) => Disk;
  readonly bytes: () => Buffer;
  /** Truncates a torn tail, as opening the file does. */
  readonly truncate: (validBytes: number) => void;
  readonly crash: () => void;
  /** Loses all data, synced or not. */
  readonly wipe: () => void;
  /** Alters one byte that is followed by complete records. */
  readonly corrupt: () => void;
  /** Added to the time of each operation. */
  extraLatencyUs: number;
  /** While stalled, no operation completes. */
  stalled: boolean;
  full: boolean;
  /** Ends a stall and completes the stalled operations. */
  readonly resume: () => void;
}

export function createSimDisk(engine: Engine, random: () => number): SimDisk {
  let synced: Buffer = Buffer.alloc(0);
  let unsynced: Buffer = Buffer.alloc(0);
  // Increases on each crash or wipe, so that operations that were open by then are dropped.
  let generation = 0;
  let stalledOperations: (() => void)[] = [];

  function open(owner: SimProcess): Disk {
    const incarnation = owner.incarnation;
    const openedGeneration = generation;
    let lastCompletion = 0;
    /** Completes operations in order, each after a random time. */
    function complete(operation: () => void): void {
      const time = Math.max(engine.now() + 300 + random() * 2500 + disk.extraLatencyUs, lastCompletion + 1);
      lastCompletion = time;
      engine.at(time, () => {
        if (disk.stalled) stalledOperations.push(operation);
        else operation();
      });
    }
    function notify(done: (error?: Error) => void, error?: Error): void {
      deliver(owner, incarnation, () => done(error));
    }
    function append(record: JournalRecord, done: (error?: Error) => void): void {
      const encoded = encodeRecord(record);
      if (!disk.full) unsynced = Buffer.concat([unsynced, encoded]);
      const wasFull = disk.full;
      const unsyncedLength = unsynced.length;
      complete(() => {
        if (openedGeneration !== generation || owner.incarnation !== incarnation) return;
        if (wasFull) return notify(done, new Error('no space left on the disk'));
        const syncedLength = Math.min(unsyncedLength, encoded.length, unsynced.length);
        synced = Buffer.concat([synced, unsynced.subarray(0, syncedLength)]);
        unsynced = unsynced.subarray(syncedLength);
        notify(done);
      });
    }
    function rewrite(records: readonly JournalRecord[], done: (error?: Error) => void): void {
      const snapshot = encodeSnapshot(records);
      complete(() => {
        if (openedGeneration !== generation || owner.incarnation !== incarnation) return;
        if (disk.full) return notify(done, new Error('no space left on the disk'));
        synced = snapshot;
        notify(done);
      });
    }
    return { append, rewrite, size: () => synced.length + unsynced.length };
  }

  const disk: SimDisk = {
    open,
    extraLatencyUs: 0,
    stalled: false,
    full: false,
    bytes: () => synced,
    truncate: (validBytes) => {
      synced = synced.subarray(0, validBytes);
    },
    crash: () => {
      generation += 1;
      stalledOperations = [];
      synced = Buffer.concat([synced, unsynced.subarray(0, Math.floor(random() * (unsynced.length + 1)))]);
      unsynced = Buffer.alloc(0);
    },
    wipe: () => {
      generation += 1;
      stalledOperations = [];
      synced = Buffer.alloc(0);
      unsynced = Buffer.alloc(0);
    },
    corrupt: () => {
      const corrupted = Buffer.from(synced);
      const position = Math.floor((0.1 + 0.6 * random()) * corrupted.length);
      if (corrupted.length > 0) corrupted[position] = corrupted[position]! ^ 0x55;
      synced = corrupted;
    },
    resume: () => {
      disk.stalled = false;
      const operations = stalledOperations;
      stalledOperations = [];
      for (const operation of operations) engine.at(engine.now(), operation);
    },
  };
  return disk;
}
