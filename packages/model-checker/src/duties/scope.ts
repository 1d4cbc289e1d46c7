/** The settings of one duty schedule. All times are in microseconds. */

/** The settings of one schedule; the seed determines everything else. */
export interface DutyScope {
  readonly seed: number;
  readonly nodes: number;
  /** Whether the platform rejects a fence that is lower than one it has seen. */
  readonly fenceChecked: boolean;
  /**
   * Whether voters may forget their grants and vote again at once, as only faults beyond the fault budget could cause.
   * Two nodes may then hold the lease at the same time, and only the rules that do not depend on the lease must hold.
   */
  readonly leasesOverlap: boolean;
}

const secondUs = 1_000_000;
/** The kinds of schedules, by `seed % scopeKindCount`. */
export const scopeKinds = { fencesChecked: 0, fencesUnchecked: 1, leasesOverlap: 2 } as const;
/** The number of kinds of schedules. */
export const scopeKindCount = 3;
const minNodes = 3;
/** How many different numbers of nodes there are. */
const nodeCounts = 3;

/** Durations and points in time common to all schedules. */
export const scheduleTimes = {
  leaseDuration: 4.5 * secondUs,
  minTakeoverGap: 3 * secondUs,
  /** All faults end by this time; pending calls must be caught up in the rest of the schedule. */
  faultsEndAt: 40 * secondUs,
  end: 70 * secondUs,
  /** A leader without faults for this long counts as reachable. */
  contactWindow: 4 * secondUs,
  usageWindow: 2 * secondUs,
  callTimeout: 1.5 * secondUs,
  storeTimeout: 1.5 * secondUs,
} as const;

/** The maximum number of calls that one process may make per second. */
export const callsPerSecond = 4;

/**
 * The settings of a seed: 3 to 5 nodes, and one of three kinds: fences checked, fences unchecked, or leases that overlap
 * (with checked fences).
 */
export function scopeOf(seed: number): DutyScope {
  const kind = seed % scopeKindCount;
  const nodes = minNodes + (Math.floor(seed / scopeKindCount) % nodeCounts);
  return {
    seed,
    nodes,
    fenceChecked: kind !== scopeKinds.fencesUnchecked,
    leasesOverlap: kind === scopeKinds.leasesOverlap,
  };
}
