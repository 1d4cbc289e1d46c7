/**
 * Decides the target number of workers of a zone. It scales up as soon as demand, extrapolated by the boot time of a
 * worker, exceeds the capacity of the workers ordered. It scales down in small steps after demand has been low for several
 * boot times. The gap between the two thresholds (hysteresis) keeps the target from oscillating.
 */
import type { ScalingBounds } from '@tansypost/paths';
import type { DemandPeak } from './load-history.js';

/** Time windows derived from the boot time of a worker, in microseconds. */
export interface ScalingWindows {
  /** How long demand must last to be taken into account. */
  readonly sustain: number;
  /** How far back the trend is measured. Longer than the forecast, so that a short wave is not taken for a trend. */
  readonly trend: number;
  /** How long demand must have been low before a scale-down. */
  readonly stabilization: number;
  /** Minimum time between two scale-down steps. */
  readonly cooldown: number;
}

/** Load thresholds for scaling; a load of 1 means that the workers are fully utilized. */
export interface ScalingThresholds {
  /** Scale up if the load of the workers ordered exceeds this. */
  readonly scaleUp: number;
  /** The load that a scale-up aims for. */
  readonly target: number;
  /** Scale down if the load of the remaining workers would have stayed below this. */
  readonly scaleDown: number;
  /** The load that the remaining workers may have for about a second, or while a zone is lost. */
  readonly maximum: number;
}

/** Chosen by the comparison in docs/duties.md. */
export const defaultThresholds: ScalingThresholds = { scaleUp: 0.95, target: 0.85, scaleDown: 0.7, maximum: 1 };
/** A scale-down step removes one worker in this many, but at least one. */
const stepDivisor = 10;

const minBootTimeUs = 2_000_000;
const sustainBoundsUs = [2_000_000, 4_000_000] as const;
const sustainPerBootTime = 1 / 2;
const trendPerBootTime = 2;
const stabilizationPerBootTime = 3;

/** The scaling windows of a service. */
export function scalingWindows({ bootTime }: ScalingBounds): ScalingWindows {
  const boot = Math.max(bootTime, minBootTimeUs);
  const [shortest, longest] = sustainBoundsUs;
  return {
    sustain: Math.min(longest, Math.max(shortest, boot * sustainPerBootTime)),
    trend: boot * trendPerBootTime,
    stabilization: boot * stabilizationPerBootTime,
    cooldown: boot,
  };
}

/** Limits a number of workers to the bounds of the service. */
export function clampToBounds(workers: number, { minWorkers, maxWorkers }: ScalingBounds): number {
  return Math.min(maxWorkers, Math.max(minWorkers, workers));
}

/** A target above `ordered` if demand, in fully utilized workers, is too high for `ordered`, else `ordered`. */
export function scaledUpCount(ordered: number, demand: number, growth: number, thresholds: ScalingThresholds): number {
  // The forecast is at most twice the demand, however steep the trend is.
  const expected = demand + Math.min(growth, demand);
  return expected > thresholds.scaleUp * ordered ? Math.max(ordered, Math.ceil(expected / thresholds.target)) : ordered;
}

/** Whether the workers of a service can carry the demand even if the zone with the most workers is lost. */
export function toleratesZoneLoss(
  workersByZone: readonly number[],
  demand: number,
  thresholds: ScalingThresholds,
): boolean {
  if (workersByZone.length < 2) return true;
  const total = workersByZone.reduce((sum, workers) => sum + workers, 0);
  return (total - Math.max(...workersByZone)) * thresholds.maximum >= demand;
}

/** One step below `ordered` if the remaining workers could have carried the recent peak plus its growth, else `ordered`. */
export function scaledDownCount(
  ordered: number,
  peak: DemandPeak,
  growth: number,
  thresholds: ScalingThresholds,
): number {
  const needed = Math.ceil(Math.max((peak.level + growth) / thresholds.scaleDown, peak.burst / thresholds.maximum));
  const step = Math.max(1, Math.floor(ordered / stepDivisor));
  return Math.min(ordered, Math.max(needed, ordered - step));
}
