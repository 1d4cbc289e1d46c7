/**
 * The newest row of each key that this node knows to be on a majority: from its own leader of the key, or from another
 * one that told so of the very row which stands on this disk. What was committed stays so; it can only become old.
 */
import type { NodeContext } from './node-context.js';
import { emptyRow, isNewer, type Row, type RowVersion } from './row.js';

/** The newest committed rows that a node knows. */
export interface CommittedRows {
  readonly newest: (key: string) => Row;
  /** Takes in that a leader has told a row to be on a majority. */
  readonly announced: (key: string, stamp: RowVersion) => void;
  /** Takes in a row that this node's own leader has written. */
  readonly written: (key: string, row: Row) => void;
}

/** Makes the table of committed rows of a node. */
export function createCommittedRows(cluster: Pick<NodeContext, 'replica' | 'leaders'>): CommittedRows {
  const announcements = new Map<string, RowVersion>();
  const rows = new Map<string, Row>();

  function written(key: string, row: Row): void {
    if (isNewer(row, rows.get(key) ?? emptyRow)) rows.set(key, row);
  }

  function announced(key: string, stamp: RowVersion): void {
    const known = announcements.get(key);
    if (known === undefined || isNewer(stamp, known)) announcements.set(key, stamp);
  }

  function newest(key: string): Row {
    const stamp = announcements.get(key);
    const stored = cluster.replica.row(key);
    if (stamp !== undefined && stored.epoch === stamp.epoch && stored.version === stamp.version) written(key, stored);
    return rows.get(key) ?? emptyRow;
  }

  return { newest, announced, written };
}
