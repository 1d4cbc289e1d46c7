/**
 * The prefix-and-load heuristic, computed before anything else on every decision so that falling back
 * to it costs no time (Algorithm 1 of the paper's appendix A).
 */
import type { Candidate } from './capture.js';

export interface HeuristicOptions {
  readonly imbalance: number;
  readonly overload: number;
}

export function load(c: Candidate): number {
  return c.running + c.queued;
}

function least(cs: readonly Candidate[], random: () => number): Candidate {
  const min = Math.min(...cs.map(load));
  const ties = cs.filter((c) => load(c) === min);
  return ties[Math.floor(random() * ties.length)]!;
}

export function heuristic(
  cs: readonly Candidate[],
  hit: (c: Candidate) => number,
  o: HeuristicOptions,
  random: () => number,
): Candidate {
  const ls = cs.map(load);
  if (Math.max(...ls) - Math.min(...ls) > o.imbalance) return least(cs, random);
  const mean = ls.reduce((a, b) => a + b, 0) / ls.length;
  const sd = Math.sqrt(ls.reduce((a, b) => a + (b - mean) ** 2, 0) / ls.length);
  const best = [...cs]
    .sort((a, b) => hit(b) - hit(a) || load(a) - load(b))
    .find((c) => load(c) <= mean + o.overload * sd);
  if (best === undefined) return least(cs, random);
  const alike = cs.filter((c) => hit(c) === hit(best) && load(c) === load(best));
  return alike[Math.floor(random() * alike.length)]!;
}
