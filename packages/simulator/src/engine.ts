/**
 * Discrete-event engine with virtual time. Events run in order of their time, then of their creation; after each event,
 * all promises that it resolved are processed before the next event. Nothing depends on the host machine, so the same
 * seed gives the same run.
 */
import { micros, type Micros } from '@tansypost/inner-protocol';

/** Times are in microseconds. */
export interface Engine {
  readonly now: () => Micros;
  /** Schedules a callback; a time in the past counts as now. */
  readonly at: (time: number, callback: () => void) => void;
  /** Runs all events up to a time, which is the current time afterwards. */
  readonly run: (until: number) => Promise<void>;
  /** The number of events scheduled so far. */
  readonly scheduledCount: () => number;
}
interface ScheduledEvent {
  readonly time: number;
  readonly sequence: number;
  readonly callback: () => void;
}

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.time < b.time || (a.time === b.time && a.sequence < b.sequence);
}

export function createEngine(): Engine {
  // A binary min-heap.
  const heap: ScheduledEvent[] = [];
  let currentTime = 0;
  let scheduled = 0;

  function at(time: number, callback: () => void): void {
    scheduled += 1;
    const event = { time: Math.max(currentTime, Math.round(time)), sequence: scheduled, callback };
    let i = heap.length;
    heap.push(event);
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!isBefore(event, heap[parent]!)) break;
      heap[i] = heap[parent]!;
      i = parent;
    }
    heap[i] = event;
  }

  function pop(): ScheduledEvent {
    const top = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return top;
    let i = 0;
    for (;;) {
      let child = 2 * i + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child += 1;
      if (!isBefore(heap[child]!, last)) break;
      heap[i] = heap[child]!;
      i = child;
    }
    heap[i] = last;
    return top;
  }

  async function run(until: number): Promise<void> {
    while (heap.length > 0 && heap[0]!.time <= until) {
      const event = pop();
      currentTime = event.time;
      event.callback();
      // Lets all resolved promises run.
      await new Promise<void>((ok) => {
        setImmediate(ok);
      });
    }
    currentTime = Math.max(currentTime, until);
  }
  return { now: () => micros(currentTime), at, run, scheduledCount: () => scheduled };
}
