/** A `World` in virtual time for tests of one component: the clock jumps from timer to timer, and nothing is sent. */
import type { Micros } from './brands.js';
import type { World } from './world.js';

/** An event logged by the component under test. */
export interface LoggedEvent {
  readonly event: number;
  readonly fields: Record<string, unknown>;
}

/** The world, and ways to advance its time. */
export interface VirtualClock {
  readonly world: World;
  readonly logged: readonly LoggedEvent[];
  /** Advances the time until `done` returns true; throws if no timer is left before that. */
  readonly runUntil: (done: () => boolean) => Promise<void>;
  /** Advances the time to `time`. */
  readonly runTo: (time: number) => Promise<void>;
}

interface Timer {
  readonly dueAt: number;
  readonly run: () => void;
}

/** Turns of the microtask queue that are awaited after each timer, for the promises that it resolves. */
const microtaskTurnsPerTimer = 50;
const defaultRandom = 0.5;

/** Creates a clock at time 0. `overrides` replaces parts of its world. */
export function createVirtualClock(overrides: Partial<World> = {}): VirtualClock {
  const timers = new Map<number, Timer>();
  const logged: LoggedEvent[] = [];
  let now = 0;
  let lastId = 0;

  function after(delay: number, run: () => void): () => void {
    const id = (lastId += 1);
    timers.set(id, { dueAt: now + delay, run });
    return () => void timers.delete(id);
  }

  const world: World = {
    now: () => now as Micros,
    random: () => defaultRandom,
    after,
    send: () => undefined,
    log: (event, fields) => logged.push({ event, fields }),
    ...overrides,
  };

  async function runMicrotasks(): Promise<void> {
    for (let turn = 0; turn < microtaskTurnsPerTimer; turn += 1) await Promise.resolve();
  }

  function earliest(): [number, Timer] | undefined {
    return [...timers].sort(([a, first], [b, second]) => first.dueAt - second.dueAt || a - b)[0];
  }

  function fire([id, timer]: [number, Timer]): void {
    timers.delete(id);
    now = timer.dueAt;
    timer.run();
  }

  async function runUntil(done: () => boolean): Promise<void> {
    for (;;) {
      await runMicrotasks();
      if (done()) return;
      const timer = earliest();
      if (timer === undefined) throw new Error('runUntil: no timer is left and the condition does not hold');
      fire(timer);
    }
  }

  async function runTo(time: number): Promise<void> {
    for (;;) {
      await runMicrotasks();
      const timer = earliest();
      if (timer === undefined || timer[1].dueAt > time) break;
      fire(timer);
    }
    now = Math.max(now, time);
  }

  return { world, logged, runUntil, runTo };
}
