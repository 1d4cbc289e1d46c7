/**
 * The radix tree of the router's own path decisions. Each node holds a run of blocks and, for each worker
 * that was sent a prompt through it, when that was. The expected hit of a prompt on a worker is the
 * length of the longest run from the root that the worker has seen. The tree is bounded: the leaves
 * that were used longest ago go first, and a worker that came back anew is forgotten whole.
 */

interface Node {
  run: number[];
  next: Map<number, Node>;
  used: Map<string, number>;
  last: number;
  up: Node | undefined;
}

export interface RadixTree {
  // Only sends after `since` count, where it is given: what was read long ago has given way.
  readonly hits: (blocks: readonly number[], since?: number) => Map<string, number>;
  readonly insert: (blocks: readonly number[], worker: string, now: number) => void;
  readonly removeWorker: (worker: string) => void;
  readonly blockCount: () => number;
}

export function createRadixTree(limitBlocks = 200_000): RadixTree {
  const root: Node = { run: [], next: new Map(), used: new Map(), last: 0, up: undefined };
  let size = 0;

  function shared(run: readonly number[], bs: readonly number[], at: number): number {
    let n = 0;
    while (n < run.length && at + n < bs.length && run[n] === bs[at + n]) n += 1;
    return n;
  }

  function hits(bs: readonly number[], since = -Infinity): Map<string, number> {
    const out = new Map<string, number>();
    let node = root;
    let at = 0;
    for (;;) {
      const c = at < bs.length ? node.next.get(bs[at]!) : undefined;
      if (c === undefined) return out;
      const n = shared(c.run, bs, at);
      at += n;
      for (const [w, t] of c.used) if (t >= since) out.set(w, at);
      if (n < c.run.length) return out;
      node = c;
    }
  }

  function split(c: Node, n: number): Node {
    const top: Node = { run: c.run.slice(0, n), next: new Map(), used: new Map(c.used), last: c.last, up: c.up };
    c.up!.next.set(top.run[0]!, top);
    c.run = c.run.slice(n);
    c.up = top;
    top.next.set(c.run[0]!, c);
    return top;
  }

  function insert(bs: readonly number[], worker: string, now: number): void {
    let node = root;
    let at = 0;
    while (at < bs.length) {
      let c = node.next.get(bs[at]!);
      if (c === undefined) {
        c = { run: bs.slice(at), next: new Map(), used: new Map(), last: now, up: node };
        node.next.set(bs[at]!, c);
        size += c.run.length;
      }
      const n = shared(c.run, bs, at);
      if (n < c.run.length) c = split(c, n);
      c.used.set(worker, now);
      c.last = now;
      at += n;
      node = c;
    }
    if (size > limitBlocks) prune();
  }

  function leaves(n: Node, out: Node[]): Node[] {
    if (n.next.size === 0 && n.up !== undefined) out.push(n);
    for (const c of n.next.values()) leaves(c, out);
    return out;
  }

  function drop(n: Node): void {
    n.up!.next.delete(n.run[0]!);
    size -= n.run.length;
  }

  function prune(): void {
    while (size > limitBlocks * 0.9) {
      const ls = leaves(root, []).sort((a, b) => a.last - b.last);
      if (ls.length === 0) return;
      for (const l of ls.slice(0, Math.ceil(ls.length / 4))) drop(l);
    }
  }

  function forgetIn(n: Node, worker: string): void {
    n.used.delete(worker);
    for (const c of [...n.next.values()]) {
      forgetIn(c, worker);
      if (c.used.size === 0 && c.next.size === 0) drop(c);
    }
  }

  return { hits, insert, removeWorker: (worker) => forgetIn(root, worker), blockCount: () => size };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  const fc = (await import('fast-check')).default;
  it('finds the same hits as comparing with every prompt sent before', () => {
    const prompt = fc.array(fc.integer({ min: 0, max: 2 }), { maxLength: 8 });
    fc.assert(
      fc.property(fc.array(fc.tuple(prompt, fc.constantFrom('a', 'b', 'c')), { maxLength: 12 }), prompt, (past, p) => {
        const t = createRadixTree();
        past.forEach(([bs, w], i) => t.insert(bs, w, i));
        const want = new Map<string, number>();
        for (const [bs, w] of past) {
          let n = 0;
          while (n < bs.length && n < p.length && bs[n] === p[n]) n += 1;
          if (n > 0) want.set(w, Math.max(n, want.get(w) ?? 0));
        }
        expect(t.hits(p)).toEqual(want);
        t.removeWorker('a');
        want.delete('a');
        expect(t.hits(p)).toEqual(want);
      }),
      { seed: 17 },
    );
  });
  it('stays within its bound', () => {
    const t = createRadixTree(100);
    for (let i = 0; i < 200; i += 1) t.insert([i, i + 1, i + 2, i + 3, i + 4], 'w', i);
    expect(t.blockCount()).toBeLessThanOrEqual(100);
    expect(t.hits([199, 200]).get('w')).toBe(2);
  });
}
