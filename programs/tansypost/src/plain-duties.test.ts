/** What operators read of the duties. */
import { expect, it } from 'vitest';
import { plainDuties } from './plain-duties.js';

it('names the holder, the fence and what is open, owed and late', () => {
  const open = [{ id: 7, subject: 'windows', content: '{}', age: 12_340_000, failures: 3 }];
  const text = plainDuties({
    holder: { duty: 'platform duties', holder: 'core-1', address: '10.1.0.16:7720', epoch: 65 },
    duties: [
      { duty: 'usage', fence: 12, open, waiting: 2 },
      { duty: 'scale', fence: undefined, open: [], waiting: 0 },
    ],
  });
  expect(text).toBe(`holder: core-1 at 10.1.0.16:7720
usage: fence 12, 1 open
  open    windows, for 12.3 s, 3 calls without a clear answer
  waiting 2 calls that have no place in the record yet
scale: no term at this node, 0 open
`);
});

it('says so where no holder is known', () => {
  expect(plainDuties({ holder: undefined, duties: [] })).toBe('holder: not known here\n');
});
