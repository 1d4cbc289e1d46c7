/** The merge of worker states doesn't depend on the order. */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { createWorkerStateTable } from './worker-state-table.js';

const entry = fc.record({
  worker: fc.constantFrom('a', 'b'),
  incarnation: fc.integer({ min: 1, max: 3 }),
  state: fc.integer({ min: 0, max: 3 }),
  address: fc.constant('x'),
});

it('gives the same table for entries in any order, also with repetitions', () => {
  fc.assert(
    fc.property(fc.array(entry), fc.array(fc.nat()), (entries, order) => {
      const one = createWorkerStateTable();
      one.merge(entries);
      const two = createWorkerStateTable();
      for (const i of order) if (entries.length > 0) two.merge([entries[i % entries.length]!]);
      two.merge([...entries].reverse());
      expect(two.all()).toEqual(one.all());
      expect(two.digest()).toBe(one.digest());
    }),
    { seed: 41 },
  );
});
