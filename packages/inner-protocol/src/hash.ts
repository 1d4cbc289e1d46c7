/**
 * Hash functions and seeded random numbers. `hash32` distributes keys, members and requests: it has to be uniform and
 * the same in all processes, but not cryptographic. Prompts and models are hashed with SHA-256 instead.
 */
import { createHash } from 'node:crypto';

const fnvOffsetBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** FNV-1a; the hash of a text continues from that of its beginning. */
function fnv1a(text: string, begun: number = fnvOffsetBasis): number {
  let hash = begun;
  for (let i = 0; i < text.length; i += 1) hash = Math.imul(hash ^ text.charCodeAt(i), fnvPrime);
  return hash;
}

/** The finalizer of MurmurHash3. */
function finalize(hash: number): number {
  let mixed = hash ^ (hash >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** 32-bit hash of a string: FNV-1a, then the finalizer of MurmurHash3. */
export function hash32(text: string): number {
  return finalize(fnv1a(text));
}

/** SHA-256 in hexadecimal. */
export function digest(content: string | Uint8Array): string {
  return createHash('sha256').update(content).digest('hex');
}

/**
 * Rendezvous hashing: orders the items for a key by descending weight. Each key has its own order, and adding or
 * removing an item doesn't change the order of the others. The weight of an item is the hash of key and name; the key,
 * which may be as long as the headers of a request, is hashed once for all items.
 */
export function rendezvous<T>(key: string, items: readonly T[], nameOf: (item: T) => string): T[] {
  const keyHash = fnv1a(`${key}\u0000`);
  return items
    .map((item) => ({ item, name: nameOf(item) }))
    .map(({ item, name }) => ({ item, name, weight: finalize(fnv1a(name, keyHash)) }))
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
