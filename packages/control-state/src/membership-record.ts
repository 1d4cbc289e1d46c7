/**
 * The membership record: which disks hold the replicas of the control cluster. It is itself a key of the control state.
 * The epoch it was written under is the membership epoch: every message between replicas carries it, so that a replica
 * that was replaced is refused by those that remain.
 */
import type { ReplicaEntry } from '@tansypost/inner-protocol';

/** The key under which the membership record is kept. */
export const membershipKey = 'core';

export interface MembershipRecord {
  /** 0 as long as no record is known. */
  readonly membershipEpoch: number;
  readonly replicas: readonly ReplicaEntry[];
}

export const noMembership: MembershipRecord = { membershipEpoch: 0, replicas: [] };

/** Encodes the members of a record; the epoch is kept beside it, as that of the row. */
export function encodeMembership(replicas: readonly ReplicaEntry[]): Buffer {
  return Buffer.from(JSON.stringify(replicas.map(({ slot, address, disk }) => ({ slot, address, disk }))));
}

export function decodeMembership(membershipEpoch: number, bytes: Buffer): MembershipRecord {
  if (membershipEpoch === 0 || bytes.length === 0) return noMembership;
  return { membershipEpoch, replicas: JSON.parse(bytes.toString()) as ReplicaEntry[] };
}

/** The smallest number of replicas of which any two sets meet. */
export function majorityOf(replicas: number): number {
  return Math.floor(replicas / 2) + 1;
}

/** From how many of the others a new replica copies: one of so many holds whatever a majority holds or has promised. */
export function copiesNeeded(replicas: number): number {
  return replicas - majorityOf(replicas) + 1;
}

/** The members with one more, on the lowest slot that is free. */
export function withAdded(record: MembershipRecord, address: string, disk: string): ReplicaEntry[] {
  const taken = new Set(record.replicas.map((replica) => replica.slot));
  let slot = 0;
  while (taken.has(slot)) slot += 1;
  return [...record.replicas, { slot, address, disk }];
}

/** The members with another disk on one slot. */
export function withReplaced(record: MembershipRecord, successor: ReplicaEntry): ReplicaEntry[] {
  return record.replicas.map((replica) => (replica.slot === successor.slot ? successor : replica));
}
