/**
 * A radix tree of the prefixes that this router has sent to workers. Each node holds a run of blocks and, for each worker
 * that received a prompt through it, the time of the last one. The expected cache hit of a prompt on a worker is the
 * longest run of blocks from the root that was sent to that worker. The tree is bounded: the leaves that were used least
 * recently are evicted first, and a worker that has restarted is removed from all nodes.
 */

interface Node {
  blocks: number[];
  children: Map<number, Node>;
  lastUseByWorker: Map<string, number>;
  lastUse: number;
  parent: Node | undefined;
}

/** The prefixes sent to each worker. */
export interface RadixTree {
  /**
   * Number of the prompt's blocks expected to be cached, by worker. Where `since` is given, only prompts sent at that
   * time or later count, as workers evict what was prefilled long ago.
   */
  readonly hits: (blocks: readonly number[], since?: number) => Map<string, number>;
  readonly insert: (blocks: readonly number[], worker: string, now: number) => void;
  readonly removeWorker: (worker: string) => void;
  readonly blockCount: () => number;
}

/** Creates an empty tree that holds up to `maxBlocks` blocks. */
export function createRadixTree(maxBlocks = 200_000): RadixTree {
  const root: Node = { blocks: [], children: new Map(), lastUseByWorker: new Map(), lastUse: 0, parent: undefined };
  let blockCount = 0;

  function commonLength(run: readonly number[], blocks: readonly number[], at: number): number {
    let length = 0;
    while (length < run.length && at + length < blocks.length && run[length] === blocks[at + length]) length += 1;
    return length;
  }

  function hits(blocks: readonly number[], since = -Infinity): Map<string, number> {
    const found = new Map<string, number>();
    let node = root;
    let at = 0;
    for (;;) {
      const child = at < blocks.length ? node.children.get(blocks[at]!) : undefined;
      if (child === undefined) return found;
      const length = commonLength(child.blocks, blocks, at);
      at += length;
      for (const [worker, lastUse] of child.lastUseByWorker) if (lastUse >= since) found.set(worker, at);
      if (length < child.blocks.length) return found;
      node = child;
    }
  }

  /** Splits a node after `length` blocks; returns the new node above it. */
  function split(node: Node, length: number): Node {
    const upper: Node = {
      blocks: node.blocks.slice(0, length),
      children: new Map(),
      lastUseByWorker: new Map(node.lastUseByWorker),
      lastUse: node.lastUse,
      parent: node.parent,
    };
    node.parent!.children.set(upper.blocks[0]!, upper);
    node.blocks = node.blocks.slice(length);
    node.parent = upper;
    upper.children.set(node.blocks[0]!, node);
    return upper;
  }

  function insert(blocks: readonly number[], worker: string, now: number): void {
    let node = root;
    let at = 0;
    while (at < blocks.length) {
      let child = node.children.get(blocks[at]!);
      if (child === undefined) {
        child = {
          blocks: blocks.slice(at),
          children: new Map(),
          lastUseByWorker: new Map(),
          lastUse: now,
          parent: node,
        };
        node.children.set(blocks[at]!, child);
        blockCount += child.blocks.length;
      }
      const length = commonLength(child.blocks, blocks, at);
      if (length < child.blocks.length) child = split(child, length);
      child.lastUseByWorker.set(worker, now);
      child.lastUse = now;
      at += length;
      node = child;
    }
    if (blockCount > maxBlocks) evict();
  }

  function collectLeaves(node: Node, leaves: Node[]): Node[] {
    if (node.children.size === 0 && node.parent !== undefined) leaves.push(node);
    for (const child of node.children.values()) collectLeaves(child, leaves);
    return leaves;
  }

  function remove(node: Node): void {
    node.parent!.children.delete(node.blocks[0]!);
    blockCount -= node.blocks.length;
  }

  /** Evicts the least recently used quarter of the leaves until the tree is a tenth below its bound. */
  function evict(): void {
    while (blockCount > maxBlocks * 0.9) {
      const leaves = collectLeaves(root, []).sort((a, b) => a.lastUse - b.lastUse);
      if (leaves.length === 0) return;
      for (const leaf of leaves.slice(0, Math.ceil(leaves.length / 4))) remove(leaf);
    }
  }

  function removeWorkerBelow(node: Node, worker: string): void {
    node.lastUseByWorker.delete(worker);
    for (const child of [...node.children.values()]) {
      removeWorkerBelow(child, worker);
      if (child.lastUseByWorker.size === 0 && child.children.size === 0) remove(child);
    }
  }

  return { hits, insert, removeWorker: (worker) => removeWorkerBelow(root, worker), blockCount: () => blockCount };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  const fc = (await import('fast-check')).default;
  it('finds the same hits as a comparison with every prompt sent before', () => {
    const anyPrompt = fc.array(fc.integer({ min: 0, max: 2 }), { maxLength: 8 });
    fc.assert(
      fc.property(
        fc.array(fc.tuple(anyPrompt, fc.constantFrom('a', 'b', 'c')), { maxLength: 12 }),
        anyPrompt,
        (sent, prompt) => {
          const tree = createRadixTree();
          sent.forEach(([blocks, worker], i) => tree.insert(blocks, worker, i));
          const expected = new Map<string, number>();
          for (const [blocks, worker] of sent) {
            let length = 0;
            while (length < blocks.length && length < prompt.length && blocks[length] === prompt[length]) length += 1;
            if (length > 0) expected.set(worker, Math.max(length, expected.get(worker) ?? 0));
          }
          expect(tree.hits(prompt)).toEqual(expected);
          tree.removeWorker('a');
          expected.delete('a');
          expect(tree.hits(prompt)).toEqual(expected);
        },
      ),
      { seed: 17 },
    );
  });
  it('stays within its bound', () => {
    const tree = createRadixTree(100);
    for (let i = 0; i < 200; i += 1) tree.insert([i, i + 1, i + 2, i + 3, i + 4], 'w', i);
    expect(tree.blockCount()).toBeLessThanOrEqual(100);
    expect(tree.hits([199, 200]).get('w')).toBe(2);
  });
}
