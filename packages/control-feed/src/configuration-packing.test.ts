import fc from 'fast-check';
import { expect, it } from 'vitest';
import { packConfiguration, unpackConfiguration } from './configuration-packing.js';

function configuration(routes: number): Buffer {
  const names = Array.from({ length: routes }, (_, n) => (n * 2_654_435_761).toString(36).slice(0, 7));
  const list = names.map((name) => ({
    name: `r-${name}`,
    hostname: `${name}.example`,
    path_prefix: `/${name}/`,
    route_kind: 'streaming',
    deadline_ms: 6000,
    target_ms: 519,
    priority: 1,
    backend: 'huvo11a',
    max_tries: 1,
    sticky: true,
  }));
  return Buffer.from(JSON.stringify({ revision: 7, routes: list }));
}

it('makes a list of routes several times smaller, and leaves a short one as it is', () => {
  const long = configuration(1360);
  expect(packConfiguration(long).length).toBeLessThan(long.length / 5);
  const short = configuration(1);
  expect(packConfiguration(short)).toBe(short);
});

it('gives back any JSON text byte for byte', () => {
  fc.assert(
    fc.property(fc.json(), fc.nat(400), (json, times) => {
      const whole = Buffer.from(JSON.stringify(Array(times).fill(json)));
      expect(unpackConfiguration(packConfiguration(whole))).toEqual(whole);
    }),
  );
});

it('takes what an earlier release wrote, and what is damaged, as it is', () => {
  const plain = configuration(30);
  expect(unpackConfiguration(plain)).toBe(plain);
  const damaged = packConfiguration(configuration(1360)).subarray(0, 500);
  expect(unpackConfiguration(damaged)).toBe(damaged);
  expect(unpackConfiguration(Buffer.alloc(0))).toEqual(Buffer.alloc(0));
});
