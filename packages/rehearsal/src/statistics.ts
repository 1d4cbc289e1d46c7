/** Statistics for verdicts: quantiles, moments, confidence intervals of proportions, and pooled differences. */

/** The upper quantile of the normal distribution (Abramowitz and Stegun 26.2.23, error below 0.0005). */
export function upperNormalQuantile(alpha: number): number {
  if (alpha <= 0) return Infinity;
  const root = Math.sqrt(-2 * Math.log(alpha));
  const numerator = 2.515517 + 0.802853 * root + 0.010328 * root * root;
  const denominator = 1 + 1.432788 * root + 0.189269 * root * root + 0.001308 * root ** 3;
  return root - numerator / denominator;
}

/** Count, mean and unbiased variance of a sample. */
export interface Moments {
  readonly count: number;
  readonly mean: number;
  readonly variance: number;
}

/** Moments from the sums of the values and of their squares. */
export function moments(count: number, sum: number, squares: number): Moments {
  const mean = count > 0 ? sum / count : 0;
  const variance = count > 1 ? (Math.max(0, squares / count - mean * mean) * count) / (count - 1) : 0;
  return { count, mean, variance };
}

/** A proportion and the bounds of its confidence interval. */
interface ShareInterval {
  readonly share: number;
  readonly low: number;
  readonly high: number;
}

/** Wilson's score interval of a proportion. */
function wilson(hits: number, count: number, deviations: number): ShareInterval {
  const share = hits / count;
  const scale = 1 + (deviations * deviations) / count;
  const middle = (share + (deviations * deviations) / (2 * count)) / scale;
  const inner = (share * (1 - share)) / count + (deviations * deviations) / (4 * count * count);
  const half = (deviations * Math.sqrt(inner)) / scale;
  return { share, low: middle - half, high: middle + half };
}

/** How often something happened in a sample. */
export interface Proportion {
  readonly hits: number;
  readonly count: number;
}

/** The difference of two proportions and the bounds of its confidence interval. */
export interface ShareDifference {
  readonly difference: number;
  readonly low: number;
  readonly high: number;
}

/** Newcombe's interval of the difference of two proportions, `deviations` standard errors to each side. */
export function shareDifference(first: Proportion, second: Proportion, deviations: number): ShareDifference {
  const one = wilson(first.hits, first.count, deviations);
  const two = wilson(second.hits, second.count, deviations);
  const difference = one.share - two.share;
  return {
    difference,
    low: difference - Math.sqrt((one.share - one.low) ** 2 + (two.high - two.share) ** 2),
    high: difference + Math.sqrt((one.high - one.share) ** 2 + (two.share - two.low) ** 2),
  };
}

/** A difference of means and its standard error; `weight` is 0 where nothing could be compared. */
export interface MeanDifference {
  readonly difference: number;
  readonly error: number;
  readonly weight: number;
}

/** A stratum in which either sample is smaller is left out. */
const minPerStratum = 5;

/** The difference of means, computed within each stratum and pooled. Each pair holds one stratum's two samples. */
export function pooledDifference(strata: readonly (readonly [Moments, Moments])[]): MeanDifference {
  let [totalWeight, difference, variance] = [0, 0, 0];
  for (const [one, two] of strata) {
    if (one.count < minPerStratum || two.count < minPerStratum) continue;
    // The weight is symmetric in the two samples: a large treatment beside a small control counts like the reverse.
    const weight = (one.count * two.count) / (one.count + two.count);
    totalWeight += weight;
    difference += weight * (one.mean - two.mean);
    variance += weight * weight * (one.variance / one.count + two.variance / two.count);
  }
  if (totalWeight === 0) return { difference: 0, error: Infinity, weight: 0 };
  return { difference: difference / totalWeight, error: Math.sqrt(variance) / totalWeight, weight: totalWeight };
}
