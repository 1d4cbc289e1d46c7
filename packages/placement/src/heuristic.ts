/**
 * The prefix-and-load heuristic (Algorithm 1 in appendix A of the paper). It is computed first on every decision, so that
 * falling back to it costs no time.
 */
import type { Candidate } from './worker-snapshot.js';

/** Parameters of the heuristic. */
export interface HeuristicOptions {
  /** Where the loads of two workers differ by more requests than this, the least loaded worker is chosen. */
  readonly maxLoadImbalance: number;
  /** A worker whose load is more than this many standard deviations above the mean is not chosen for its cache. */
  readonly maxLoadDeviations: number;
}

/** Number of requests at a worker. */
export function requestLoad(candidate: Candidate): number {
  return candidate.running + candidate.queued;
}

function leastLoaded(candidates: readonly Candidate[], random: () => number): Candidate {
  const minLoad = Math.min(...candidates.map(requestLoad));
  const ties = candidates.filter((candidate) => requestLoad(candidate) === minLoad);
  return ties[Math.floor(random() * ties.length)]!;
}

/** Chooses the worker with the largest cache hit that is not overloaded; ties are broken by load, then at random. */
export function selectByHeuristic(
  candidates: readonly Candidate[],
  hitShare: (candidate: Candidate) => number,
  options: HeuristicOptions,
  random: () => number,
): Candidate {
  const loads = candidates.map(requestLoad);
  if (Math.max(...loads) - Math.min(...loads) > options.maxLoadImbalance) return leastLoaded(candidates, random);
  const mean = loads.reduce((a, b) => a + b, 0) / loads.length;
  const deviation = Math.sqrt(loads.reduce((a, b) => a + (b - mean) ** 2, 0) / loads.length);
  const best = [...candidates]
    .sort((a, b) => hitShare(b) - hitShare(a) || requestLoad(a) - requestLoad(b))
    .find((candidate) => requestLoad(candidate) <= mean + options.maxLoadDeviations * deviation);
  if (best === undefined) return leastLoaded(candidates, random);
  const ties = candidates.filter(
    (candidate) => hitShare(candidate) === hitShare(best) && requestLoad(candidate) === requestLoad(best),
  );
  return ties[Math.floor(random() * ties.length)]!;
}
