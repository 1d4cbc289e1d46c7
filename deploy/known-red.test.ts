/** The form of KNOWN-RED.txt, which the CI script reads. */
import { expect, it } from 'vitest';
import { parseKnownRed } from '../.ci/known-red.mjs';

const entry = 'a test | npx vitest run a.test.ts, seed 5 | 247 MB of 220 | 12';

it('reads the four fields, and runs only what vitest knows', () => {
  expect(parseKnownRed(`${entry}\n\nsoak | npm run soak -- --from 3 --seeds 1 | a router is not back | 47\n`)).toEqual([
    { name: 'a test', command: 'npx vitest run a.test.ts, seed 5', seen: '247 MB of 220', issue: '12', isVitest: true },
    {
      name: 'soak',
      command: 'npm run soak -- --from 3 --seeds 1',
      seen: 'a router is not back',
      issue: '47',
      isVitest: false,
    },
  ]);
  expect(parseKnownRed('')).toEqual([]);
});

it('allows three entries, and any number of issue 47', () => {
  function entries(count: number, issue: string): string {
    return Array.from({ length: count }, (_, index) => `test ${index} | npm test | seen | ${issue}`).join('\n');
  }
  expect(parseKnownRed(entries(3, '12'))).toHaveLength(3);
  expect(() => parseKnownRed(entries(4, '12'))).toThrow('3 at the most');
  expect(parseKnownRed(entries(9, 'issue 47'))).toHaveLength(9);
  expect(() => parseKnownRed(entries(4, '147'))).toThrow('3 at the most');
});

it.each(['a test | cause | 12', 'a test | npm test | | 12', `${entry}\n${entry}`])('rejects %s', (text) => {
  expect(() => parseKnownRed(text)).toThrow('KNOWN-RED.txt');
});
