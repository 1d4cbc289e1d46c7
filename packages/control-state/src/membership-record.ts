/**
 * The membership record: which disks hold the replicas of the control cluster. It is itself a key of the control state.
 * The epoch it was written under is the membership epoch: every message between replicas carries it, so that a replica
 * that was replaced is refused by those that remain.
 */
import * as E from 'fp-ts/lib/Either.js';
import { UnreadableMembershipError, type ReplicaEntry } from '@tansypost/inner-protocol';

/** The key under which the membership record is kept. */
export const membershipKey = 'core';

/** The members of a cluster under one membership epoch. */
export interface MembershipRecord {
  /** 0 as long as no record is known. */
  readonly membershipEpoch: number;
  /** Names the cluster for as long as it lives; empty where a release that gave clusters no name founded it. */
  readonly cluster: string;
  readonly replicas: readonly ReplicaEntry[];
}

/** What a disk knows that belongs to no cluster. */
export const noMembership: MembershipRecord = { membershipEpoch: 0, cluster: '', replicas: [] };

/** The form in which the record is written. Earlier releases wrote the bare list of replicas. */
const recordFormat = 2;

/** Encodes the members of a record; the epoch is kept beside it, as that of the row. */
export function encodeMembership(cluster: string, replicas: readonly ReplicaEntry[]): Buffer {
  const entries = replicas.map(({ slot, address, disk }) => ({ slot, address, disk }));
  return Buffer.from(JSON.stringify({ format: recordFormat, cluster, replicas: entries }));
}

/** Reads a record in this form or the earlier one. `UnreadableMembershipError` if it is neither. */
export function decodeMembership(membershipEpoch: number, bytes: Buffer): E.Either<Error, MembershipRecord> {
  if (membershipEpoch === 0 || bytes.length === 0) return E.right(noMembership);
  const parsed = parseJson(bytes);
  if (isEntries(parsed)) return E.right({ membershipEpoch, cluster: '', replicas: parsed });
  if (!isObject(parsed)) return E.left(damaged());
  if (typeof parsed['format'] === 'number' && parsed['format'] > recordFormat) return E.left(fromNewerRelease());
  const { format, cluster, replicas } = parsed;
  if (format !== recordFormat || typeof cluster !== 'string' || !isEntries(replicas)) return E.left(damaged());
  return E.right({ membershipEpoch, cluster, replicas });
}

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString());
  } catch {
    return undefined;
  }
}

function isObject(value: unknown): value is { readonly [field: string]: unknown } {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isEntries(value: unknown): value is ReplicaEntry[] {
  return Array.isArray(value) && value.length > 0 && value.every(isEntry);
}

function isEntry(value: unknown): boolean {
  if (!isObject(value)) return false;
  return Number.isInteger(value['slot']) && typeof value['address'] === 'string' && typeof value['disk'] === 'string';
}

function damaged(): Error {
  return new UnreadableMembershipError(
    'The membership record on this disk cannot be read. The replica does not vote; empty its data folder, so that it copies from the others.',
  );
}

function fromNewerRelease(): Error {
  return new UnreadableMembershipError(
    'The membership record on this disk was written by a newer release. The replica does not vote; start that release again.',
  );
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
