/**
 * The membership record lists the disks that hold the replicas of the control cluster. It is itself a key of the
 * control state. The epoch under which it was written is the membership epoch. Every message between replicas carries
 * it, so that the current members refuse a replica that was replaced.
 */
import * as E from 'fp-ts/lib/Either.js';
import { UnreadableMembershipError, type ReplicaEntry } from '@tansypost/inner-protocol';

/** The key under which the membership record is kept. */
export const membershipKey = 'core';

/** The members of a cluster under one membership epoch. */
export interface MembershipRecord {
  /** 0 if no record is known. */
  readonly membershipEpoch: number;
  /** Name of the cluster, which never changes; empty if a release without cluster names bootstrapped it. */
  readonly cluster: string;
  readonly replicas: readonly ReplicaEntry[];
}

/** The record of a disk that belongs to no cluster. */
export const noMembership: MembershipRecord = { membershipEpoch: 0, cluster: '', replicas: [] };

/** Format version of the record. Earlier releases wrote only the list of replicas. */
const recordFormat = 2;

/** Encodes the cluster name and members of a record; its epoch is stored as the epoch of the row. */
export function encodeMembership(cluster: string, replicas: readonly ReplicaEntry[]): Buffer {
  const entries = replicas.map(({ slot, address, disk }) => ({ slot, address, disk }));
  return Buffer.from(JSON.stringify({ format: recordFormat, cluster, replicas: entries }));
}

/** Decodes a record in the current or the earlier format. Left is `UnreadableMembershipError` if it is neither. */
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
    'The membership record on this disk cannot be decoded. The replica does not vote; empty its data folder so that it copies from the others.',
  );
}

function fromNewerRelease(): Error {
  return new UnreadableMembershipError(
    'The membership record on this disk was written by a newer release. The replica does not vote; start that release again.',
  );
}

/** The smallest number of replicas such that any two sets of that size overlap. */
export function majorityOf(replicas: number): number {
  return Math.floor(replicas / 2) + 1;
}

/**
 * The number of sources that a new replica copies from. Any majority includes at least one of them, so together they
 * hold whatever a majority holds or has promised.
 */
export function requiredCopies(replicas: number): number {
  return replicas - majorityOf(replicas) + 1;
}

/** The members with one more replica on the lowest free slot. */
export function withAdded(record: MembershipRecord, address: string, disk: string): ReplicaEntry[] {
  const takenSlots = new Set(record.replicas.map((replica) => replica.slot));
  let slot = 0;
  while (takenSlots.has(slot)) slot += 1;
  return [...record.replicas, { slot, address, disk }];
}

/** The members with the replica on one slot replaced. */
export function withReplaced(record: MembershipRecord, successor: ReplicaEntry): ReplicaEntry[] {
  return record.replicas.map((replica) => (replica.slot === successor.slot ? successor : replica));
}
