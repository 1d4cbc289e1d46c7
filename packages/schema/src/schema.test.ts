/** Schemas against arbitrary JSON: what they accept has the type that they claim. */
import * as E from 'fp-ts/lib/Either.js';
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { decodeJson } from './json.js';
import { flag, listOf, nonNegative, object, optional, recordOf, text, textMatching } from './schema.js';

const report = recordOf({ count: nonNegative(), name: text, on: optional(flag), tags: listOf(text) });

it('accepts no JSON value that lacks the type', () => {
  const anyField = fc.oneof(fc.jsonValue(), fc.double(), fc.constant('x'), fc.constant([]), fc.constant(2 ** 64));
  const anyReport = fc.record(
    { count: anyField, name: anyField, on: anyField, tags: anyField },
    { requiredKeys: [], noNullPrototype: true },
  );
  fc.assert(
    fc.property(fc.oneof(fc.jsonValue(), anyReport), (value) => {
      const decoded = decodeJson(Buffer.from(JSON.stringify(value)), report);
      if (E.isLeft(decoded)) return;
      expect(Number.isSafeInteger(Math.round(decoded.right.count))).toBe(true);
      expect(typeof decoded.right.name).toBe('string');
      expect([undefined, null, true, false]).toContain(decoded.right.on);
      expect(decoded.right.tags.every((tag) => typeof tag === 'string')).toBe(true);
    }),
    { seed: 44, numRuns: 2000 },
  );
});

it('accepts sound values, with fields that it does not know', () => {
  const sound = { count: 3, name: 'n', tags: ['a'], more: null };
  expect(decodeJson(Buffer.from(JSON.stringify(sound)), report)).toEqual(E.right(sound));
});

it.each([null, 0, 'x', [], [1], true])('rejects %j as an object', (value) => {
  expect(object.accepts(value)).toBe(false);
  expect(E.isLeft(decodeJson(Buffer.from(JSON.stringify(value)), report))).toBe(true);
});

it('rejects numbers that are not finite, negative, or too large', () => {
  const schema = nonNegative(10);
  expect([0, 1.5, 10].every(schema.accepts)).toBe(true);
  expect([-1, 10.1, NaN, Infinity, 2 ** 64, '1', null, undefined].some(schema.accepts)).toBe(false);
});

it('rejects text that does not match, and says what it expects without quoting what it got', () => {
  const address = textMatching(/^\d+:\d+$/, 'an address');
  expect(address.accepts('1:2')).toBe(true);
  expect(address.accepts('1:2\n3:4')).toBe(false);
  expect(decodeJson(Buffer.from('{"key":"secret"'), recordOf({ address }))).toEqual(E.left('not valid JSON'));
  expect(decodeJson(Buffer.from('{"address":"secret"}'), recordOf({ address }))).toEqual(
    E.left('not an object with address (an address)'),
  );
});
