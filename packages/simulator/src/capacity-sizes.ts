/** The sizes that are measured, what one of them takes of memory, and whether the machine has it. */
import * as E from 'fp-ts/lib/Either.js';

export interface CapacitySize {
  readonly members: number;
  readonly workers: number;
}
export const usualSizes: readonly CapacitySize[] = [
  { members: 12, workers: 24 },
  { members: 48, workers: 94 },
  { members: 120, workers: 234 },
  { members: 420, workers: 820 },
];

// Ours: bytes that a hollow member takes at most, alone and for each worker and each other member it knows of.
const own = 600_000;
const perWorker = 5_000;
const perMember = 1_500;

export function memoryOf(s: CapacitySize): number {
  return s.members * (own + perWorker * s.workers + perMember * s.members) + 150_000_000;
}

// The most members that fit with as many workers a member.
export function mostMembers(limit: number, ratio: number): number {
  let n = 0;
  while (n < 100_000 && memoryOf({ members: n + 1, workers: Math.round((n + 1) * ratio) }) <= limit) n += 1;
  return n;
}

// Sizes are written as 12x24,48x94: members, then workers.
export function parseSizes(text: string, limit: number): E.Either<string, readonly CapacitySize[]> {
  const out: CapacitySize[] = [];
  for (const t of text.split(',')) {
    const m = /^([1-9]\d{0,5})x([1-9]\d{0,5})$/.exec(t.trim());
    if (m === null) return E.left(`"${t}" is no size; write members and workers as in 12x24.`);
    const s = { members: Number(m[1]), workers: Number(m[2]) };
    if (memoryOf(s) > limit) {
      const n = mostMembers(limit, s.workers / s.members);
      return E.left(
        `${t} would take ${mb(memoryOf(s))} MB, and this process may use ${mb(limit)} MB; ${n}x${Math.round((n * s.workers) / s.members)} would fit.`,
      );
    }
    out.push(s);
  }
  return E.right(out);
}

function mb(bytes: number): number {
  return Math.round(bytes / 1_000_000);
}
