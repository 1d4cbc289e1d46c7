/**
 * One direction of a connection between two machines. Pushed events arrive in order after the link's latency, and wait
 * during a partition until it heals.
 */
import type { Engine } from '../engine.js';
import type { Network } from '../network.js';

export function createPipe(
  engine: Engine,
  network: Network,
  from: string,
  to: string,
  draw?: () => number,
): (onArrival: () => void) => void {
  const queue: { arrivesAt: number; f: () => void }[] = [];
  let busy = false;
  function next(): void {
    const head = queue[0];
    busy = head !== undefined;
    if (head === undefined) return;
    engine.at(Math.max(head.arrivesAt, engine.now()), () => {
      if (network.isBlocked(from, to)) return network.onHeal(next);
      queue.shift();
      head.f();
      next();
    });
  }
  return function push(onArrival) {
    queue.push({ arrivesAt: engine.now() + network.latency(from, to, draw), f: onArrival });
    if (!busy) next();
  };
}
