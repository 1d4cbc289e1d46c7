/**
 * Virtual time. Events run in the order of their time, then of their making; after each, every promise that it
 * woke runs to its end before the next. Nothing here depends on the machine, so a seed gives the same run.
 */
import { micros, type Micros } from '@tansypost/inner-protocol';

export interface Engine {
  readonly now: () => Micros;
  readonly at: (t: number, f: () => void) => void;
  readonly run: (until: number) => Promise<void>;
  readonly scheduledCount: () => number;
}
interface Event {
  readonly t: number;
  readonly n: number;
  readonly f: () => void;
}

function before(a: Event, b: Event): boolean {
  return a.t < b.t || (a.t === b.t && a.n < b.n);
}

export function createEngine(): Engine {
  const heap: Event[] = [];
  let t = 0;
  let n = 0;

  function at(when: number, f: () => void): void {
    n += 1;
    const e = { t: Math.max(t, Math.round(when)), n, f };
    let i = heap.length;
    heap.push(e);
    while (i > 0) {
      const up = (i - 1) >> 1;
      if (!before(e, heap[up]!)) break;
      heap[i] = heap[up]!;
      i = up;
    }
    heap[i] = e;
  }

  function pop(): Event {
    const top = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return top;
    let i = 0;
    for (;;) {
      let c = 2 * i + 1;
      if (c >= heap.length) break;
      if (c + 1 < heap.length && before(heap[c + 1]!, heap[c]!)) c += 1;
      if (!before(heap[c]!, last)) break;
      heap[i] = heap[c]!;
      i = c;
    }
    heap[i] = last;
    return top;
  }

  async function run(until: number): Promise<void> {
    while (heap.length > 0 && heap[0]!.t <= until) {
      const e = pop();
      t = e.t;
      e.f();
      await new Promise<void>((ok) => {
        setImmediate(ok);
      });
    }
    t = Math.max(t, until);
  }
  return { now: () => micros(t), at, run, scheduledCount: () => n };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  it('runs events in order of time, then of making, and promises between them', async () => {
    const e = createEngine();
    const seen: string[] = [];
    e.at(20, () => seen.push('c'));
    e.at(10, () => {
      seen.push('a');
      void Promise.resolve()
        .then(() => Promise.resolve())
        .then(() => seen.push('a2'));
    });
    e.at(10, () => seen.push('b'));
    for (let i = 0; i < 50; i += 1) e.at(100 + ((i * 37) % 50), () => seen.push(`${(i * 37) % 50}`));
    await e.run(1000);
    expect(seen.slice(0, 4)).toEqual(['a', 'a2', 'b', 'c']);
    expect(seen.slice(4)).toEqual([...Array(50).keys()].map(String));
  });
}
