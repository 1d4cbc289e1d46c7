/** How many replicas a control cluster has, by the losses that it must bear at one moment. */
import { maxReplicas } from './replica-limits.js';

/** What may be lost at the same time while everything acknowledged stays and the cluster goes on. */
export interface FaultBudget {
  /** Machines whose loss counts. */
  readonly machines: number;
  readonly zones: number;
  readonly regions: number;
}

/** Fewer could not take any decision while one of them restarts. */
const minReplicas = 3;

/** With how many machines a cluster is founded that none of the seeds founds. */
export interface BootstrapSize {
  /** With fewer, a loss that the fault budget allows could take what was acknowledged. */
  readonly minMembers: number;
  readonly maxMembers: number;
}

/** Where no fault budget is stated. */
export const defaultBootstrapSize: BootstrapSize = { minMembers: minReplicas, maxMembers: minReplicas };

/** The machines that found a cluster together: as many as bear the losses, and no more than are wanted as replicas. */
export function bootstrapSizeFor(budget: FaultBudget): BootstrapSize {
  const spansZones = budget.zones > 0 || budget.regions > 0;
  const forMachines = Math.min(maxReplicas, 2 * budget.machines + 1);
  return {
    minMembers: spansZones ? Math.max(minReplicas, forMachines) : forMachines,
    maxMembers: targetReplicaCount(budget),
  };
}

/**
 * The number of replicas to grow to. With n of them a value is on n/2 rounded down and one more disks before it is
 * acknowledged, and as many are needed to decide: f machines and their disks may be lost where n is 2 f + 1, also where
 * all others lose power at the same moment and come back. Where whole zones or regions may go, replicas stand on as
 * many machines as there may be, since which machines share a zone is not weighed here.
 */
export function targetReplicaCount(budget: FaultBudget): number {
  if (budget.zones > 0 || budget.regions > 0) return maxReplicas;
  return Math.min(maxReplicas, Math.max(minReplicas, 2 * budget.machines + 1));
}
