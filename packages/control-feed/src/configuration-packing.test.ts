/** Compression of configurations. */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { packConfiguration, unpackConfiguration } from './configuration-packing.js';

function configurationWith(routeCount: number): Buffer {
  const names = Array.from({ length: routeCount }, (_, index) => (index * 2_654_435_761).toString(36).slice(0, 7));
  const routes = names.map((name) => ({
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
  return Buffer.from(JSON.stringify({ revision: 7, routes }));
}

it('compresses a list of routes to less than a fifth, and leaves a short one as it is', () => {
  const long = configurationWith(1360);
  expect(packConfiguration(long).length).toBeLessThan(long.length / 5);
  const short = configurationWith(1);
  expect(packConfiguration(short)).toBe(short);
});

it('restores any JSON text byte for byte', () => {
  fc.assert(
    fc.property(fc.json(), fc.nat(400), (json, count) => {
      const whole = Buffer.from(JSON.stringify(Array(count).fill(json)));
      expect(unpackConfiguration(packConfiguration(whole))).toEqual(whole);
    }),
  );
});

it('returns uncompressed bytes of an earlier release, and corrupt ones, as they are', () => {
  const plain = configurationWith(30);
  expect(unpackConfiguration(plain)).toBe(plain);
  const corrupt = packConfiguration(configurationWith(1360)).subarray(0, 500);
  expect(unpackConfiguration(corrupt)).toBe(corrupt);
  expect(unpackConfiguration(Buffer.alloc(0))).toEqual(Buffer.alloc(0));
});
