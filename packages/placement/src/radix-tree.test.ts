/** The radix tree against a plain comparison of prompts, and with long sessions of one client. */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { createRadixTree, type RadixTree } from './radix-tree.js';

/** The longest common prefix with the prompts sent to each worker. */
function expectedHits(sent: readonly (readonly [number[], string])[], prompt: readonly number[]): Map<string, number> {
  const expected = new Map<string, number>();
  for (const [blocks, worker] of sent) {
    let length = 0;
    while (length < blocks.length && length < prompt.length && blocks[length] === prompt[length]) length += 1;
    if (length > 0) expected.set(worker, Math.max(length, expected.get(worker) ?? 0));
  }
  return expected;
}

const anyPrompt = fc.array(fc.integer({ min: 0, max: 2 }), { maxLength: 8 });
const anySent = fc.array(fc.tuple(anyPrompt, fc.constantFrom('a', 'b', 'c')), { maxLength: 12 });

it('finds the same hits as a comparison with every prompt sent before', () => {
  fc.assert(
    fc.property(anySent, anyPrompt, (sent, prompt) => {
      const tree = createRadixTree();
      sent.forEach(([blocks, worker], i) => tree.insert(blocks, worker, i));
      const expected = expectedHits(sent, prompt);
      expect(tree.hits(prompt)).toEqual(expected);
      tree.removeWorkers(['a']);
      expected.delete('a');
      expect(tree.hits(prompt)).toEqual(expected);
    }),
    { seed: 17 },
  );
});

it('is empty once all workers are removed, in any groups', () => {
  fc.assert(
    fc.property(anySent, fc.shuffledSubarray(['a', 'b', 'c']), (sent, removedFirst) => {
      const tree = createRadixTree();
      sent.forEach(([blocks, worker], i) => tree.insert(blocks, worker, i));
      tree.removeWorkers(removedFirst);
      tree.removeWorkers(['a', 'b', 'c']);
      expect(tree.blockCount()).toBe(0);
    }),
    { seed: 18 },
  );
});

it('stays within its bound', () => {
  const tree = createRadixTree(100);
  for (let i = 0; i < 200; i += 1) tree.insert([i, i + 1, i + 2, i + 3, i + 4], 'w', i);
  expect(tree.blockCount()).toBeLessThanOrEqual(100);
  expect(tree.hits([199, 200]).get('w')).toBe(2);
});

it('stays within its bound without evicting the prompt that was inserted last', () => {
  fc.assert(
    fc.property(anySent, fc.integer({ min: 9, max: 20 }), (sent, maxBlocks) => {
      const tree = createRadixTree(maxBlocks);
      for (const [i, [blocks, worker]] of sent.entries()) {
        tree.insert(blocks, worker, i);
        expect(tree.blockCount()).toBeLessThanOrEqual(maxBlocks);
        expect(tree.hits(blocks).get(worker) ?? 0).toBe(blocks.length);
      }
      tree.removeWorkers(['a', 'b', 'c']);
      expect(tree.blockCount()).toBe(0);
    }),
    { seed: 19 },
  );
});

/** A tree with one path in which each node holds one block, as a session makes that adds a segment with each request. */
function longSession(depth: number, maxBlocks?: number): RadixTree {
  const tree = createRadixTree(maxBlocks);
  const blocks = Array.from({ length: depth }, (_, i) => i);
  // The longest prompt first, which gives the same tree sooner: each later one splits the topmost node.
  for (let length = depth; length > 0; length -= 1) tree.insert(blocks.slice(0, length), 'w', depth - length);
  return tree;
}

// Guards against the routers that ended when a worker left after a session of thousands of requests.
it('removes a worker after a session of any length', () => {
  const tree = longSession(20_000);
  expect(tree.blockCount()).toBe(20_000);
  tree.removeWorkers(['w']);
  expect(tree.blockCount()).toBe(0);
}, 30_000);

// The same recursion in the eviction, which in addition took quadratic time for a single long path.
it('evicts the end of a session that is longer than the bound', () => {
  const tree = longSession(20_000, 20_000);
  tree.insert([-1], 'w', 30_000);
  expect(tree.blockCount()).toBe(18_000);
  expect(tree.hits(Array.from({ length: 20_000 }, (_, i) => i)).get('w')).toBe(17_999);
}, 30_000);
