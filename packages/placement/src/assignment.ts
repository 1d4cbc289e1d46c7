/**
 * The placement decision for prefill (the paper's algorithms 3 and 4): the heuristic first; then cold start
 * and range checks; exploration; the bounded scoring call; narrowing to k workers by consistent
 * hashing when the fleet's KV memory is saturated; and a uniform draw among the near best. Rewards
 * are negative TTFT, so near best means a predicted TTFT of at most (1 + delta) times the best,
 * and it is looked for inside the narrowed set.
 */
import { rendezvous } from '@tansypost/inner-protocol';
import type { Candidate, PromptSummary } from './worker-snapshot.js';
import { computeFeatures } from './features.js';
import { selectByHeuristic, type HeuristicOptions } from './heuristic.js';
import { isInTrainingRange, predictTtft, type Model } from './model.js';

export interface PlacementOptions extends HeuristicOptions {
  readonly explorationRate: number;
  readonly minSamples: number;
  readonly nearBestTolerance: number;
  readonly kvSaturation: number;
  readonly minReusedTokens: number;
  readonly narrowedWorkers: number;
  readonly scoringTimeoutUs: number;
  readonly maxExpectedSlowdown: number;
}

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

export type PlacementReason = 'scored' | 'explored' | 'cold' | 'range' | 'timeout' | 'error' | 'only';
export interface Assignment {
  readonly worker: Candidate;
  readonly reason: PlacementReason;
  readonly narrowed: boolean;
  readonly featureRow: Float32Array;
  readonly predictedTtft: number | undefined;
}

export interface AssignInput {
  readonly prompt: PromptSummary;
  readonly candidates: readonly Candidate[];
  readonly hits: ReadonlyMap<string, number>;
  readonly model: Model | undefined;
  readonly now: () => number;
  readonly random: () => number;
  // The heuristic's choice where the caller knows more than loads and hits; else Algorithm 1 of the paper.
  readonly selectBaseline?: (cs: readonly Candidate[]) => Candidate;
  // What a choice costs with the time that the model predicts for it, in microseconds, where more than time counts.
  readonly costOf?: (c: Candidate, predicted: number) => number;
  // The share of the prompt expected to be held there, where the caller knows more than its blocks.
  readonly expectedHitShare?: (c: Candidate) => number;
  // The time until the first token as the caller expects it: a choice for which it is `trust` times that of the
  // heuristic's, or more, is out of range.
  readonly expectedTtft?: (c: Candidate) => number;
}

export function assignPrefill(i: AssignInput, o: PlacementOptions): Assignment | undefined {
  const cs = i.candidates;
  if (cs.length === 0) return undefined;
  const whole = Math.max(1, i.prompt.blocks.length);
  function hit(c: Candidate): number {
    return Math.min(1, i.expectedHitShare?.(c) ?? (i.hits.get(c.worker) ?? 0) / whole);
  }
  function rowOf(c: Candidate): Float32Array {
    return computeFeatures(i.prompt, hit(c), c);
  }
  const h = i.selectBaseline?.(cs) ?? selectByHeuristic(cs, hit, o, i.random);
  function take(c: Candidate, reason: PlacementReason, narrowed = false, predicted?: number): Assignment {
    return { worker: c, reason, narrowed, featureRow: rowOf(c), predictedTtft: predicted };
  }
  if (i.random() < o.explorationRate) return take(cs[Math.floor(i.random() * cs.length)]!, 'explored');
  if (cs.length === 1) return take(h, 'only');
  if (i.model === undefined || i.model.sampleCount < o.minSamples) return take(h, 'cold');
  const rows = cs.map(rowOf);
  if (i.model.predictor.sizes[0] !== rows[0]!.length) return take(h, 'error');
  const s = i.model.scaling;
  if (!rows.every((r) => isInTrainingRange(s, r))) return take(h, 'range');
  const limit = i.now() + o.scoringTimeoutUs;
  const ys = predictTtft(i.model, rows, () => i.now() > limit);
  if (ys === undefined) return take(h, 'timeout');
  if (!ys.every(Number.isFinite)) return take(h, 'error');
  const kv = cs.reduce((a, c) => a + c.kvUsed, 0) / cs.length;
  const narrowed = kv > o.kvSaturation && Math.max(...cs.map(hit)) * i.prompt.tokens > o.minReusedTokens;
  const set = narrowed ? rendezvous(i.prompt.prefixGroup, cs, (c) => c.worker).slice(0, o.narrowedWorkers) : cs;
  const scored = set.map((c) => {
    const y = Math.max(1e-4, ys[cs.indexOf(c)]!);
    return { c, y, cost: i.costOf?.(c, Math.round(y * 1e6)) ?? y };
  });
  const best = Math.min(...scored.map((x) => x.cost));
  const near = scored.filter((x) => x.cost <= (1 + o.nearBestTolerance) * best);
  const one = near[Math.floor(i.random() * near.length)]!;
  if (i.expectedTtft !== undefined && i.expectedTtft(one.c) > o.maxExpectedSlowdown * i.expectedTtft(h))
    return take(h, 'range', narrowed);
  return take(one.c, 'scored', narrowed, one.y);
}

// Decode is bound by memory: the worker with the fewest decode tokens in flight for its pace, among those
// whose KV memory has room; if none has, the one with the most room.
export function assignDecode(cs: readonly Candidate[], random: () => number, full = 0.95): Candidate | undefined {
  if (cs.length === 0) return undefined;
  const roomy = cs.filter((c) => c.kvUsed < full);
  if (roomy.length === 0) return [...cs].sort((a, b) => a.kvUsed - b.kvUsed)[0];
  function cost(c: Candidate): number {
    return (c.decodeTokens + 64 * (c.running + c.queued)) / [1, 0.7, 1, 1.4][c.speedClass]!;
  }
  const min = Math.min(...roomy.map(cost));
  const near = roomy.filter((c) => cost(c) <= min * 1.05 + 1);
  return near[Math.floor(random() * near.length)];
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  const { createPredictor } = await import('./predictor.js');
  const { featureCount } = await import('./features.js');
  const { createSeededRandom } = await import('@tansypost/inner-protocol');
  function cand(worker: string, x: Partial<Candidate> = {}): Candidate {
    return {
      worker: worker as never,
      incarnation: 1,
      running: 0,
      queued: 0,
      prefillTokens: 0,
      decodeTokens: 0,
      kvUsed: 0,
      speedClass: 0,
      ...x,
    };
  }
  // A model of known behaviour: TTFT falls with the hit and rises with the running requests.
  function linear(samples = 5000): Model {
    const p = createPredictor(featureCount, 1, [2]);
    p.weights[0]!.fill(0);
    p.weights[1]!.fill(-1);
    p.weights[0]![3 * 2] = 1;
    p.weights[0]![1 * 2] = -0.5;
    p.biases[0]!.fill(1);
    const s = {
      mean: new Float32Array(featureCount),
      deviation: new Float32Array(featureCount).fill(1),
      low: new Float32Array(featureCount),
      high: new Float32Array(featureCount).fill(1e6),
      yMean: 0,
      ySd: 1,
    };
    return { version: { epoch: 1, n: 1 }, sampleCount: samples, predictor: p, scaling: s };
  }
  const prompt = { tokens: 1600, blocks: [...Array(100).keys()], prefixGroup: 'g' };
  const base = { prompt, hits: new Map([['a', 80]]), now: () => 0, random: createSeededRandom(1) };
  const o = { ...placementDefaults, explorationRate: 0 };
  it('says why it fell back, for each reason', () => {
    const cs = [cand('a'), cand('b', { running: 3 })];
    expect(assignPrefill({ ...base, candidates: cs, model: undefined }, o)).toMatchObject({
      reason: 'cold',
      worker: { worker: 'a' },
    });
    expect(assignPrefill({ ...base, candidates: cs, model: linear(10) }, o)?.reason).toBe('cold');
    expect(
      assignPrefill({ ...base, candidates: [cand('a', { running: 9e6 }), cand('b')], model: linear() }, o)?.reason,
    ).toBe('range');
    let t = 0;
    expect(assignPrefill({ ...base, candidates: cs, model: linear(), now: () => (t += 9000) }, o)?.reason).toBe(
      'timeout',
    );
    const nan = linear();
    nan.predictor.weights[1]!.fill(NaN);
    expect(assignPrefill({ ...base, candidates: cs, model: nan }, o)?.reason).toBe('error');
    expect(assignPrefill({ ...base, candidates: cs, model: linear() }, { ...o, explorationRate: 1 })?.reason).toBe(
      'explored',
    );
    expect(assignPrefill({ ...base, candidates: [], model: linear() }, o)).toBeUndefined();
  });
  it('takes the best predicted, and draws evenly among the near best', () => {
    const cs = [cand('a'), cand('b', { running: 3 }), cand('c')];
    const m = linear();
    const seen = new Map<string, number>();
    for (let n = 0; n < 400; n += 1) {
      const w = assignPrefill({ ...base, hits: new Map(), candidates: cs, model: m }, o)!.worker.worker;
      seen.set(w, (seen.get(w) ?? 0) + 1);
    }
    expect(seen.get('b' as never)).toBeUndefined();
    expect(Math.abs(seen.get('a' as never)! - 200)).toBeLessThan(60);
  });
  it('narrows to the same k workers for a prefix group only when saturated and worth it', () => {
    const cs = ['a', 'b', 'c', 'd', 'e', 'f'].map((w) => cand(w, { kvUsed: 0.9 }));
    const hits = new Map(cs.map((c) => [c.worker as string, 80]));
    const seen = new Set<string>();
    for (let n = 0; n < 100; n += 1) {
      const a = assignPrefill({ ...base, hits, candidates: cs, model: linear() }, o)!;
      expect(a.narrowed).toBe(true);
      seen.add(a.worker.worker);
    }
    expect(seen.size).toBe(2);
    const calm = cs.map((c) => ({ ...c, kvUsed: 0.5 }));
    expect(assignPrefill({ ...base, hits, candidates: calm, model: linear() }, o)!.narrowed).toBe(false);
  });
}
