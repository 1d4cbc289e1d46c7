/** Marks merge alike in any order. */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { createWorkerStateTable } from './worker-state-table.js';

const mark = fc.record({
  worker: fc.constantFrom('a', 'b'),
  incarnation: fc.integer({ min: 1, max: 3 }),
  state: fc.integer({ min: 0, max: 3 }),
  address: fc.constant('x'),
});

it('gives the same table whatever the order and however often marks come', () => {
  fc.assert(
    fc.property(fc.array(mark), fc.array(fc.nat()), (marks, order) => {
      const one = createWorkerStateTable();
      one.merge(marks);
      const two = createWorkerStateTable();
      for (const i of order) if (marks.length > 0) two.merge([marks[i % marks.length]!]);
      two.merge([...marks].reverse());
      expect(two.all()).toEqual(one.all());
      expect(two.digest()).toBe(one.digest());
    }),
    { seed: 41 },
  );
});
