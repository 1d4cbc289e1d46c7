/**
 * What a place asks of its disk. `append` calls back once the record is synced; records are synced
 * in the order given, several in one sync where they wait together. `rewrite` replaces the file by
 * the records given, whole or not at all.
 */
import type { JournalRecord } from './journal.js';

/** An append-only file that can be replaced whole. */
export interface Disk {
  readonly append: (r: JournalRecord, done: (e?: Error) => void) => void;
  readonly rewrite: (rs: readonly JournalRecord[], done: (e?: Error) => void) => void;
  readonly size: () => number;
}
