/**
 * The recent demand for one service in one zone, or in all zones, measured in fully utilized workers. Single samples
 * fluctuate with each report, so levels are medians. Times are in microseconds.
 */

/** The highest demand within a time window. */
export interface DemandPeak {
  /** The highest level, which is a median. */
  readonly level: number;
  /** The highest mean, over about a second, of the demand as reported. */
  readonly burst: number;
}

/** A history of demand. */
export interface LoadHistory {
  /**
   * Adds a sample: the demand after smoothing, and as reported. A sample that follows the previous one too closely is
   * ignored, and after a long gap the history starts again from empty.
   */
  readonly add: (now: number, demand: number, reported: number) => void;
  /** The median over the last `sustain` microseconds; undefined if the history does not cover them. */
  readonly level: (now: number) => number | undefined;
  /** The highest demand in the last `window` microseconds; undefined if the history does not cover all of them. */
  readonly peak: (now: number, window: number) => DemandPeak | undefined;
  /**
   * The growth of demand within the next `horizon`, extrapolated from the last `window`; 0 unless the trend is significant.
   * Demand must have grown in both halves of the window, as a single step up is not a trend that continues.
   */
  readonly growth: (now: number, window: number, horizon: number) => number;
}

interface Sample {
  readonly at: number;
  readonly demand: number;
  readonly reported: number;
  /** The median over the `sustain` time up to this sample; undefined if the history does not cover it. */
  readonly level: number | undefined;
  /** The mean of the reported demand over the burst window up to this sample. */
  readonly burst: number;
}

const minSampleIntervalUs = 450_000;
const maxGapUs = 3_000_000;
const burstWindowUs = 1_000_000;
/** A slope is significant if it is at least this many times its standard error. */
const minSlopeToError = 5;
const minSamples = 8;

/** Creates an empty history that keeps samples for `retention`; its levels are medians over `sustain`. */
export function createLoadHistory(sustain: number, retention: number): LoadHistory {
  let samples: Sample[] = [];

  function samplesSince(from: number): Sample[] {
    return samples.filter((sample) => sample.at >= from);
  }

  function isCoveredSince(from: number, now: number): boolean {
    const [first, last] = [samples[0], samples.at(-1)];
    return first !== undefined && first.at <= from && now - last!.at <= maxGapUs;
  }

  function add(now: number, demand: number, reported: number): void {
    const last = samples.at(-1);
    if (last !== undefined && now - last.at < minSampleIntervalUs) return;
    if (last !== undefined && now - last.at > maxGapUs) samples = [];
    samples = samplesSince(now - retention - maxGapUs);
    const recentDemand = [...samplesSince(now - sustain).map((sample) => sample.demand), demand];
    const recentReports = samples.filter(({ at }) => at > now - burstWindowUs).map((sample) => sample.reported);
    const burst = mean([...recentReports, reported]);
    const isCovered = isCoveredSince(now - sustain, now);
    const sampleLevel = isCovered ? median(recentDemand) : undefined;
    samples.push({ at: now, demand, reported, level: sampleLevel, burst });
  }

  function level(now: number): number | undefined {
    const last = samples.at(-1);
    return last !== undefined && now - last.at <= maxGapUs ? last.level : undefined;
  }

  function peak(now: number, window: number): DemandPeak | undefined {
    if (!isCoveredSince(now - window - sustain, now)) return undefined;
    const all = samplesSince(now - window);
    return {
      level: Math.max(...all.map((sample) => sample.level ?? 0)),
      burst: Math.max(...all.map((sample) => sample.burst)),
    };
  }

  function growth(now: number, window: number, horizon: number): number {
    if (!isCoveredSince(now - window, now)) return 0;
    const all = samplesSince(now - window);
    const early = all.filter(({ at }) => at < now - window / 2);
    const late = samplesSince(now - window / 2);
    return Math.max(0, Math.min(significantSlope(all), fitSlope(early).slope, fitSlope(late).slope) * horizon);
  }

  return { add, level, peak, growth };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = (sorted.length - 1) / 2;
  return (sorted[Math.floor(middle)]! + sorted[Math.ceil(middle)]!) / 2;
}

/** The slope of the least-squares line through the samples, and the slope's standard error. */
function fitSlope(samples: readonly Sample[]): { readonly slope: number; readonly standardError: number } {
  const count = samples.length;
  if (count < minSamples / 2) return { slope: 0, standardError: 0 };
  const meanAt = mean(samples.map(({ at }) => at));
  const meanDemand = mean(samples.map(({ demand }) => demand));
  const spread = samples.reduce((sum, { at }) => sum + (at - meanAt) ** 2, 0);
  const slope = samples.reduce((sum, { at, demand }) => sum + (at - meanAt) * (demand - meanDemand), 0) / spread;
  const residuals = samples.reduce(
    (sum, { at, demand }) => sum + (demand - meanDemand - slope * (at - meanAt)) ** 2,
    0,
  );
  return { slope, standardError: Math.sqrt(residuals / (count - 2) / spread) };
}

/** The slope; 0 if it is not significant given the variance of the samples. */
function significantSlope(samples: readonly Sample[]): number {
  const { slope, standardError } = fitSlope(samples);
  return samples.length >= minSamples && slope >= minSlopeToError * standardError ? slope : 0;
}
