/** How many replicas a control cluster has, by the losses that it must bear at one moment. */
import { mostReplicas } from './membership-changes.js';

/** What may be lost at the same time while everything acknowledged stays and the cluster goes on. */
export interface FaultBudget {
  /** Machines whose loss counts. */
  readonly machines: number;
  readonly zones: number;
  readonly regions: number;
}

/** Fewer could not take any decision while one of them restarts. */
const fewestReplicas = 3;

/**
 * The number of replicas to grow to. With n of them a value is on n/2 rounded down and one more disks before it is
 * acknowledged, and as many are needed to decide: f machines and their disks may be lost where n is 2 f + 1, also where
 * all others lose power at the same moment and come back. Where whole zones or regions may go, replicas stand on as
 * many machines as there may be, since which machines share a zone is not weighed here.
 */
export function replicasFor(budget: FaultBudget): number {
  if (budget.zones > 0 || budget.regions > 0) return mostReplicas;
  return Math.min(mostReplicas, Math.max(fewestReplicas, 2 * budget.machines + 1));
}
