/** Derives the number of replicas of the control cluster from the simultaneous failures that it must tolerate. */
import { maxReplicas } from './replica-limits.js';

/** Failures that may occur at the same time without loss of acknowledged writes or of availability. */
export interface FaultBudget {
  /** Number of machines. */
  readonly machines: number;
  readonly zones: number;
  readonly regions: number;
}

/** With fewer replicas there is no majority while one of them restarts. */
const minReplicas = 3;

/** Number of machines that bootstrap a cluster when no seed holds control state. */
export interface BootstrapSize {
  /** With fewer, a failure within the fault budget could lose acknowledged writes. */
  readonly minMembers: number;
  readonly maxMembers: number;
}

/** Used when no fault budget is configured. */
export const defaultBootstrapSize: BootstrapSize = { minMembers: minReplicas, maxMembers: minReplicas };

/** The number of bootstrap members: enough to tolerate the fault budget, and at most the target number of replicas. */
export function bootstrapSizeFor(budget: FaultBudget): BootstrapSize {
  const spansZones = budget.zones > 0 || budget.regions > 0;
  const forMachines = Math.min(maxReplicas, 2 * budget.machines + 1);
  return {
    minMembers: spansZones ? Math.max(minReplicas, forMachines) : forMachines,
    maxMembers: targetReplicaCount(budget),
  };
}

/**
 * The number of replicas that a cluster grows to. With n replicas, a write is on floor(n / 2) + 1 disks before it is
 * acknowledged, and as many replicas are needed for a decision. With n = 2 f + 1, f machines may be lost together with
 * their disks, even if all others lose power at the same moment and come back. If whole zones or regions may be lost,
 * the cluster uses the maximum number of replicas, because placement does not consider which machines share a zone.
 */
export function targetReplicaCount(budget: FaultBudget): number {
  if (budget.zones > 0 || budget.regions > 0) return maxReplicas;
  return Math.min(maxReplicas, Math.max(minReplicas, 2 * budget.machines + 1));
}
