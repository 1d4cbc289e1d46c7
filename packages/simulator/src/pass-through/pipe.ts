/**
 * One direction between two machines: what is pushed arrives in order after the link's delay, and what meets a cut
 * waits there until it heals.
 */
import type { Engine } from '../engine.js';
import type { Network } from '../network.js';

export function createPipe(
  e: Engine,
  net: Network,
  from: string,
  to: string,
  draw?: () => number,
): (f: () => void) => void {
  const q: { t: number; f: () => void }[] = [];
  let busy = false;
  function next(): void {
    const x = q[0];
    busy = x !== undefined;
    if (x === undefined) return;
    e.at(Math.max(x.t, e.now()), () => {
      if (net.isBlocked(from, to)) return net.onHeal(next);
      q.shift();
      x.f();
      next();
    });
  }
  return function push(f) {
    q.push({ t: e.now() + net.latency(from, to, draw), f });
    if (!busy) next();
  };
}
