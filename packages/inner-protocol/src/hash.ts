/**
 * Hash functions and seeded random numbers. `hash32` distributes keys, members and requests: it has to be uniform and
 * the same in all processes, but not cryptographic. Prompts and models are hashed with SHA-256 instead.
 */
import { createHash } from 'node:crypto';

/** 32-bit hash of a string: FNV-1a, then the finalizer of MurmurHash3. */
export function hash32(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i += 1) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** SHA-256 in hexadecimal. */
export function digest(content: string | Uint8Array): string {
  return createHash('sha256').update(content).digest('hex');
}

/**
 * Rendezvous hashing: orders the items for a key by descending weight. Each key has its own order, and adding or
 * removing an item doesn't change the order of the others.
 */
export function rendezvous<T>(key: string, items: readonly T[], nameOf: (item: T) => string): T[] {
  return items
    .map((item) => ({ item, name: nameOf(item), weight: hash32(`${key}\u0000${nameOf(item)}`) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map((weighted) => weighted.item);
}

/** A seeded generator of numbers from 0 (inclusive) to 1 (exclusive), for the simulator and tools (mulberry32). */
export function createSeededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return function next() {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  };
}
