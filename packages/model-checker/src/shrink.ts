/**
 * Minimises a counterexample by delta debugging over its list of moves (A. Zeller and R. Hildebrandt, "Simplifying and
 * Isolating Failure-Inducing Input", TSE 28(2), 2002). A shorter list is kept when it breaks the same rule.
 */
import type { PlacedMove } from './schedule.js';

/** How a shorter list is tested, and the limit on runs. */
export interface ShrinkOptions {
  readonly reproduces: (moves: readonly PlacedMove[]) => Promise<boolean>;
  readonly maxRuns: number;
}

/** The shortest list found that still breaks the rule. */
export async function shrinkMoves(
  moves: readonly PlacedMove[],
  options: ShrinkOptions,
): Promise<readonly PlacedMove[]> {
  let shortest = moves;
  let partCount = 2;
  let runs = 0;
  while (shortest.length > 0 && runs < options.maxRuns) {
    const size = Math.ceil(shortest.length / partCount);
    let shorter: readonly PlacedMove[] | undefined;
    for (let from = 0; from < shortest.length && shorter === undefined && runs < options.maxRuns; from += size) {
      const remaining = [...shortest.slice(0, from), ...shortest.slice(from + size)];
      runs += 1;
      if (await options.reproduces(remaining)) shorter = remaining;
    }
    if (shorter !== undefined) {
      shortest = shorter;
      partCount = Math.max(2, partCount - 1);
    } else if (size <= 1) break;
    else partCount = Math.min(shortest.length, 2 * partCount);
  }
  return shortest;
}
