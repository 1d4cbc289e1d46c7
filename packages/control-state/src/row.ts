/**
 * One key of the control state as one replica stores it. An epoch is the number of a leader's term (a Paxos ballot
 * number). `promised` is the highest epoch that this replica has promised to a leader; the value was written under
 * `epoch` as version `version`.
 */
export interface Row {
  readonly promised: number;
  readonly epoch: number;
  readonly version: number;
  readonly value: Buffer;
}

/** Orders the values of one key: by epoch, then by version. */
export type RowVersion = Pick<Row, 'epoch' | 'version'>;

/** The row of a key that a replica does not know. */
export const emptyRow: Row = { promised: 0, epoch: 0, version: 0, value: Buffer.alloc(0) };

/** Whether `left` is newer than `right`. */
export function isNewer(left: RowVersion, right: RowVersion): boolean {
  return left.epoch > right.epoch || (left.epoch === right.epoch && left.version > right.version);
}

/** Returns the newer of two values with the higher of the two promises. */
export function mergeRows(left: Row, right: Row): Row {
  const { epoch, version, value } = isNewer(right, left) ? right : left;
  return { promised: Math.max(left.promised, right.promised), epoch, version, value };
}

const slots = 16;

/** The next epoch for the replica on a slot: higher than `seen`, and never equal to an epoch of another slot. */
export function nextEpoch(seen: number, slot: number): number {
  return (Math.floor(seen / slots) + 1) * slots + slot;
}
