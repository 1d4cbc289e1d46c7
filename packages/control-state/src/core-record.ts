// Which disk holds which of the core's places, three to nine of them. It is itself a key, written under the same
// epochs; its epoch is the generation that every core message carries, so that a place which was
// replaced is fenced by those that remain.
import type { ReplicaEntry } from '@tansypost/inner-protocol';

export const membershipKey = 'core';

export interface MembershipRecord {
  readonly membershipEpoch: number;
  readonly replicas: readonly ReplicaEntry[];
}

export const noMembership: MembershipRecord = { membershipEpoch: 0, replicas: [] };

export function encodeMembership(ps: readonly ReplicaEntry[]): Buffer {
  return Buffer.from(JSON.stringify(ps.map((p) => ({ slot: p.slot, address: p.address, disk: p.disk }))));
}

export function decodeMembership(membershipEpoch: number, b: Buffer): MembershipRecord {
  return membershipEpoch === 0 || b.length === 0
    ? noMembership
    : { membershipEpoch, replicas: JSON.parse(b.toString()) as ReplicaEntry[] };
}

export function majorityOf(replicas: number): number {
  return Math.floor(replicas / 2) + 1;
}

// From how many of the others a new place copies: whatever a majority holds, or has promised, one of them has.
export function copiesNeeded(replicas: number): number {
  return replicas - majorityOf(replicas) + 1;
}

export function addTo(c: MembershipRecord, address: string, disk: string): ReplicaEntry[] {
  const taken = new Set(c.replicas.map((p) => p.slot));
  let slot = 0;
  while (taken.has(slot)) slot += 1;
  return [...c.replicas, { slot, address, disk }];
}

export function replaceIn(c: MembershipRecord, p: ReplicaEntry): ReplicaEntry[] {
  return c.replicas.map((x) => (x.slot === p.slot ? p : x));
}
