/** Virtual time: events run in the order of their time, each followed by all pending promise callbacks. */
import type { Cancel } from '@tansypost/inner-protocol';
import { createEventHeap, type PlannedEvent } from './event-heap.js';

/** A virtual clock with its pending events. */
export interface Scheduler {
  readonly now: () => number;
  readonly after: (delay: number, run: () => void) => Cancel;
  /** Runs events up to the time `until`, or until `ended` returns true. */
  readonly runUntil: (until: number, ended: () => boolean) => Promise<void>;
  /** The number of events that have run. */
  readonly steps: () => number;
}

function letPromisesRun(): Promise<void> {
  return new Promise((done) => {
    setImmediate(done);
  });
}

/** A scheduler at time 0. */
export function createScheduler(): Scheduler {
  const heap = createEventHeap();
  let now = 0;
  let order = 0;
  let steps = 0;

  function after(delay: number, run: () => void): Cancel {
    order += 1;
    const event: PlannedEvent = { at: now + Math.ceil(Math.max(0, delay)), order, run, cancelled: false };
    heap.push(event);
    return () => {
      event.cancelled = true;
    };
  }

  async function runUntil(until: number, ended: () => boolean): Promise<void> {
    for (let next = heap.next(); next !== undefined && next.at <= until && !ended(); next = heap.next()) {
      const event = heap.pop();
      if (event.cancelled) continue;
      now = event.at;
      steps += 1;
      event.run();
      await letPromisesRun();
    }
  }

  return { now: () => now, after, runUntil, steps: () => steps };
}
