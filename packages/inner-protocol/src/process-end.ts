/**
 * The end of a process that runs several tasks. One owner knows which of them still run: the process exits once each has
 * ended, however often a task reports its end, or when the time for stopping is over.
 */
import type { Micros } from './brands.js';
import type { World } from './world.js';

/** Decides when a process exits. */
export interface ProcessEnd {
  /** Adds a running task. Returns the function that reports its end; calls after the first have no effect. */
  readonly addTask: (name: string) => () => void;
  /** Starts the time for stopping. Later calls have no effect. */
  readonly begin: () => void;
}

/** What a process end needs. */
export interface ProcessEndOptions {
  readonly world: Pick<World, 'after' | 'log'>;
  /** The time from `begin` to the exit, whatever still runs; microseconds. */
  readonly timeout: Micros;
  /** Ends the process; called once. */
  readonly exit: () => void;
}

/** Creates the end of a process without tasks. */
export function createProcessEnd({ world, timeout, exit }: ProcessEndOptions): ProcessEnd {
  const running = new Set<{ readonly name: string }>();
  let [hasBegun, hasEnded] = [false, false];

  function end(): void {
    if (hasEnded) return;
    hasEnded = true;
    exit();
  }

  function addTask(name: string): () => void {
    const task = { name };
    running.add(task);
    return () => {
      if (running.delete(task) && running.size === 0) end();
    };
  }

  function endInTime(): void {
    if (hasEnded) return;
    world.log(1006, { running: [...running].map(({ name }) => name) });
    end();
  }

  return {
    addTask,
    begin: () => {
      if (hasBegun) return;
      hasBegun = true;
      world.after(timeout, endInTime);
    },
  };
}
