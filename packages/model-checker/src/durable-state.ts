/** The state that a restart recovers from a disk, built from the journal's records. */
import * as E from 'fp-ts/lib/Either.js';
import { decodeMembership, membershipKey, type JournalRecord } from '@tansypost/control-state';
import type { ReplicaEntry } from '@tansypost/inner-protocol';

/** One key as stored in the synced part of a disk. */
export interface DurableRow {
  readonly promised: number;
  readonly epoch: number;
  readonly version: number;
  readonly value: Buffer;
}

/** The identity, the replica state and the rows on a disk; the identity is empty on a disk that was never used. */
export interface DurableState {
  disk: string;
  state: string;
  readonly rows: Map<string, DurableRow>;
}

/** A membership record and its epoch. */
export interface Membership {
  readonly epoch: number;
  readonly replicas: readonly ReplicaEntry[];
}

/** The durable state of an empty disk. */
export function emptyDurableState(): DurableState {
  return { disk: '', state: 'blank', rows: new Map() };
}

/** Applies one more synced record. */
export function applyRecord(state: DurableState, record: JournalRecord): void {
  if (record.kind === 'disk') state.disk = record.key;
  if (record.kind === 'state') state.state = record.key;
  if (record.kind !== 'row') return;
  const { promised, epoch, version, value } = record;
  state.rows.set(record.key, { promised, epoch, version, value });
}

const decoded = new WeakMap<DurableRow, Membership>();

/** The membership record on a disk. Throws if it cannot be decoded, which ends the run. */
export function membershipOf(state: DurableState): Membership | undefined {
  const row = state.rows.get(membershipKey);
  if (row === undefined || row.value.length === 0) return undefined;
  let membership = decoded.get(row);
  if (membership === undefined) {
    const record = decodeMembership(row.epoch, row.value);
    if (E.isLeft(record)) throw record.left;
    membership = { epoch: row.epoch, replicas: record.right.replicas };
    decoded.set(row, membership);
  }
  return membership;
}

/** The disks of a membership, sorted and joined, to compare memberships. */
export function disksOf(membership: Membership): string {
  return membership.replicas
    .map((replica) => replica.disk)
    .sort()
    .join();
}
