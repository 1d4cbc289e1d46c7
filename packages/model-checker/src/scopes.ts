/** The cluster scopes that the commands and the tests check. */
import type { Scope } from './cluster.js';

/** The scope of a random walk; some seeds let links reorder messages, some start with empty disks. */
export function walkScope(replicas: number, seed: number): Scope {
  return {
    replicas,
    spares: 2,
    followers: 2,
    operators: 2,
    clockDrift: 0.01,
    jitterUs: 3_000,
    orderedLinks: seed % 3 !== 0,
    bootstraps: seed % 4 === 0,
    statelessSeeds: false,
    thinkTimeUs: 400_000,
    readsPercent: 30,
    maxRetries: 3,
  };
}

/** The scope of a random walk over the first start of a system whose seed nodes all hold no state. */
export function bootstrapScope(replicas: number, seed: number): Scope {
  return { ...walkScope(replicas, seed), spares: 1, followers: 3, bootstraps: true, statelessSeeds: true };
}

const minBootstrapReplicas = 3;
const maxBootstrapReplicas = 6;

/** How many machines with disks a bootstrap walk has: too few of them, just enough, or enough for two clusters. */
export function bootstrapReplicaCount(seed: number): number {
  return minBootstrapReplicas + (seed % (maxBootstrapReplicas - minBootstrapReplicas + 1));
}

/** The scope of a search: no spare machines, and messages that arrive at once unless a move delays them. */
export function searchScope(replicas: number): Scope {
  return {
    replicas,
    spares: 0,
    followers: 1,
    operators: 2,
    clockDrift: 0.01,
    jitterUs: 0,
    orderedLinks: true,
    bootstraps: false,
    statelessSeeds: false,
    thinkTimeUs: 300_000,
    readsPercent: 25,
    maxRetries: 2,
  };
}
