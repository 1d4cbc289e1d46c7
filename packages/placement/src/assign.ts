/**
 * The placement decision for prefill (algorithms 3 and 4 of the paper), in this order: the heuristic's choice as
 * the fallback; checks for cold start and for inputs outside the training range; exploration; the scoring call, bounded
 * in time; narrowing to a few workers by rendezvous hashing when the fleet's KV memory is saturated; and a uniform draw
 * among the near best. Rewards are negative TTFT, so a worker is near best when its predicted TTFT (or cost) is at most
 * (1 + tolerance) times the best of the narrowed set.
 */
import { rendezvous } from '@tansypost/inner-protocol';
import type { Candidate, PromptSummary } from './worker-snapshot.js';
import { computeFeatures } from './features.js';
import { selectByHeuristic, type HeuristicOptions } from './heuristic.js';
import { isInTrainingRange, predictTtft, type Model } from './model.js';

/** Parameters of the placement policy. */
export interface PlacementOptions extends HeuristicOptions {
  /** Share of the requests that go to a random worker, 0 to 1. */
  readonly explorationRate: number;
  /** A model trained on fewer samples is not used. */
  readonly minSamples: number;
  /** How far above the best cost a worker may be and still be drawn, as a share of the best. */
  readonly nearBestTolerance: number;
  /** Mean share of KV memory in use above which the candidates are narrowed. */
  readonly kvSaturation: number;
  /** The candidates are narrowed only where more cached tokens than this can be reused. */
  readonly minReusedTokens: number;
  /** How many workers remain after narrowing. */
  readonly narrowedWorkers: number;
  /** Limit of the scoring call, in microseconds. */
  readonly scoringTimeoutUs: number;
  /** A choice is rejected when the caller expects more than this multiple of the TTFT of the heuristic's choice. */
  readonly maxExpectedSlowdown: number;
}

/** Default parameters of the placement policy. */
export const placementDefaults: PlacementOptions = {
  maxLoadImbalance: 8,
  maxLoadDeviations: 1,
  explorationRate: 0.02,
  minSamples: 1000,
  nearBestTolerance: 0.1,
  kvSaturation: 0.8,
  minReusedTokens: 512,
  narrowedWorkers: 2,
  scoringTimeoutUs: 5000,
  maxExpectedSlowdown: 3,
};

/**
 * Why a worker was chosen. `scored` and `explored` are as described; all others are the heuristic's choice: no
 * usable model (`cold`), inputs or a choice out of range (`range`), scoring too slow (`timeout`), a model that does not
 * fit the features or gives no finite number (`error`), or a single candidate (`only`).
 */
export type PlacementReason = 'scored' | 'explored' | 'cold' | 'range' | 'timeout' | 'error' | 'only';
/** The worker chosen for a prompt, and how it was chosen. */
export interface Assignment {
  readonly worker: Candidate;
  readonly reason: PlacementReason;
  /** Whether the candidates were narrowed because KV memory is saturated. */
  readonly narrowed: boolean;
  /** Features of the chosen worker, kept as the input of a training sample. */
  readonly featureRow: Float32Array;
  /** Predicted TTFT in seconds; undefined unless the model made the choice. */
  readonly predictedTtft: number | undefined;
}

/** What a placement decision is based on. */
export interface AssignInput {
  readonly prompt: PromptSummary;
  readonly candidates: readonly Candidate[];
  /** Cached blocks of the prompt by worker. */
  readonly hits: ReadonlyMap<string, number>;
  readonly model: Model | undefined;
  readonly now: () => number;
  readonly random: () => number;
  /** Replaces Algorithm 1 of the paper as the heuristic, where the caller knows more than loads and cache hits. */
  readonly selectBaseline?: (candidates: readonly Candidate[]) => Candidate;
  /** Cost of a choice, given its predicted TTFT in microseconds, where more than TTFT counts. */
  readonly costOf?: (candidate: Candidate, predictedTtftUs: number) => number;
  /** Share of the prompt expected to be cached at a worker, where the caller knows more than its blocks. */
  readonly expectedHitShare?: (candidate: Candidate) => number;
  /**
   * TTFT as the caller expects it. A choice whose expected TTFT is more than `maxExpectedSlowdown` times that of the
   * heuristic's choice is out of range.
   */
  readonly expectedTtft?: (candidate: Candidate) => number;
}

/** Chooses the worker that prefills a prompt; undefined where there are no candidates. */
export function assignPrefill(input: AssignInput, options: PlacementOptions): Assignment | undefined {
  const candidates = input.candidates;
  if (candidates.length === 0) return undefined;
  const promptBlocks = Math.max(1, input.prompt.blocks.length);
  function hitShare(candidate: Candidate): number {
    return Math.min(1, input.expectedHitShare?.(candidate) ?? (input.hits.get(candidate.worker) ?? 0) / promptBlocks);
  }
  function featuresOf(candidate: Candidate): Float32Array {
    return computeFeatures(input.prompt, hitShare(candidate), candidate);
  }
  const baseline = input.selectBaseline?.(candidates) ?? selectByHeuristic(candidates, hitShare, options, input.random);
  function choose(worker: Candidate, reason: PlacementReason, narrowed = false, predictedTtft?: number): Assignment {
    return { worker, reason, narrowed, featureRow: featuresOf(worker), predictedTtft };
  }
  if (input.random() < options.explorationRate)
    return choose(candidates[Math.floor(input.random() * candidates.length)]!, 'explored');
  if (candidates.length === 1) return choose(baseline, 'only');
  if (input.model === undefined || input.model.sampleCount < options.minSamples) return choose(baseline, 'cold');
  const rows = candidates.map(featuresOf);
  if (input.model.predictor.sizes[0] !== rows[0]!.length) return choose(baseline, 'error');
  const scaling = input.model.scaling;
  if (!rows.every((row) => isInTrainingRange(scaling, row))) return choose(baseline, 'range');
  const deadline = input.now() + options.scoringTimeoutUs;
  const predictions = predictTtft(input.model, rows, () => input.now() > deadline);
  if (predictions === undefined) return choose(baseline, 'timeout');
  if (!predictions.every(Number.isFinite)) return choose(baseline, 'error');
  const meanKvUsed = candidates.reduce((sum, candidate) => sum + candidate.kvUsed, 0) / candidates.length;
  const narrowed =
    meanKvUsed > options.kvSaturation &&
    Math.max(...candidates.map(hitShare)) * input.prompt.tokens > options.minReusedTokens;
  const eligible = narrowed
    ? rendezvous(input.prompt.prefixGroup, candidates, (candidate) => candidate.worker).slice(
        0,
        options.narrowedWorkers,
      )
    : candidates;
  const scored = eligible.map((candidate) => {
    const ttft = Math.max(1e-4, predictions[candidates.indexOf(candidate)]!);
    return { candidate, ttft, cost: input.costOf?.(candidate, Math.round(ttft * 1e6)) ?? ttft };
  });
  const minCost = Math.min(...scored.map((choice) => choice.cost));
  const nearBest = scored.filter((choice) => choice.cost <= (1 + options.nearBestTolerance) * minCost);
  const drawn = nearBest[Math.floor(input.random() * nearBest.length)]!;
  if (
    input.expectedTtft !== undefined &&
    input.expectedTtft(drawn.candidate) > options.maxExpectedSlowdown * input.expectedTtft(baseline)
  )
    return choose(baseline, 'range', narrowed);
  return choose(drawn.candidate, 'scored', narrowed, drawn.ttft);
}

/**
 * Chooses the worker that decodes. Decoding is bound by memory, so this takes the worker with the fewest decode tokens in
 * flight relative to its speed, among those whose KV memory has room; where none has, the one with the most room.
 */
export function assignDecode(
  candidates: readonly Candidate[],
  random: () => number,
  maxKvUsed = 0.95,
): Candidate | undefined {
  if (candidates.length === 0) return undefined;
  const withRoom = candidates.filter((candidate) => candidate.kvUsed < maxKvUsed);
  if (withRoom.length === 0) return [...candidates].sort((a, b) => a.kvUsed - b.kvUsed)[0];
  // Each request counts as 64 tokens; the divisors are the relative speeds of the speed classes.
  function cost(worker: Candidate): number {
    return (worker.decodeTokens + 64 * (worker.running + worker.queued)) / [1, 0.7, 1, 1.4][worker.speedClass]!;
  }
  const minCost = Math.min(...withRoom.map(cost));
  const nearBest = withRoom.filter((candidate) => cost(candidate) <= minCost * 1.05 + 1);
  return nearBest[Math.floor(random() * nearBest.length)];
}
