// The command queue of a table's one owner. Commands are handled one after the other and each runs
// to its end; a command posted from inside a handler waits for its turn.

export interface Queue<C> {
  readonly post: (c: C) => void;
}

export function createQueue<C>(handle: (c: C) => void): Queue<C> {
  const waiting: C[] = [];
  let busy = false;
  function post(c: C): void {
    waiting.push(c);
    if (busy) return;
    busy = true;
    try {
      for (let n = waiting.shift(); n !== undefined; n = waiting.shift()) handle(n);
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
    const q = createQueue<string>((c) => {
      if (c === 'a') q.post('b');
      seen.push(c);
    });
    q.post('a');
    expect(seen).toEqual(['a', 'b']);
  });
}
