/** Derives the number of replicas of the control cluster from the simultaneous failures that it must tolerate. */
import { maxReplicas } from './replica-limits.js';

/**
 * How many machines, zones or regions may fail at the same time without loss of acknowledged writes or of availability,
 * as configured.
 */
export interface FaultBudget {
  /** Machines that may be lost together with their disks. */
  readonly machines: number;
  /** If this or `regions` is above 0, the cluster has the maximum number of replicas. */
  readonly zones: number;
  readonly regions: number;
}

/** With fewer replicas there is no majority while one of them restarts. */
const minReplicas = 3;

/** Minimum and maximum number of machines that bootstrap a cluster when no seed holds a replica of the control state. */
export interface BootstrapSize {
  /**
   * With fewer, the failure of as many machines as the fault budget allows could lose acknowledged writes. If the
   * budget includes zones or regions, at least `minReplicas` members are required.
   */
  readonly minMembers: number;
  readonly maxMembers: number;
}

/** Used when no fault budget is configured. */
export const defaultBootstrapSize: BootstrapSize = { minMembers: minReplicas, maxMembers: minReplicas };

/**
 * The number of bootstrap members: enough to tolerate the budgeted number of failed machines, and at most the target
 * number of replicas. If zones or regions may be lost, a cluster may also start with fewer replicas than its target.
 */
export function bootstrapSizeFor(budget: FaultBudget): BootstrapSize {
  const spansZones = budget.zones > 0 || budget.regions > 0;
  const replicasForMachines = Math.min(maxReplicas, 2 * budget.machines + 1);
  return {
    minMembers: spansZones ? Math.max(minReplicas, replicasForMachines) : replicasForMachines,
    maxMembers: targetReplicaCount(budget),
  };
}

/**
 * The number of replicas that a cluster grows to. With n replicas, a write is on floor(n / 2) + 1 disks before it is
 * acknowledged, and every decision needs the same number of replicas. With n = 2 f + 1, f machines may be lost together
 * with their disks, even if all others lose power at the same moment and come back. If whole zones or regions may be
 * lost, the cluster uses the maximum number of replicas: placement does not consider which machines share a zone, so
 * the number of replicas that fail together with a zone is not known.
 */
export function targetReplicaCount(budget: FaultBudget): number {
  if (budget.zones > 0 || budget.regions > 0) return maxReplicas;
  return Math.min(maxReplicas, Math.max(minReplicas, 2 * budget.machines + 1));
}
