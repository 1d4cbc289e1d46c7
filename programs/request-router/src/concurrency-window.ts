/**
 * How many prompts this router may have with the workers at once. The window shrinks when reading a prompt takes
 * longer than the target and grows while it is full and reading is quick, so that under overload prompts wait
 * here, where they can be ordered by worth or given up on, and not in the workers' queues.
 */
import type { Micros } from '@tansypost/inner-protocol';

export interface ConcurrencyWindow {
  readonly hasRoom: (granted?: number) => boolean;
  readonly beginPrefill: () => (took: boolean) => void;
  readonly isIdle: () => boolean;
  readonly size: () => number;
}

export function createConcurrencyWindow(
  now: () => Micros,
  target: () => number,
  start = 64,
  most = 512,
): ConcurrencyWindow {
  let size = start;
  let n = 0;
  let shrunk = -Infinity;
  function began(): (took: boolean) => void {
    const at = now();
    n += 1;
    return function end(took) {
      n -= 1;
      if (!took) return;
      const us = now() - at;
      if (us > target()) {
        if (now() - shrunk < Math.max(200_000, target() / 2)) return;
        shrunk = now();
        size = Math.max(2, Math.min(size, n + 1) * 0.7);
      } else if (n + 1 >= 0.8 * size) size = Math.min(most, size + 0.5);
    };
  }
  return { hasRoom: (granted = 0) => n + granted < size, beginPrefill: began, isIdle: () => n === 0, size: () => size };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  const { micros } = await import('@tansypost/inner-protocol');
  it('shrinks to what is read within the target, and grows again when there is room', () => {
    let t = 0;
    const w = createConcurrencyWindow(
      () => micros(t),
      () => 1_000_000,
    );
    // A worker that reads four prompts a second: each takes a quarter second for every one in front of it.
    const ends: { at: number; end: (took: boolean) => void }[] = [];
    let busy = 0;
    function step(each: number, until: number): void {
      while (t < until) {
        while (w.hasRoom()) {
          busy = Math.max(busy, t) + each;
          ends.push({ at: busy, end: w.beginPrefill() });
        }
        t = ends[0]!.at;
        ends.shift()!.end(true);
      }
    }
    step(250_000, 60_000_000);
    expect(w.size()).toBeLessThan(8);
    step(10_000, 120_000_000);
    expect(w.size()).toBeGreaterThan(40);
  });
}
