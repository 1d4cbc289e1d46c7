/**
 * A command queue for state with a single owner. Commands are handled one at a time and run to completion; a command
 * posted from inside a handler is handled after the current one.
 */

/** Accepts commands. */
export interface Queue<Command> {
  readonly post: (command: Command) => void;
}

/** Creates a queue that passes commands to `handle`. An error that it throws propagates to the caller of `post`. */
export function createQueue<Command>(handle: (command: Command) => void): Queue<Command> {
  const pending: Command[] = [];
  let handling = false;
  function post(command: Command): void {
    pending.push(command);
    if (handling) return;
    handling = true;
    try {
      for (let next = pending.shift(); next !== undefined; next = pending.shift()) handle(next);
    } finally {
      handling = false;
    }
  }
  return { post };
}
