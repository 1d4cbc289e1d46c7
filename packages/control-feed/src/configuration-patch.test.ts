/** Patches between versions of the configuration, and the versions from which one can be sent. */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { createConfigurationHistory } from './configuration-history.js';
import { applyPatch, createPatch, digestOf, patchBytes } from './configuration-patch.js';

function configurationOf(revision: number, weights: readonly number[]): Buffer {
  const routes = weights.map((weight, i) => ({
    name: `route-${i}`,
    path_prefix: `/r${i}/`,
    deadline_ms: 8000,
    weight,
  }));
  return Buffer.from(JSON.stringify({ revision, routes }));
}

it('turns any bytes into any others', () => {
  const text = fc.array(fc.constantFrom('{"a":1}', '{"b":2}', 'x', '}', '{"a":1},{"c"')).map((parts) => parts.join(''));
  const bytes = fc.oneof(
    fc.uint8Array({ maxLength: 3000 }).map((array) => Buffer.from(array)),
    text.map((string) => Buffer.from(string)),
  );
  fc.assert(
    fc.property(bytes, bytes, (base, next) => {
      expect(applyPatch(base, createPatch(base, next), digestOf(next))).toEqual(next);
    }),
    { seed: 17, numRuns: 400 },
  );
});

it('contains little more than the changed entries, wherever they are', () => {
  const weights = Array.from({ length: 100 }, (_, i) => i);
  const base = configurationOf(1, weights);
  const next = configurationOf(
    2,
    weights.map((weight) => (weight === 40 || weight === 90 ? 7 : weight)),
  );
  expect(patchBytes(createPatch(base, next))).toBeLessThan(400);
  expect(base.length).toBeGreaterThan(6000);
});

it('returns undefined for steps that do not fit the base or give other bytes than expected', () => {
  const [base, next] = [configurationOf(1, [1, 2, 3]), configurationOf(2, [1, 5, 3])];
  const steps = createPatch(base, next);
  expect(applyPatch(configurationOf(1, [1, 2, 9]), steps, digestOf(next))).toBeUndefined();
  expect(applyPatch(base.subarray(0, 20), steps, digestOf(next))).toBeUndefined();
  expect(applyPatch(base, [{ literal: next, offset: -1, length: 1 }], digestOf(next))).toBeUndefined();
});

it('has patches from the latest versions only, and none where the whole configuration is about as small', () => {
  const history = createConfigurationHistory();
  const weights = Array.from({ length: 50 }, (_, i) => i);
  for (let version = 1; version <= 40; version += 1) {
    const changed = weights.map((weight) => (weight === version ? 1000 : weight));
    expect(history.add({ version, value: configurationOf(version, changed) })).toBe(true);
  }
  expect(history.add({ version: 39, value: Buffer.from('older') })).toBe(false);
  const patch = history.patchFrom(39)!;
  const base = configurationOf(
    39,
    weights.map((weight) => (weight === 39 ? 1000 : weight)),
  );
  expect(applyPatch(base, patch.steps, patch.digest)).toEqual(history.newest()!.value);
  expect([history.patchFrom(5), history.patchFrom(40)]).toEqual([undefined, undefined]);
  history.add({ version: 41, value: Buffer.from('quite another thing') });
  expect(history.patchFrom(40)).toBeUndefined();
});
