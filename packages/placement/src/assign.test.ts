/** The choice of a prefill worker for a request. */
import { createSeededRandom } from '@tansypost/inner-protocol';
import { expect, it } from 'vitest';
import { assignPrefill, placementDefaults } from './assign.js';
import { featureCount } from './features.js';
import type { Model } from './model.js';
import { createPredictor } from './predictor.js';
import type { Candidate } from './worker-snapshot.js';

function makeCandidate(worker: string, overrides: Partial<Candidate> = {}): Candidate {
  return {
    worker: worker as never,
    incarnation: 1,
    running: 0,
    queued: 0,
    prefillTokens: 0,
    decodeTokens: 0,
    kvUsed: 0,
    speedClass: 0,
    ...overrides,
  };
}
// A model of known behaviour: TTFT falls with the hit share and rises with the running requests.
function linearModel(sampleCount = 5000): Model {
  const predictor = createPredictor(featureCount, 1, [2]);
  predictor.weights[0]!.fill(0);
  predictor.weights[1]!.fill(-1);
  predictor.weights[0]![3 * 2] = 1;
  predictor.weights[0]![1 * 2] = -0.5;
  predictor.biases[0]!.fill(1);
  const scaling = {
    mean: new Float32Array(featureCount),
    deviation: new Float32Array(featureCount).fill(1),
    low: new Float32Array(featureCount),
    high: new Float32Array(featureCount).fill(1e6),
    yMean: 0,
    ySd: 1,
  };
  return { version: { epoch: 1, n: 1 }, sampleCount, predictor, scaling };
}
const prompt = { tokens: 1600, blocks: [...Array(100).keys()], prefixGroup: 'g' };
const baseInput = { prompt, hits: new Map([['a', 80]]), now: () => 0, random: createSeededRandom(1) };
const options = { ...placementDefaults, explorationRate: 0 };
it('reports the reason of each fallback to the heuristic', () => {
  const candidates = [makeCandidate('a'), makeCandidate('b', { running: 3 })];
  expect(assignPrefill({ ...baseInput, candidates, model: undefined }, options)).toMatchObject({
    reason: 'cold',
    worker: { worker: 'a' },
  });
  expect(assignPrefill({ ...baseInput, candidates, model: linearModel(10) }, options)?.reason).toBe('cold');
  expect(
    assignPrefill(
      { ...baseInput, candidates: [makeCandidate('a', { running: 9e6 }), makeCandidate('b')], model: linearModel() },
      options,
    )?.reason,
  ).toBe('range');
  let time = 0;
  expect(
    assignPrefill({ ...baseInput, candidates, model: linearModel(), now: () => (time += 9000) }, options)?.reason,
  ).toBe('timeout');
  const invalidModel = linearModel();
  invalidModel.predictor.weights[1]!.fill(NaN);
  expect(assignPrefill({ ...baseInput, candidates, model: invalidModel }, options)?.reason).toBe('error');
  expect(
    assignPrefill({ ...baseInput, candidates, model: linearModel() }, { ...options, explorationRate: 1 })?.reason,
  ).toBe('explored');
  expect(assignPrefill({ ...baseInput, candidates: [], model: linearModel() }, options)).toBeUndefined();
});
it('chooses the lowest predicted TTFT, and draws uniformly among the near best', () => {
  const candidates = [makeCandidate('a'), makeCandidate('b', { running: 3 }), makeCandidate('c')];
  const model = linearModel();
  const choices = new Map<string, number>();
  for (let i = 0; i < 400; i += 1) {
    const worker = assignPrefill({ ...baseInput, hits: new Map(), candidates, model }, options)!.worker.worker;
    choices.set(worker, (choices.get(worker) ?? 0) + 1);
  }
  expect(choices.get('b' as never)).toBeUndefined();
  expect(Math.abs(choices.get('a' as never)! - 200)).toBeLessThan(60);
});
it('narrows a prefix group to the same workers, only when KV memory is saturated and enough tokens are reused', () => {
  const candidates = ['a', 'b', 'c', 'd', 'e', 'f'].map((worker) => makeCandidate(worker, { kvUsed: 0.9 }));
  const hits = new Map(candidates.map((candidate) => [candidate.worker as string, 80]));
  const chosen = new Set<string>();
  for (let i = 0; i < 100; i += 1) {
    const assignment = assignPrefill({ ...baseInput, hits, candidates, model: linearModel() }, options)!;
    expect(assignment.narrowed).toBe(true);
    chosen.add(assignment.worker.worker);
  }
  expect(chosen.size).toBe(2);
  const unsaturated = candidates.map((candidate) => ({ ...candidate, kvUsed: 0.5 }));
  expect(assignPrefill({ ...baseInput, hits, candidates: unsaturated, model: linearModel() }, options)!.narrowed).toBe(
    false,
  );
});
