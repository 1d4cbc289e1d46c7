/**
 * What a core may ask of the outside. Programs pass the real clock, sockets and disk; the simulator passes its own.
 * No core reads a clock or draws a number by itself.
 */
import type { Address, Micros } from './brands.js';
import type { Message } from './messages.js';

/** Takes back what was arranged; harmless when it has happened already. */
export type Cancel = () => void;

/** Clock, randomness, timers, links and log. */
export interface World {
  /** The monotonic clock. */
  readonly now: () => Micros;
  /** At least 0 and below 1. */
  readonly random: () => number;
  readonly after: (delay: Micros, run: () => void) => Cancel;
  /** May lose, delay and reorder; tells nothing about it. */
  readonly send: (to: Address, message: Message) => void;
  /** Writes an event of the catalogue. */
  readonly log: (event: number, fields: Record<string, unknown>) => void;
}

/** Runs `task` again and again, each time after the delay that `nextDelay` gives. */
export function every(world: Pick<World, 'after'>, nextDelay: () => Micros, task: () => void): Cancel {
  let stopped = false;
  let cancel: Cancel = world.after(nextDelay(), tick);
  function tick(): void {
    if (stopped) return;
    task();
    if (!stopped) cancel = world.after(nextDelay(), tick);
  }
  return function stop() {
    stopped = true;
    cancel();
  };
}
