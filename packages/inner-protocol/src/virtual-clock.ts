/** A world in virtual time for tests of one core: its clock jumps from timer to timer, and nothing is sent. */
import type { Micros } from './brands.js';
import type { World } from './world.js';

/** An event that the core under test has logged. */
export interface LoggedEvent {
  readonly event: number;
  readonly fields: Record<string, unknown>;
}

/** The world, and the ways to let its time pass. */
export interface VirtualClock {
  readonly world: World;
  readonly logged: readonly LoggedEvent[];
  /** Lets time pass until `done` holds; throws when nothing is left to happen before. */
  readonly runUntil: (done: () => boolean) => Promise<void>;
  /** Lets time pass until the clock shows `time`. */
  readonly runTo: (time: number) => Promise<void>;
}

interface Timer {
  readonly at: number;
  readonly run: () => void;
}

/** Turns of the promise queue that what follows from one timer may take. */
const turnsPerTimer = 50;
const defaultDraw = 0.5;

/** A clock that stands at 0. */
export function createVirtualClock(over: Partial<World> = {}): VirtualClock {
  const timers = new Map<number, Timer>();
  const logged: LoggedEvent[] = [];
  let now = 0;
  let lastId = 0;

  function after(delay: number, run: () => void): () => void {
    const id = (lastId += 1);
    timers.set(id, { at: now + delay, run });
    return () => void timers.delete(id);
  }

  const world: World = {
    now: () => now as Micros,
    random: () => defaultDraw,
    after,
    send: () => undefined,
    log: (event, fields) => logged.push({ event, fields }),
    ...over,
  };

  async function settle(): Promise<void> {
    for (let turn = 0; turn < turnsPerTimer; turn += 1) await Promise.resolve();
  }

  function next(): [number, Timer] | undefined {
    return [...timers].sort(([a, first], [b, second]) => first.at - second.at || a - b)[0];
  }

  function fire([id, timer]: [number, Timer]): void {
    timers.delete(id);
    now = timer.at;
    timer.run();
  }

  async function runUntil(done: () => boolean): Promise<void> {
    for (;;) {
      await settle();
      if (done()) return;
      const timer = next();
      if (timer === undefined) throw new Error('nothing is left to happen');
      fire(timer);
    }
  }

  async function runTo(time: number): Promise<void> {
    for (;;) {
      await settle();
      const timer = next();
      if (timer === undefined || timer[1].at > time) break;
      fire(timer);
    }
    now = Math.max(now, time);
  }

  return { world, logged, runUntil, runTo };
}
