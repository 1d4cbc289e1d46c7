// What a core may ask of the outside. Programs pass the real clock, sockets and disk; the simulator
// passes its own. Nothing below this line of the project reads a clock or draws a number by itself.
import type { Address, Micros } from './brands.js';
import type { Message } from './messages.js';

export type Cancel = () => void;

export interface World {
  readonly now: () => Micros;
  readonly random: () => number;
  readonly after: (delay: Micros, f: () => void) => Cancel;
  readonly send: (to: Address, m: Message) => void;
  readonly log: (event: number, fields: Record<string, unknown>) => void;
}

// Runs f again and again, each time after the delay that d gives.
export function every(w: Pick<World, 'after'>, d: () => Micros, f: () => void): Cancel {
  let stopped = false;
  let cancel: Cancel = w.after(d(), tick);
  function tick(): void {
    if (stopped) return;
    f();
    if (!stopped) cancel = w.after(d(), tick);
  }
  return function stop() {
    stopped = true;
    cancel();
  };
}
