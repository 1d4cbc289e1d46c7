/**
 * Makes a counterexample short: delta debugging over the list of moves (A. Zeller and R. Hildebrandt, "Simplifying and
 * Isolating Failure-Inducing Input", TSE 28(2), 2002). A shorter list counts when it breaks the same rule.
 */
import type { PlacedMove } from './schedule.js';

/** How to try a shorter list, and how often. */
export interface ShrinkOptions {
  readonly reproduces: (moves: readonly PlacedMove[]) => Promise<boolean>;
  /** How many runs may be spent. */
  readonly maxRuns: number;
}

/** The shortest list found that still breaks the rule. */
export async function shrinkMoves(
  moves: readonly PlacedMove[],
  options: ShrinkOptions,
): Promise<readonly PlacedMove[]> {
  let best = moves;
  let parts = 2;
  let runs = 0;
  while (best.length > 0 && runs < options.maxRuns) {
    const size = Math.ceil(best.length / parts);
    let shorter: readonly PlacedMove[] | undefined;
    for (let from = 0; from < best.length && shorter === undefined && runs < options.maxRuns; from += size) {
      const rest = [...best.slice(0, from), ...best.slice(from + size)];
      runs += 1;
      if (await options.reproduces(rest)) shorter = rest;
    }
    if (shorter !== undefined) {
      best = shorter;
      parts = Math.max(2, parts - 1);
    } else if (size <= 1) break;
    else parts = Math.min(best.length, 2 * parts);
  }
  return best;
}
