/** Limits on the number of replicas. */

/** More replicas than this make each round dearer and bear no losses that a deployment asks for. */
export const maxReplicas = 9;
