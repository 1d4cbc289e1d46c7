/** Settings of the programs: the first invalid field is named in one line. */
import * as E from 'fp-ts/lib/Either.js';
import { expect, it } from 'vitest';
import { readSettings, RouterSettings } from './settings.js';

const valid = { member: 'm', zone: 'z', listen: '127.0.0.1:1', agent: '127.0.0.1:2', http: '127.0.0.1:3' };
it('names the invalid field in one line, for each field altered in turn', () => {
  expect(E.isRight(readSettings(RouterSettings, { flags: valid }))).toBe(true);
  for (const [field, value] of [
    ['member', ''],
    ['zone', ''],
    ['listen', 'localhost'],
    ['agent', '5'],
    ['http', undefined],
    ['bodyLimit', 'x'],
    ['memoryMb', 63],
    ['maxDescriptors', 'many'],
    ['colour', 'red'],
  ] as const) {
    const result = readSettings(RouterSettings, { flags: { ...valid, [field]: value } });
    expect(E.isLeft(result) && result.left.message).toContain(`settings field ${field}`);
    expect(E.isLeft(result) && result.left.message.includes('\n')).toBe(false);
  }
});
