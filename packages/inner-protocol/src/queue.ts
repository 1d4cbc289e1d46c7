/**
 * The command queue of a table's one owner. Commands are handled one after the other and each runs to its end; a
 * command posted from inside a handler waits for its turn.
 */

/** Takes commands. */
export interface Queue<Command> {
  readonly post: (command: Command) => void;
}

/** Makes a queue whose commands go to `handle`. An error thrown by it reaches whoever posted. */
export function createQueue<Command>(handle: (command: Command) => void): Queue<Command> {
  const waiting: Command[] = [];
  let busy = false;
  function post(command: Command): void {
    waiting.push(command);
    if (busy) return;
    busy = true;
    try {
      for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) handle(next);
    } finally {
      busy = false;
    }
  }
  return { post };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  it('handles a command posted from inside a handler after the one that posted it', () => {
    const seen: string[] = [];
    const queue = createQueue<string>((command) => {
      if (command === 'a') queue.post('b');
      seen.push(command);
    });
    queue.post('a');
    expect(seen).toEqual(['a', 'b']);
  });
}
