/**
 * Decides how many workers a zone is to have. Up as soon as demand is above what those ordered bear, as far ahead as a
 * worker takes to boot; down by small steps, after demand has been low for several boot times. The gap between the two
 * loads keeps a number that was just reached from being left again.
 */
import type { ScalingBounds } from '@tansypost/paths';
import type { DemandPeak } from './load-history.js';

/** What follows from the boot time; microseconds. */
export interface ScalingWindows {
  /** For so long demand must last to count. */
  readonly sustain: number;
  /** The trend is taken over so much of the past; longer than it is looked ahead, so that a short wave is none. */
  readonly trend: number;
  /** For so long demand must have been low. */
  readonly stabilization: number;
  /** Between two steps down. */
  readonly cooldown: number;
}

/** The loads between which the number stays as it is; 1 is that of workers without a spare moment. */
export interface ScalingThresholds {
  /** Above this load of the workers ordered, more are. */
  readonly scaleUp: number;
  /** The load that an order of more aims at. */
  readonly target: number;
  /** A worker is given up where the load of those left would have stayed below this. */
  readonly scaleDown: number;
  /** The load that those left may have in a moment, or for as long as a zone is lost. */
  readonly maximum: number;
}

/** As weighed in docs/duties.md. */
export const defaultThresholds: ScalingThresholds = { scaleUp: 0.95, target: 0.85, scaleDown: 0.7, maximum: 1 };
/** A step down gives up one worker in so many, and at least one. */
const stepShare = 10;

const shortestBoot = 2_000_000;
const sustainBounds = [2_000_000, 4_000_000] as const;
const bootsPerSustain = 1 / 2;
const bootsPerTrend = 2;
const bootsPerCalm = 3;

/** The windows of a service. */
export function scalingWindows({ bootTime }: ScalingBounds): ScalingWindows {
  const boot = Math.max(bootTime, shortestBoot);
  const [shortest, longest] = sustainBounds;
  return {
    sustain: Math.min(longest, Math.max(shortest, boot * bootsPerSustain)),
    trend: boot * bootsPerTrend,
    stabilization: boot * bootsPerCalm,
    cooldown: boot,
  };
}

/** The number within the bounds of the service. */
export function clampToBounds(workers: number, { minWorkers: least, maxWorkers: most }: ScalingBounds): number {
  return Math.min(most, Math.max(least, workers));
}

/** More than `ordered` where demand is too high for it, else `ordered`. Demand is in workers without a spare moment. */
export function scaledUpCount(ordered: number, demand: number, growth: number, loads: ScalingThresholds): number {
  // No more than doubles, however steep.
  const expected = demand + Math.min(growth, demand);
  return expected > loads.scaleUp * ordered ? Math.max(ordered, Math.ceil(expected / loads.target)) : ordered;
}

/** Whether the workers of a service, given for each zone, bear the demand also without the zone that has most. */
export function toleratesZoneLoss(workersByZone: readonly number[], demand: number, loads: ScalingThresholds): boolean {
  if (workersByZone.length < 2) return true;
  const total = workersByZone.reduce((sum, workers) => sum + workers, 0);
  return (total - Math.max(...workersByZone)) * loads.maximum >= demand;
}

/** One step below `ordered` where those left would have borne the highest recent demand with its growth, else `ordered`. */
export function scaledDownCount(ordered: number, peak: DemandPeak, growth: number, loads: ScalingThresholds): number {
  const needed = Math.ceil(Math.max((peak.level + growth) / loads.scaleDown, peak.burst / loads.maximum));
  const step = Math.max(1, Math.floor(ordered / stepShare));
  return Math.min(ordered, Math.max(needed, ordered - step));
}
