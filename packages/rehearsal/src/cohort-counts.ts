/** Counts of one cohort (arm) in one stratum: the sums from which a verdict takes means and variances. */
import type { VerdictCounts } from './verdict.js';

/** One answer as it is counted. */
export interface CohortAnswer {
  /** Not answered within its patience. */
  readonly failed: boolean;
  /** Natural logarithm of the TTFT from arrival; for one that failed, of its whole patience. */
  readonly logTtft: number;
  /** Natural logarithm of the time per token, where the answer was whole and long enough to have one. */
  readonly logTokenTime: number | undefined;
}

/** Counts of nothing yet. */
export function createCohortCounts(arm: string, stratum: string): VerdictCounts {
  return {
    arm,
    stratum,
    count: 0,
    failures: 0,
    sum: 0,
    squares: 0,
    tokenCount: 0,
    tokenSum: 0,
    tokenSquares: 0,
  };
}

/** Adds an answer to the counts, in place. */
export function countAnswer(counts: VerdictCounts, answer: CohortAnswer): void {
  const { failed, logTtft, logTokenTime } = answer;
  counts.count += 1;
  if (failed) counts.failures += 1;
  counts.sum += logTtft;
  counts.squares += logTtft * logTtft;
  if (logTokenTime === undefined) return;
  counts.tokenCount += 1;
  counts.tokenSum += logTokenTime;
  counts.tokenSquares += logTokenTime * logTokenTime;
}
