/** What one schedule of duties is played with. Times are microseconds. */

/** One schedule; the seed draws everything else. */
export interface DutyScope {
  readonly seed: number;
  readonly nodes: number;
  /** Whether the platform refuses a fence that is lower than one seen. */
  readonly fenceChecked: boolean;
  /**
   * Whether voters may forget their grants and vote again at once, which no fault within the budget brings about: then
   * two nodes hold the lease at once, and only what does not rest on the lease must hold.
   */
  readonly leasesOverlap: boolean;
}

const second = 1_000_000;
/** Kinds of schedules, by the remainder of their seed. */
export const scopeKinds = { fencesChecked: 0, fencesUnchecked: 1, leasesOverlap: 2 } as const;
/** How many kinds there are. */
export const scopeKindCount = 3;
const fewestNodes = 3;
const sizes = 3;

/** The times of all schedules. */
export const times = {
  leaseDuration: 4.5 * second,
  minTakeoverGap: 3 * second,
  /** Troubles end here, and what is owed is caught up in the rest. */
  faultsEndAt: 40 * second,
  end: 70 * second,
  /** Without trouble for so long, a holder counts as in touch. */
  contactWindow: 4 * second,
  usageWindow: 2 * second,
  callTimeout: 1.5 * second,
  storeTimeout: 1.5 * second,
} as const;

/** Calls that one holder may make a second. */
export const callsPerSecond = 4;

/** The schedule of a seed: 3 to 5 nodes, fences checked or not, leases sound or not. */
export function scopeOf(seed: number): DutyScope {
  const kind = seed % scopeKindCount;
  const nodes = fewestNodes + (Math.floor(seed / scopeKindCount) % sizes);
  return {
    seed,
    nodes,
    fenceChecked: kind !== scopeKinds.fencesUnchecked,
    leasesOverlap: kind === scopeKinds.leasesOverlap,
  };
}
