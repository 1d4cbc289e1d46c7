/**
 * The environment of deterministic code. Programs pass the real clock, timers and links, the simulator virtual ones.
 * Code that is given a `World` doesn't read a clock or draw random numbers in any other way.
 */
import type { Address, Micros } from './brands.js';
import type { Message } from './messages.js';

/** Cancels what was scheduled; does nothing if that has already happened. */
export type Cancel = () => void;

/** Clock, randomness, timers, links and log. */
export interface World {
  /** The monotonic clock. */
  readonly now: () => Micros;
  /** From 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
  /** Runs the callback once after the delay. */
  readonly after: (delay: Micros, run: () => void) => Cancel;
  /**
   * Best effort: messages may be lost, delayed and reordered without notice. In a real process a message that can't be
   * encoded, or whose receiver is no valid address, is logged and dropped.
   */
  readonly send: (to: Address, message: Message) => void;
  /** Logs an event; its number is listed in the catalogue of the event-log package. */
  readonly log: (event: number, fields: Record<string, unknown>) => void;
}

/** Runs `task` repeatedly, also after a run that throws; `nextDelay` gives the delay before each run. */
export function every(world: Pick<World, 'after'>, nextDelay: () => Micros, task: () => void): Cancel {
  let stopped = false;
  let cancel: Cancel = world.after(nextDelay(), tick);
  function tick(): void {
    if (stopped) return;
    try {
      task();
    } finally {
      if (!stopped) cancel = world.after(nextDelay(), tick);
    }
  }
  return function stop() {
    stopped = true;
    cancel();
  };
}
