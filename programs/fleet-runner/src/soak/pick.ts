/** Selection from a list. */

/** The candidate at a position from 0 (inclusive) to 1 (exclusive) of the list. */
export function pick<T>(candidates: readonly T[], position: number): T {
  return candidates[Math.min(candidates.length - 1, Math.floor(position * candidates.length))]!;
}
