/** Statistics of one cohort in one stratum: the sums from which a verdict computes means and variances. */
import type { VerdictCounts } from './verdict.js';

/** The result of one request. */
export interface CohortAnswer {
  /** Not answered within its timeout. */
  readonly failed: boolean;
  /** Natural logarithm of the TTFT from arrival; for one that failed, of its whole timeout. */
  readonly logTtft: number;
  /** Natural logarithm of the time per token; undefined where the answer was incomplete or too short to have one. */
  readonly logTokenTime: number | undefined;
}

/** Statistics of a cohort (`slice` or `control`) without requests. */
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

/** Adds the result of a request to the statistics, in place. */
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
