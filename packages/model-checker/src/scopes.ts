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
    thinkUs: 400_000,
    readsPercent: 30,
    sendsAgain: 3,
  };
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
    thinkUs: 300_000,
    readsPercent: 25,
    sendsAgain: 2,
  };
}
