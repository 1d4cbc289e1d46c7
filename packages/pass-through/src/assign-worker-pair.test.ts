/** Placement of requests: affinity of prefixes, local prefill, and the cost of loaded or distant workers. */
import { expect, it } from 'vitest';
import { placementDefaults } from '@tansypost/placement';
import { createSeededRandom } from '@tansypost/inner-protocol';
import { assignWorkerPair, defaultPairCosts, type WorkerPair, type PairCosts } from './assign-worker-pair.js';
import type { IncomingRequest } from './incoming-request.js';
import type { WorkerView } from './worker-fleet.js';

const costs: PairCosts = {
  ...defaultPairCosts,
  zone: 'z1',
  regionOf: () => 'r',
  hasIdleConnection: () => true,
  targetLatency: 800_000,
  kvBytesPerToken: 18_432,
  linkMbps: 740_000,
  placement: { ...placementDefaults, explorationRate: 0 },
};
function requestWithPrompt(group: string, shared: number, own: number): IncomingRequest {
  return {
    id: 'q',
    method: 'POST',
    target: '/',
    host: 'h',
    headers: [],
    body: Buffer.alloc(1000),
    promptTokens: shared + own,
    maxOutputTokens: 100,
    promptSegments: [
      { id: group, tokens: shared },
      { id: 'own', tokens: own },
    ],
    timeout: 8_000_000,
    lastEventId: undefined,
  };
}
function view(id: string, part: 'prefill' | 'decode', overrides: Partial<WorkerView> = {}, zone = 'z1'): WorkerView {
  return {
    worker: { id, service: 's', address: id, zone, slots: 64, part, leaving: false },
    candidate: {
      worker: id as never,
      incarnation: 1,
      running: 0,
      queued: 0,
      prefillTokens: 0,
      decodeTokens: 0,
      kvUsed: 0,
      speedClass: 0,
    },
    queueDelay: 15_000,
    timePerToken: part === 'prefill' ? 25 : 50,
    activeRuns: 10,
    eventGap: 60_000,
    failureRate: 0,
    ...overrides,
  };
}
function assign(
  request: IncomingRequest,
  prefillViews: WorkerView[],
  decodeViews: WorkerView[],
  hits = new Map<string, number>(),
): WorkerPair | undefined {
  return assignWorkerPair(request, prefillViews, decodeViews, hits, undefined, costs, () => 0, createSeededRandom(3));
}
const prefillWorkers = ['p1', 'p2', 'p3'].map((id) => view(id, 'prefill'));
const decodeWorkers = ['d1', 'd2'].map((id) => view(id, 'decode'));

it('assigns one prefill worker to all prompts of a group at any router, and another when its queue is long', () => {
  const request = requestWithPrompt('g', 5000, 5000);
  const preferred = assign(request, prefillWorkers, decodeWorkers)!.prefillWorker!.id;
  for (let i = 0; i < 5; i += 1)
    expect(assign(request, [...prefillWorkers].reverse(), decodeWorkers)!.prefillWorker!.id).toBe(preferred);
  const busy = prefillWorkers.map((entry) =>
    entry.worker.id === preferred ? { ...entry, queueDelay: 1_500_000 } : entry,
  );
  expect(assign(request, busy, decodeWorkers)!.prefillWorker!.id).not.toBe(preferred);
  expect(
    new Set(
      ['a', 'b', 'c', 'd', 'e', 'f'].map(
        (group) => assign(requestWithPrompt(group, 5000, 5000), prefillWorkers, decodeWorkers)!.prefillWorker!.id,
      ),
    ).size,
  ).toBe(3);
});

it('lets an idle decode worker prefill a short prompt itself, but not a long one', () => {
  const idle = decodeWorkers.map((entry) => ({ ...entry, activeRuns: 0 }));
  expect(assign(requestWithPrompt('g', 100, 100), prefillWorkers, idle)!.prefillWorker).toBeUndefined();
  expect(assign(requestWithPrompt('g', 5000, 9000), prefillWorkers, idle)!.prefillWorker).toBeDefined();
  expect(assign(requestWithPrompt('g', 5000, 9000), [], idle)!.prefillWorker).toBeUndefined();
  expect(assign(requestWithPrompt('g', 5000, 9000), prefillWorkers, [])).toBeUndefined();
});

it('prefers the decode worker with smaller chunk gaps, fewer runs and failures, and near the prefill worker', () => {
  const request = requestWithPrompt('g', 5000, 9000);
  expect(
    assign(request, prefillWorkers, [view('d1', 'decode', { eventGap: 200_000 }), view('d2', 'decode')])!.decodeWorker
      .id,
  ).toBe('d2');
  expect(
    assign(request, prefillWorkers, [view('d1', 'decode', { activeRuns: 40 }), view('d2', 'decode')])!.decodeWorker.id,
  ).toBe('d2');
  expect(assign(request, prefillWorkers, [view('d1', 'decode', {}, 'z2'), view('d2', 'decode')])!.decodeWorker.id).toBe(
    'd2',
  );
  expect(
    assign(request, prefillWorkers, [view('d1', 'decode', { failureRate: 0.4 }), view('d2', 'decode')])!.decodeWorker
      .id,
  ).toBe('d2');
});

it('chooses a decode worker by load after a prefill elsewhere, also where it has more segments cached', () => {
  const prefilledElsewhere = { ...requestWithPrompt('g', 5000, 5000), promptTokens: 1, promptSegments: [] };
  const busy = { ...decodeWorkers[0]!, activeRuns: 40 };
  for (const cachedSegments of [1, 2]) {
    const hits = new Map(decodeWorkers.map((entry) => [entry.worker.id as string, cachedSegments]));
    const pair = assign(prefilledElsewhere, [], [busy, decodeWorkers[1]!], hits);
    expect([pair?.decodeWorker.id, pair?.timeToFirstToken]).toEqual(['d2', 25_050]);
  }
});
