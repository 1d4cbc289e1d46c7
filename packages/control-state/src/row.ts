/**
 * One key of the control state as one replica holds it. `promised` is the highest epoch that this replica has promised
 * to a leader; `epoch` and `version` say under which leader and as which version the value was written.
 */
export interface Row {
  readonly promised: number;
  readonly epoch: number;
  readonly version: number;
  readonly value: Buffer;
}

/** What orders two values of one key: the epoch first, then the version. */
export type RowVersion = Pick<Row, 'epoch' | 'version'>;

/** What a replica holds of a key that it never heard of. */
export const emptyRow: Row = { promised: 0, epoch: 0, version: 0, value: Buffer.alloc(0) };

/** Whether the left one is newer than the right one. */
export function isNewer(left: RowVersion, right: RowVersion): boolean {
  return left.epoch > right.epoch || (left.epoch === right.epoch && left.version > right.version);
}

/** The newer value of two, under the higher promise of the two. */
export function mergeRows(left: Row, right: Row): Row {
  const { epoch, version, value } = isNewer(right, left) ? right : left;
  return { promised: Math.max(left.promised, right.promised), epoch, version, value };
}

const slots = 16;

/** The next epoch that the replica on a slot may use: above what was seen, and never the same for two slots. */
export function nextEpoch(seen: number, slot: number): number {
  return (Math.floor(seen / slots) + 1) * slots + slot;
}
