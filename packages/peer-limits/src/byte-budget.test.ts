/** The budget under any sequence of reports. */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { createByteBudget } from './byte-budget.js';

const maxBytes = 100;
const holderCount = 5;

it('never holds more than its bound, and only the largest holder gives way, once', () => {
  const report = fc.tuple(fc.nat(holderCount - 1), fc.nat(120));
  fc.assert(
    fc.property(fc.array(report, { maxLength: 40 }), (reports) => {
      const budget = createByteBudget(maxBytes);
      const held = new Map<number, number>();
      const gaveWay: number[] = [];
      const holders = Array.from({ length: holderCount }, (_, index) =>
        budget.open(() => {
          expect(held.get(index)).toBe(Math.max(...held.values()));
          held.delete(index);
          gaveWay.push(index);
        }),
      );
      for (const [index, bytes] of reports) {
        if (gaveWay.includes(index)) continue;
        held.set(index, bytes);
        holders[index]!.report(bytes);
        expect(budget.total()).toBeLessThanOrEqual(maxBytes);
        expect(budget.total()).toBe([...held.values()].reduce((sum, value) => sum + value, 0));
      }
      expect(new Set(gaveWay).size).toBe(gaveWay.length);
    }),
    { seed: 51, numRuns: 500 },
  );
});

it('frees what a closed holder held, and ignores its later reports', () => {
  const budget = createByteBudget(maxBytes);
  const holder = budget.open(() => expect.unreachable());
  holder.report(maxBytes);
  holder.close();
  expect(budget.total()).toBe(0);
  holder.report(maxBytes + 1);
  expect(budget.total()).toBe(0);
});
