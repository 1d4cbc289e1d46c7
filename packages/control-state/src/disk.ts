/**
 * The disk interface of a replica. `append` calls back once the record is synced. Records are synced in the order
 * given; records that are pending at the same time may share a sync. `rewrite` atomically replaces the file by the
 * given records.
 */
import type { JournalRecord } from './journal.js';

/** An append-only file that can be replaced atomically. */
export interface Disk {
  readonly append: (record: JournalRecord, done: (error?: Error) => void) => void;
  readonly rewrite: (records: readonly JournalRecord[], done: (error?: Error) => void) => void;
  readonly size: () => number;
}
