/** The change history: lookup, retention, and its journal format. */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { createChangeHistory, decodeChange, encodeChange } from './change-history.js';

it('finds a change by its id up to the given version, and forgets only changes beyond its retention', () => {
  const history = createChangeHistory(100);
  for (let version = 1; version <= 250; version += 1) history.add({ id: `c${version}`, version, epoch: 16 });
  expect(history.versionOf('c250', 250)).toBe(250);
  expect(history.versionOf('c250', 249)).toBeUndefined();
  expect(history.versionOf('c151', 250)).toBe(151);
  expect(history.versionOf('c150', 250)).toBeUndefined();
  expect(history.list()).toHaveLength(100);
});

it('keeps the change with the higher epoch of two changes of one version, whatever the order of arrival', () => {
  const chosen = { id: 'chosen', version: 5, epoch: 33 };
  const lost = { id: 'lost', version: 5, epoch: 16 };
  for (const order of [
    [chosen, lost],
    [lost, chosen],
  ]) {
    const history = createChangeHistory();
    for (const change of order) history.add(change);
    expect(history.versionOf('chosen', 5)).toBe(5);
    expect(history.versionOf('lost', 5)).toBeUndefined();
  }
});

it('drops changes that were accepted above the newest chosen version', () => {
  const history = createChangeHistory();
  for (let version = 1; version <= 4; version += 1) history.add({ id: `c${version}`, version, epoch: 16 });
  history.dropAbove(3);
  expect(history.versionOf('c4', 9)).toBeUndefined();
  expect(history.add({ id: 'other', version: 4, epoch: 17 })).toBe(true);
  expect(history.versionOf('other', 4)).toBe(4);
});

it('decodes what it encodes for the journal, and decodes the earlier format without an epoch', () => {
  fc.assert(
    fc.property(fc.string({ maxLength: 24 }), fc.nat(), fc.nat(), (id, version, epoch) => {
      expect(decodeChange(encodeChange({ id, version, epoch }))).toEqual({ id, version, epoch });
    }),
    { seed: 17 },
  );
  expect(decodeChange('abc@7')).toEqual({ id: 'abc', version: 7, epoch: 0 });
});
