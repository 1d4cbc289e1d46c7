/**
 * The prefix-and-load heuristic, computed before anything else on every decision so that falling back
 * to it costs no time (Algorithm 1 of the paper's appendix A).
 */
import type { Candidate } from './worker-snapshot.js';

export interface HeuristicOptions {
  readonly maxLoadImbalance: number;
  readonly maxLoadDeviations: number;
}

export function requestLoad(c: Candidate): number {
  return c.running + c.queued;
}

function least(cs: readonly Candidate[], random: () => number): Candidate {
  const min = Math.min(...cs.map(requestLoad));
  const ties = cs.filter((c) => requestLoad(c) === min);
  return ties[Math.floor(random() * ties.length)]!;
}

export function selectByHeuristic(
  cs: readonly Candidate[],
  hit: (c: Candidate) => number,
  o: HeuristicOptions,
  random: () => number,
): Candidate {
  const ls = cs.map(requestLoad);
  if (Math.max(...ls) - Math.min(...ls) > o.maxLoadImbalance) return least(cs, random);
  const mean = ls.reduce((a, b) => a + b, 0) / ls.length;
  const sd = Math.sqrt(ls.reduce((a, b) => a + (b - mean) ** 2, 0) / ls.length);
  const best = [...cs]
    .sort((a, b) => hit(b) - hit(a) || requestLoad(a) - requestLoad(b))
    .find((c) => requestLoad(c) <= mean + o.maxLoadDeviations * sd);
  if (best === undefined) return least(cs, random);
  const alike = cs.filter((c) => hit(c) === hit(best) && requestLoad(c) === requestLoad(best));
  return alike[Math.floor(random() * alike.length)]!;
}
