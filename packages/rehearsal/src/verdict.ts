/**
 * The verdict on a rehearsal: non-inferiority of the slice against the control drawn beside it, on three measures at once:
 * TTFT from arrival, time per token of the answer, and the share answered within patience. The first two are ratios of
 * geometric means, compared within each kind of request and pooled, so that the mix does not blur them; a request that
 * failed counts with its whole patience as TTFT, lest failing fast look good. To pass, all three must be shown to be
 * within their margins; harm shown on any one of them ends it.
 */
import type { CohortStatistics } from '@tansypost/inner-protocol';
import type { CohortMeasurements, Measured } from './record.js';
import {
  moments,
  pooledDifference,
  upperNormalQuantile,
  shareDifference,
  type MeanDifference,
  type Moments,
  type ShareDifference,
} from './statistics.js';

/** How much worse than the control a change may be. */
export interface VerdictOptions {
  /** A pass needs so many requests in each cohort. */
  readonly minCount: number;
  /** As a share of the control's TTFT. */
  readonly ttftMargin: number;
  /** As a share of the control's time per token. */
  readonly tokenMargin: number;
  /** As a difference of shares. */
  readonly failureMargin: number;
}

/** The margins of the product. */
export const verdictDefaults: VerdictOptions = {
  minCount: 200,
  ttftMargin: 0.1,
  tokenMargin: 0.1,
  failureMargin: 0.02,
};

/** Whether a rehearsal goes on, has passed, or is ended as harmful. */
export type Verdict = 'open' | 'pass' | 'harmful';

/** Counts of one cohort in one stratum. */
export type VerdictCounts = Pick<
  CohortStatistics,
  'arm' | 'stratum' | 'count' | 'failures' | 'sum' | 'squares' | 'tokenCount' | 'tokenSum' | 'tokenSquares'
>;

/** A verdict with what it is based on. */
export interface VerdictResult {
  readonly verdict: Verdict;
  readonly measured: Measured;
}

/** Below this count of a cohort nothing is said. */
const leastCount = 30;
/** Any of the measures may show harm, so each may spend its part of the error. */
const measures = 3;

interface Comparison {
  readonly ttft: MeanDifference;
  readonly token: MeanDifference;
  /** The share not answered in patience, at the error for a pass and at the one for harm. */
  readonly failures: ShareDifference;
  readonly failuresForHarm: ShareDifference;
  /** Standard errors to each side, for a pass and for harm. */
  readonly deviations: number;
  readonly deviationsForHarm: number;
}

/**
 * Judges a rehearsal.
 * @param counts counts of both cohorts
 * @param options margins
 * @param spend chance of a wrong verdict that this look may take, see `spendOf`
 */
export function judgeRehearsal(
  counts: readonly VerdictCounts[],
  options: VerdictOptions,
  spend: number,
): VerdictResult {
  const slice = figures(counts.filter((count) => count.arm === 'slice'));
  const control = figures(counts.filter((count) => count.arm === 'control'));
  function result(found: Verdict, why: string): VerdictResult {
    return { verdict: found, measured: { slice, control, why } };
  }
  if (slice.count < leastCount || control.count < leastCount) return result('open', 'too few requests yet');
  const comparison = compare(counts, slice, control, spend);
  const harm = harmShown(comparison, options);
  if (harm !== undefined) return result('harmful', harm);
  const found = describe(comparison);
  const enough = slice.count >= options.minCount && control.count >= options.minCount;
  return enough && withinMargins(comparison, options)
    ? result('pass', found)
    : result('open', `${found}: neither harm nor its absence is shown yet`);
}

function compare(
  counts: readonly VerdictCounts[],
  slice: CohortMeasurements,
  control: CohortMeasurements,
  spend: number,
): Comparison {
  const [deviations, deviationsForHarm] = [upperNormalQuantile(spend), upperNormalQuantile(spend / measures)];
  const [treated, untreated] = [slice, control].map(({ failures, count }) => ({ hits: failures, count }));
  return {
    ttft: pooledDifference(byStratum(counts, ttftMoments)),
    token: pooledDifference(byStratum(counts, tokenMoments)),
    failures: shareDifference(treated!, untreated!, deviations),
    failuresForHarm: shareDifference(treated!, untreated!, deviationsForHarm),
    deviations,
    deviationsForHarm,
  };
}

/** The harm that is shown, in words; nothing where none is. */
function harmShown(comparison: Comparison, options: VerdictOptions): string | undefined {
  const { ttft, token, deviationsForHarm } = comparison;
  if (comparison.failuresForHarm.low > options.failureMargin) {
    return `the share not answered in patience is ${points(comparison.failures)} points above the control's`;
  }
  if (ttft.difference - deviationsForHarm * ttft.error > Math.log(1 + options.ttftMargin)) {
    return `TTFT is ${percent(ttft.difference)} above the control's`;
  }
  if (token.difference - deviationsForHarm * token.error > Math.log(1 + options.tokenMargin)) {
    return `time per token is ${percent(token.difference)} above the control's`;
  }
  return undefined;
}

function withinMargins(comparison: Comparison, options: VerdictOptions): boolean {
  const { ttft, token, failures, deviations } = comparison;
  return (
    isBelow(ttft, deviations, Math.log(1 + options.ttftMargin)) &&
    isBelow(token, deviations, Math.log(1 + options.tokenMargin)) &&
    failures.high < options.failureMargin
  );
}

function isBelow(difference: MeanDifference, deviations: number, margin: number): boolean {
  return difference.weight > 0 && difference.difference + deviations * difference.error < margin;
}

function describe({ ttft, token, failures }: Comparison): string {
  const times = `TTFT ${percent(ttft.difference)}, time per token ${percent(token.difference)}`;
  return `${times}, not answered in patience ${points(failures)} points, against the control`;
}

/** A difference of logarithms as a ratio. */
function percent(difference: number): string {
  return `${((Math.exp(difference) - 1) * 100).toFixed(1)} %`;
}

function points({ difference }: ShareDifference): string {
  return (difference * 100).toFixed(1);
}

type MomentsOf = (counts: readonly VerdictCounts[]) => Moments;

function byStratum(counts: readonly VerdictCounts[], momentsOf: MomentsOf): (readonly [Moments, Moments])[] {
  const strata = new Set(counts.map((count) => count.stratum));
  return [...strata].map((stratum) => {
    const inStratum = counts.filter((count) => count.stratum === stratum);
    const slice = inStratum.filter((count) => count.arm === 'slice');
    const control = inStratum.filter((count) => count.arm === 'control');
    return [momentsOf(slice), momentsOf(control)] as const;
  });
}

function ttftMoments(counts: readonly VerdictCounts[]): Moments {
  return moments(total(counts, 'count'), total(counts, 'sum'), total(counts, 'squares'));
}

function tokenMoments(counts: readonly VerdictCounts[]): Moments {
  return moments(total(counts, 'tokenCount'), total(counts, 'tokenSum'), total(counts, 'tokenSquares'));
}

function total(counts: readonly VerdictCounts[], field: Exclude<keyof VerdictCounts, 'arm' | 'stratum'>): number {
  return counts.reduce((sum, count) => sum + count[field], 0);
}

function figures(counts: readonly VerdictCounts[]): CohortMeasurements {
  const { count, mean, variance } = ttftMoments(counts);
  return { count, failures: total(counts, 'failures'), meanLog: mean, sdLog: Math.sqrt(variance) };
}
