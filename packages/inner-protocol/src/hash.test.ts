/** Hashes that other processes compute too, so that their values must not change. */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { hash32, rendezvous } from './hash.js';

it('hashes as other releases do', () => {
  expect(['', 'a', 'worker-1', 'ä\u0000b'].map(hash32)).toEqual([2872998923, 444641715, 1525519687, 3574209958]);
});

it('orders the items of a key by the hash of key and name', () => {
  fc.assert(
    fc.property(fc.string(), fc.uniqueArray(fc.string()), (key, names) => {
      const expected = [...names].sort(
        (a, b) => hash32(`${key}\u0000${b}`) - hash32(`${key}\u0000${a}`) || (a < b ? -1 : 1),
      );
      expect(rendezvous(key, names, (name) => name)).toEqual(expected);
    }),
    { seed: 8 },
  );
});
