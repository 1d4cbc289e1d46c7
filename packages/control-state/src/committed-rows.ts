/**
 * The newest row of each key that this node knows to be committed, that is, on a majority. It knows so from its own
 * leader of the key, or from another node's leader that announced exactly the row which is on this disk. A committed
 * row stays committed; it can only become outdated.
 */
import type { NodeContext } from './node-context.js';
import { emptyRow, isNewer, type Row, type RowVersion } from './row.js';

/** The newest committed rows known to a node. */
export interface CommittedRows {
  readonly newest: (key: string) => Row;
  /** Records that another leader has announced a row as committed. */
  readonly onAnnounced: (key: string, stamp: RowVersion) => void;
  /** Records a row that this node's own leader has written to a majority. */
  readonly onWritten: (key: string, row: Row) => void;
}

/** Creates the table of committed rows of a node. */
export function createCommittedRows(node: Pick<NodeContext, 'replica' | 'leaders'>): CommittedRows {
  const announcements = new Map<string, RowVersion>();
  const rows = new Map<string, Row>();

  function onWritten(key: string, row: Row): void {
    if (isNewer(row, rows.get(key) ?? emptyRow)) rows.set(key, row);
  }

  function onAnnounced(key: string, stamp: RowVersion): void {
    const announced = announcements.get(key);
    if (announced === undefined || isNewer(stamp, announced)) announcements.set(key, stamp);
  }

  function newest(key: string): Row {
    const stamp = announcements.get(key);
    const stored = node.replica.row(key);
    if (stamp !== undefined && stored.epoch === stamp.epoch && stored.version === stamp.version) onWritten(key, stored);
    return rows.get(key) ?? emptyRow;
  }

  return { newest, onAnnounced, onWritten };
}
