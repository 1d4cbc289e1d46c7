/**
 * Fleet-wide claims of Idempotency-Keys. Each Idempotency-Key hashes to one of 256 buckets, and a bucket is one key of
 * the control state, so a claim is on a majority of the disks before it is answered. Claims that reach a bucket at the
 * same time are written together, and the disk syncs the records of all buckets together. A claim is kept for longer
 * than the longest request deadline. Its age is measured by the clock of the bucket's leader and restarts at zero under
 * a new one.
 */
import { hash32 } from '@tansypost/inner-protocol';

/**
 * A claim: which router process holds the Idempotency-Key, for which request, and how that request ended (empty while
 * it runs). `at` is in microseconds of the leader's clock.
 */
export interface IdempotencyClaim {
  readonly holder: string;
  readonly request: string;
  readonly ended: string;
  readonly at: number;
}
interface Bucket {
  epoch: number;
  claims: { [key: string]: IdempotencyClaim };
}
/** A router's operation on an Idempotency-Key: claim it, release it, or record how its request ended. */
export type ClaimOperation = {
  readonly op: 'claim' | 'release' | 'ended';
  readonly key: string;
  readonly holder: string;
  readonly request: string;
  readonly ended: string;
};

/** Retention of a claim. */
export const claimRetentionUs = 900_000_000;

/** The control-state key of the bucket that an Idempotency-Key belongs to. */
export function claimBucketKey(idempotencyKey: string): string {
  return `claim/${(hash32(idempotencyKey) % 256).toString(16).padStart(2, '0')}`;
}

/**
 * Applies an operation to a bucket. Returns the new bucket and either `won` or, as JSON, what is known about the
 * request that holds the claim.
 */
export function applyClaimOperation(
  bytes: Buffer,
  epoch: number,
  now: number,
  operation: ClaimOperation,
): { value: Buffer; result: string } {
  const stored: Bucket = bytes.length === 0 ? { epoch, claims: {} } : (JSON.parse(bytes.toString()) as Bucket);
  const claims = new Map(
    Object.entries(stored.claims).map(([key, entry]) => [key, stored.epoch === epoch ? entry : { ...entry, at: now }]),
  );
  for (const [key, entry] of claims) if (now - entry.at > claimRetentionUs) claims.delete(key);
  const existing = claims.get(operation.key);
  let result = 'won';
  if (operation.op === 'claim') {
    if (existing === undefined)
      claims.set(operation.key, { holder: operation.holder, request: operation.request, ended: '', at: now });
    else if (existing.holder !== operation.holder || existing.request !== operation.request || existing.ended !== '')
      result = JSON.stringify({
        request: existing.request,
        router: existing.holder.split('#')[0],
        ended: existing.ended === '' ? 'not known' : existing.ended,
      });
  } else if (existing !== undefined && existing.holder === operation.holder && existing.request === operation.request) {
    if (operation.op === 'release') claims.delete(operation.key);
    else claims.set(operation.key, { ...existing, ended: operation.ended });
  }
  return { value: Buffer.from(JSON.stringify({ epoch, claims: Object.fromEntries(claims) })), result };
}
