/**
 * Claims of Idempotency-Keys, fleet-wide: each key falls into one of 256 buckets, and a bucket is one key of the
 * control state, so a claim is on a majority of the disks before it is answered. Claims that reach a bucket
 * together are written together, and the disk syncs all buckets' records together. A claim is kept longer than
 * the longest budget; its age is counted by the owner's clock and starts anew with each new owner.
 */
import { hash32 } from '@tansypost/inner-protocol';

/** Who holds a key, for which request, and how that ended; `at` is in microseconds of the leader's clock. */
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
/** What a router asks for a key: to claim it, to give it back, or to tell how its request ended. */
export type ClaimOperation = {
  readonly op: 'claim' | 'release' | 'ended';
  readonly key: string;
  readonly holder: string;
  readonly request: string;
  readonly ended: string;
};

/** How long a claim is kept, in microseconds. */
export const claimRetentionUs = 900_000_000;

/** The key of the control state that holds the bucket of an Idempotency-Key. */
export function claimBucketKey(k: string): string {
  return `claim/${(hash32(k) % 256).toString(16).padStart(2, '0')}`;
}

// Gives the bucket after the operation, and `won`, or what is known of the one who holds the claim.
export function applyClaimOperation(
  b: Buffer,
  epoch: number,
  now: number,
  c: ClaimOperation,
): { value: Buffer; result: string } {
  const x: Bucket = b.length === 0 ? { epoch, claims: {} } : (JSON.parse(b.toString()) as Bucket);
  const claims = new Map(Object.entries(x.claims).map(([k, e]) => [k, x.epoch === epoch ? e : { ...e, at: now }]));
  for (const [k, e] of claims) if (now - e.at > claimRetentionUs) claims.delete(k);
  const had = claims.get(c.key);
  let result = 'won';
  if (c.op === 'claim') {
    if (had === undefined) claims.set(c.key, { holder: c.holder, request: c.request, ended: '', at: now });
    else if (had.holder !== c.holder || had.request !== c.request || had.ended !== '')
      result = JSON.stringify({
        request: had.request,
        router: had.holder.split('#')[0],
        ended: had.ended === '' ? 'not known' : had.ended,
      });
  } else if (had !== undefined && had.holder === c.holder && had.request === c.request) {
    if (c.op === 'release') claims.delete(c.key);
    else claims.set(c.key, { ...had, ended: c.ended });
  }
  return { value: Buffer.from(JSON.stringify({ epoch, claims: Object.fromEntries(claims) })), result };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  it('lets one holder win, forgives its repeat, tells others what is known, and keeps it long over a new owner', () => {
    const a: ClaimOperation = { op: 'claim', key: 'k', holder: 'r1#1', request: 'q', ended: '' };
    const b: ClaimOperation = { ...a, holder: 'r2#1' };
    const one = applyClaimOperation(Buffer.alloc(0), 8, 0, a);
    expect(one.result).toBe('won');
    expect(applyClaimOperation(one.value, 8, 1, a).result).toBe('won');
    expect(JSON.parse(applyClaimOperation(one.value, 8, 1, b).result)).toEqual({
      request: 'q',
      router: 'r1',
      ended: 'not known',
    });
    const done = applyClaimOperation(one.value, 8, 2, { ...a, op: 'ended', ended: 'whole' });
    expect(JSON.parse(applyClaimOperation(done.value, 8, 3, b).result)).toMatchObject({ ended: 'whole' });
    expect(applyClaimOperation(done.value, 8, 3, a).result).not.toBe('won');
    expect(applyClaimOperation(one.value, 16, claimRetentionUs + 10, b).result).not.toBe('won');
    expect(applyClaimOperation(one.value, 8, claimRetentionUs + 10, b).result).toBe('won');
    expect(
      applyClaimOperation(applyClaimOperation(one.value, 8, 1, { ...b, op: 'release' }).value, 8, 2, b).result,
    ).not.toBe('won');
    expect(
      applyClaimOperation(applyClaimOperation(one.value, 8, 1, { ...a, op: 'release' }).value, 8, 2, b).result,
    ).toBe('won');
  });
}
