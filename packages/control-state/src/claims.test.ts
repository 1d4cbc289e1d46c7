/** Claims of Idempotency-Keys: who wins, who is told what, and how long a claim stands. */
import { expect, it } from 'vitest';
import { type ClaimOperation, claimRetentionUs, applyClaimOperation } from './claims.js';

it('grants a claim once, accepts its repeat, answers others, and restarts its age under a new leader', () => {
  const first: ClaimOperation = { op: 'claim', key: 'k', holder: 'r1#1', request: 'q', ended: '' };
  const second: ClaimOperation = { ...first, holder: 'r2#1' };
  const claimed = applyClaimOperation(Buffer.alloc(0), 8, 0, first);
  expect(claimed.result).toBe('won');
  expect(applyClaimOperation(claimed.value, 8, 1, first).result).toBe('won');
  expect(JSON.parse(applyClaimOperation(claimed.value, 8, 1, second).result)).toEqual({
    request: 'q',
    router: 'r1',
    ended: 'not known',
  });
  const ended = applyClaimOperation(claimed.value, 8, 2, { ...first, op: 'ended', ended: 'whole' });
  expect(JSON.parse(applyClaimOperation(ended.value, 8, 3, second).result)).toMatchObject({ ended: 'whole' });
  expect(applyClaimOperation(ended.value, 8, 3, first).result).not.toBe('won');
  expect(applyClaimOperation(claimed.value, 16, claimRetentionUs + 10, second).result).not.toBe('won');
  expect(applyClaimOperation(claimed.value, 8, claimRetentionUs + 10, second).result).toBe('won');
  expect(
    applyClaimOperation(applyClaimOperation(claimed.value, 8, 1, { ...second, op: 'release' }).value, 8, 2, second)
      .result,
  ).not.toBe('won');
  expect(
    applyClaimOperation(applyClaimOperation(claimed.value, 8, 1, { ...first, op: 'release' }).value, 8, 2, second)
      .result,
  ).toBe('won');
});
