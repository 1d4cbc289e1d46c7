// Hashes used to spread keys, members and requests. They need to be even and the same everywhere,
// not secret; prompts and models are digested with SHA-256 instead.
import { createHash } from 'node:crypto';

export function hash32(s: string): number {
  let h = 0x811c9dc5;
  for (let i = 0; i < s.length; i += 1) h = Math.imul(h ^ s.charCodeAt(i), 0x01000193);
  h ^= h >>> 16;
  h = Math.imul(h, 0x85ebca6b);
  h ^= h >>> 13;
  h = Math.imul(h, 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}

export function digest(b: string | Uint8Array): string {
  return createHash('sha256').update(b).digest('hex');
}

// The highest weight first: each key orders the names in its own, steady way.
export function rendezvous<T>(k: string, xs: readonly T[], name: (x: T) => string): T[] {
  return xs
    .map((x) => ({ x, n: name(x), w: hash32(`${k}\u0000${name(x)}`) }))
    .sort((a, b) => b.w - a.w || (a.n < b.n ? -1 : 1))
    .map((e) => e.x);
}

// A seeded generator for the simulator and the tools (mulberry32).
export function seeded(seed: number): () => number {
  let a = seed >>> 0;
  return function next() {
    a = (a + 0x6d2b79f5) >>> 0;
    let t = Math.imul(a ^ (a >>> 15), a | 1);
    t = (t + Math.imul(t ^ (t >>> 7), t | 61)) ^ t;
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
  };
}
