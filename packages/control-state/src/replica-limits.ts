/** Limits of the number of replicas. */

/** More replicas would make each quorum round more expensive and tolerate more failures than a deployment asks for. */
export const maxReplicas = 9;
