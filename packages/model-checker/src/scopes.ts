/** The scopes that the commands and the tests run. */
import type { Scope } from './cluster.js';

/** A walk's scope; some seeds let links reorder messages, some begin with blank machines. */
export function walkScope(places: number, seed: number): Scope {
  return {
    places,
    spares: 2,
    followers: 2,
    operators: 2,
    drift: 0.01,
    jitterUs: 3_000,
    orderedLinks: seed % 3 !== 0,
    founding: seed % 4 === 0,
    statelessSeeds: false,
    thinkUs: 400_000,
    readsPercent: 30,
    sendsAgain: 3,
  };
}

/** The scope of a walk over the first start of a system whose seeds all hold no state. */
export function foundingScope(places: number, seed: number): Scope {
  return { ...walkScope(places, seed), spares: 1, followers: 3, founding: true, statelessSeeds: true };
}

const fewestFoundingPlaces = 3;
const mostFoundingPlaces = 6;

/** How many machines with disks a founding walk has: too few of them, just enough, or enough for two groups. */
export function foundingPlaces(seed: number): number {
  return fewestFoundingPlaces + (seed % (mostFoundingPlaces - fewestFoundingPlaces + 1));
}

/** The scope of a search: no spare machines, and messages that take no time unless they are late. */
export function searchScope(places: number): Scope {
  return {
    places,
    spares: 0,
    followers: 1,
    operators: 2,
    drift: 0.01,
    jitterUs: 0,
    orderedLinks: true,
    founding: false,
    statelessSeeds: false,
    thinkUs: 300_000,
    readsPercent: 25,
    sendsAgain: 2,
  };
}
