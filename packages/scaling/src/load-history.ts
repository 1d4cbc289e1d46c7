/**
 * The recent demand of one service in one zone, or in all: how many workers would be without a spare moment under it.
 * Single figures swing with each report, so levels are medians. Times are microseconds.
 */

/** The highest demand of a time. */
export interface DemandPeak {
  /** The highest level. */
  readonly level: number;
  /** The mean of the most loaded moment as reported, which lasted for about a second. */
  readonly burst: number;
}

/** A history of demand. */
export interface LoadHistory {
  /**
   * Takes a figure, smoothed and as it was reported; one that comes too soon after the last is left out, and after a gap
   * the history begins anew.
   */
  readonly add: (now: number, demand: number, reported: number) => void;
  /** The median of the last `sustain`; undefined where they are not known. */
  readonly level: (now: number) => number | undefined;
  /** The highest of the last `window`; undefined where not all of it is known. */
  readonly peak: (now: number, window: number) => DemandPeak | undefined;
  /**
   * By how much demand grows in `ahead` if it goes on as in the last `window`; 0 where no growth is certain. It must have
   * grown in both halves of the window: a step up is no growth that goes on.
   */
  readonly growth: (now: number, window: number, ahead: number) => number;
}

interface Sample {
  readonly at: number;
  readonly demand: number;
  readonly reported: number;
  /** The median up to it; undefined where that is not known. */
  readonly level: number | undefined;
  /** The mean of what was reported in the moment up to it. */
  readonly moment: number;
}

const sampleEvery = 450_000;
const longestGap = 3_000_000;
const momentLength = 1_000_000;
/** A slope counts when it is as many times its standard error. */
const certainSlope = 5;
const leastSamples = 8;

/** A history that keeps `keptFor`, with levels over `sustain`. */
export function createLoadHistory(sustain: number, keptFor: number): LoadHistory {
  let samples: Sample[] = [];

  function since(from: number): Sample[] {
    return samples.filter((sample) => sample.at >= from);
  }

  function isKnownSince(from: number, now: number): boolean {
    const [first, last] = [samples[0], samples.at(-1)];
    return first !== undefined && first.at <= from && now - last!.at <= longestGap;
  }

  function add(now: number, demand: number, reported: number): void {
    const last = samples.at(-1);
    if (last !== undefined && now - last.at < sampleEvery) return;
    if (last !== undefined && now - last.at > longestGap) samples = [];
    samples = since(now - keptFor - longestGap);
    const recent = [...since(now - sustain).map((sample) => sample.demand), demand];
    const lately = samples.filter(({ at }) => at > now - momentLength).map((sample) => sample.reported);
    const moment = mean([...lately, reported]);
    const isCovered = isKnownSince(now - sustain, now);
    const newLevel = isCovered ? median(recent) : undefined;
    samples.push({ at: now, demand, reported, level: newLevel, moment });
  }

  function level(now: number): number | undefined {
    const last = samples.at(-1);
    return last !== undefined && now - last.at <= longestGap ? last.level : undefined;
  }

  function peak(now: number, window: number): DemandPeak | undefined {
    if (!isKnownSince(now - window - sustain, now)) return undefined;
    const all = since(now - window);
    return {
      level: Math.max(...all.map((sample) => sample.level ?? 0)),
      burst: Math.max(...all.map((sample) => sample.moment)),
    };
  }

  function growth(now: number, window: number, ahead: number): number {
    if (!isKnownSince(now - window, now)) return 0;
    const all = since(now - window);
    const early = all.filter(({ at }) => at < now - window / 2);
    const late = since(now - window / 2);
    return Math.max(0, Math.min(certainSlopeOf(all), slopeOf(early).slope, slopeOf(late).slope) * ahead);
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

/** The least-squares line through the samples: its slope, and what that may be off by. */
function slopeOf(samples: readonly Sample[]): { readonly slope: number; readonly standardError: number } {
  const count = samples.length;
  if (count < leastSamples / 2) return { slope: 0, standardError: 0 };
  const meanAt = mean(samples.map(({ at }) => at));
  const meanDemand = mean(samples.map(({ demand }) => demand));
  const spread = samples.reduce((sum, { at }) => sum + (at - meanAt) ** 2, 0);
  const slope = samples.reduce((sum, { at, demand }) => sum + (at - meanAt) * (demand - meanDemand), 0) / spread;
  const left = samples.reduce((sum, { at, demand }) => sum + (demand - meanDemand - slope * (at - meanAt)) ** 2, 0);
  return { slope, standardError: Math.sqrt(left / (count - 2) / spread) };
}

/** The slope; 0 where it does not stand out from what the figures vary by. */
function certainSlopeOf(samples: readonly Sample[]): number {
  const { slope, standardError } = slopeOf(samples);
  return samples.length >= leastSamples && slope >= certainSlope * standardError ? slope : 0;
}
