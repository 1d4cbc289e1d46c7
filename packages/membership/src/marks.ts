// The table of worker marks. Marks merge by a rule that gives the same table in whatever order they
// come: the higher incarnation wins, and within one the later state (added, ready, leaving, gone).
// So a leaving mark needs no majority, and nothing brings that incarnation back.
import type { Mark } from '@tansypost/inner-protocol';
import { digest } from '@tansypost/inner-protocol';

export const markStates = ['added', 'ready', 'leaving', 'gone'] as const;
export type MarkState = (typeof markStates)[number];

export interface Marks {
  readonly take: (ms: readonly Mark[]) => Mark[];
  readonly all: () => Mark[];
  readonly digest: () => string;
}

export function outranks(a: Mark, b: Mark | undefined): boolean {
  return b === undefined || a.incarnation > b.incarnation || (a.incarnation === b.incarnation && a.state > b.state);
}

export function createMarks(): Marks {
  const table = new Map<string, Mark>();
  let dig: string | undefined;
  function take(ms: readonly Mark[]): Mark[] {
    const fresh = ms.filter((m) => {
      if (m.worker === '' || m.state < 0 || m.state > 3 || !outranks(m, table.get(m.worker))) return false;
      table.set(m.worker, m);
      return true;
    });
    if (fresh.length > 0) dig = undefined;
    return fresh;
  }
  function all(): Mark[] {
    return [...table.values()].sort((a, b) => (a.worker < b.worker ? -1 : 1));
  }
  function sum(): string {
    dig ??= digest(JSON.stringify(all().map((m) => [m.worker, m.incarnation, m.state, m.address]))).slice(0, 16);
    return dig;
  }
  return { take, all, digest: sum };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  const fc = (await import('fast-check')).default;
  const mark = fc.record({
    worker: fc.constantFrom('a', 'b'),
    incarnation: fc.integer({ min: 1, max: 3 }),
    state: fc.integer({ min: 0, max: 3 }),
    address: fc.constant('x'),
  });
  it('gives the same table whatever the order and however often marks come', () => {
    fc.assert(
      fc.property(fc.array(mark), fc.array(fc.nat()), (ms, order) => {
        const one = createMarks();
        one.take(ms);
        const two = createMarks();
        for (const i of order) if (ms.length > 0) two.take([ms[i % ms.length]!]);
        two.take([...ms].reverse());
        expect(two.all()).toEqual(one.all());
        expect(two.digest()).toBe(one.digest());
      }),
      { seed: 41 },
    );
  });
}
