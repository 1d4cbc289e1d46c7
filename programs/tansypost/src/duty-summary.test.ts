/** The text that `tansypost duties` prints. */
import { expect, it } from 'vitest';
import { summarizeDuties } from './duty-summary.js';

it('prints the leader, the fencing token, and the open and pending calls', () => {
  const open = [{ id: 7, subject: 'windows', content: '{}', age: 12_340_000, failures: 3 }];
  const text = summarizeDuties({
    holder: { duty: 'platform duties', holder: 'core-1', address: '10.1.0.16:7720', epoch: 65 },
    duties: [
      { duty: 'usage', fence: 12, open, waiting: 2 },
      { duty: 'scale', fence: undefined, open: [], waiting: 0 },
    ],
  });
  expect(text).toBe(`holder: core-1 at 10.1.0.16:7720
usage: fence 12, 1 open
  open    windows, for 12.3 s, 3 calls with unknown outcome
  waiting 2 calls not yet in the stored record
scale: no term at this node, 0 open
`);
});

it('says that the leader is unknown', () => {
  expect(summarizeDuties({ holder: undefined, duties: [] })).toBe('holder: unknown to this node\n');
});
