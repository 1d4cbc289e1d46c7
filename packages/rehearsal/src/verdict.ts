/**
 * The verdict on a rehearsal: a test of non-inferiority of the treatment cohort (`slice`) against the control cohort drawn
 * beside it, on three measures: TTFT from arrival, time per token, and the share of requests answered within
 * their timeout. The first two are ratios of geometric means, compared within each stratum (kind of request) and pooled, so
 * that a different mix of requests does not distort them. A request that failed counts with its whole timeout as TTFT,
 * so that failing fast does not look good. To pass, all three measures must be shown to be within their margins; harm shown
 * on any one ends the rehearsal.
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

/** How much worse than the control cohort a change may be. */
export interface VerdictOptions {
  /** Least number of requests in each cohort for a pass. */
  readonly minCount: number;
  /** As a share of the control's TTFT. */
  readonly ttftMargin: number;
  /** As a share of the control's time per token. */
  readonly tokenMargin: number;
  /** As a difference of shares. */
  readonly failureMargin: number;
}

/** Default margins. */
export const verdictDefaults: VerdictOptions = {
  minCount: 200,
  ttftMargin: 0.1,
  tokenMargin: 0.1,
  failureMargin: 0.02,
};

/** Whether a rehearsal goes on, passes, or ends as harmful. */
export type Verdict = 'open' | 'pass' | 'harmful';

/** Statistics of one cohort in one stratum. */
export type VerdictCounts = Pick<
  CohortStatistics,
  'arm' | 'stratum' | 'count' | 'failures' | 'sum' | 'squares' | 'tokenCount' | 'tokenSum' | 'tokenSquares'
>;

/** A verdict with the measurements that it is based on. */
export interface VerdictResult {
  readonly verdict: Verdict;
  readonly measured: Measured;
}

/** With fewer requests than this in a cohort, there is no verdict. */
const minCountForVerdict = 30;
/** Harm on any of the measures ends a rehearsal, so each may take only its share of the error (Bonferroni). */
const measureCount = 3;

interface Comparison {
  readonly ttft: MeanDifference;
  readonly token: MeanDifference;
  /** Difference in the share not answered in time, with intervals for a pass and for harm. */
  readonly failures: ShareDifference;
  readonly failuresForHarm: ShareDifference;
  /** Half width of the intervals in standard errors, for a pass and for harm. */
  readonly deviations: number;
  readonly deviationsForHarm: number;
}

/**
 * Judges a rehearsal.
 * @param counts statistics of both cohorts
 * @param options margins and least counts
 * @param errorBudget chance of a wrong verdict that this analysis may take, see `errorBudgetOf`
 */
export function judgeRehearsal(
  counts: readonly VerdictCounts[],
  options: VerdictOptions,
  errorBudget: number,
): VerdictResult {
  const treatment = measure(counts.filter((count) => count.arm === 'slice'));
  const control = measure(counts.filter((count) => count.arm === 'control'));
  function result(found: Verdict, why: string): VerdictResult {
    return { verdict: found, measured: { slice: treatment, control, why } };
  }
  if (treatment.count < minCountForVerdict || control.count < minCountForVerdict)
    return result('open', 'too few requests yet');
  const comparison = compare(counts, treatment, control, errorBudget);
  const harm = harmShown(comparison, options);
  if (harm !== undefined) return result('harmful', harm);
  const found = describe(comparison);
  const isLargeEnough = treatment.count >= options.minCount && control.count >= options.minCount;
  return isLargeEnough && withinMargins(comparison, options)
    ? result('pass', found)
    : result('open', `${found}: neither harm nor its absence is shown yet`);
}

function compare(
  counts: readonly VerdictCounts[],
  treatment: CohortMeasurements,
  control: CohortMeasurements,
  errorBudget: number,
): Comparison {
  const [deviations, deviationsForHarm] = [
    upperNormalQuantile(errorBudget),
    upperNormalQuantile(errorBudget / measureCount),
  ];
  const [treatmentFailures, controlFailures] = [treatment, control].map(({ failures, count }) => ({
    hits: failures,
    count,
  }));
  return {
    ttft: pooledDifference(byStratum(counts, ttftMoments)),
    token: pooledDifference(byStratum(counts, tokenMoments)),
    failures: shareDifference(treatmentFailures!, controlFailures!, deviations),
    failuresForHarm: shareDifference(treatmentFailures!, controlFailures!, deviationsForHarm),
    deviations,
    deviationsForHarm,
  };
}

/** Describes the harm that is shown; undefined where none is. */
function harmShown(comparison: Comparison, options: VerdictOptions): string | undefined {
  const { ttft, token, deviationsForHarm } = comparison;
  if (comparison.failuresForHarm.low > options.failureMargin) {
    return `the share of requests not answered in time is ${points(comparison.failures)} points above the control's`;
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
  return `${times}, not answered in time ${points(failures)} points, against the control`;
}

/** Formats a difference of logarithms as a relative difference. */
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
    const treatment = inStratum.filter((count) => count.arm === 'slice');
    const control = inStratum.filter((count) => count.arm === 'control');
    return [momentsOf(treatment), momentsOf(control)] as const;
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

function measure(counts: readonly VerdictCounts[]): CohortMeasurements {
  const { count, mean, variance } = ttftMoments(counts);
  return { count, failures: total(counts, 'failures'), meanLog: mean, sdLog: Math.sqrt(variance) };
}
