import { expect, it } from 'vitest';
import { placementDefaults } from '@tansypost/placement';
import { createSeededRandom } from '@tansypost/inner-protocol';
import { assignWorkerPair, defaultPairCosts, type WorkerPair, type PairCosts } from './assign-pair.js';
import type { IncomingRequest } from './incoming.js';
import type { WorkerView } from './worker-fleet.js';

const terms: PairCosts = {
  ...defaultPairCosts,
  zone: 'z1',
  regionOf: () => 'r',
  hasIdleConnection: () => true,
  targetLatency: 800_000,
  kvBytesPerToken: 18_432,
  linkMbps: 740_000,
  placement: { ...placementDefaults, explore: 0 },
};
function prompt(group: string, shared: number, own: number): IncomingRequest {
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
function view(id: string, part: 'prefill' | 'decode', x: Partial<WorkerView> = {}, zone = 'z1'): WorkerView {
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
    ...x,
  };
}
function assign(
  q: IncomingRequest,
  readers: WorkerView[],
  runners: WorkerView[],
  hits = new Map<string, number>(),
): WorkerPair | undefined {
  return assignWorkerPair(q, readers, runners, hits, undefined, terms, () => 0, createSeededRandom(3));
}
const readers = ['p1', 'p2', 'p3'].map((n) => view(n, 'prefill'));
const runners = ['d1', 'd2'].map((n) => view(n, 'decode'));

it('gives one reader to all prompts of a group, whichever router asks, and another when its queue is long', () => {
  const q = prompt('g', 5000, 5000);
  const one = assign(q, readers, runners)!.prefillWorker!.id;
  for (let i = 0; i < 5; i += 1) expect(assign(q, [...readers].reverse(), runners)!.prefillWorker!.id).toBe(one);
  const busy = readers.map((v) => (v.worker.id === one ? { ...v, queueDelay: 1_500_000 } : v));
  expect(assign(q, busy, runners)!.prefillWorker!.id).not.toBe(one);
  expect(
    new Set(
      ['a', 'b', 'c', 'd', 'e', 'f'].map((g) => assign(prompt(g, 5000, 5000), readers, runners)!.prefillWorker!.id),
    ).size,
  ).toBe(3);
});

it('lets a worker that makes tokens read a short prompt itself when it has little to do, a long one not', () => {
  const idle = runners.map((v) => ({ ...v, activeRuns: 0 }));
  expect(assign(prompt('g', 100, 100), readers, idle)!.prefillWorker).toBeUndefined();
  expect(assign(prompt('g', 5000, 9000), readers, idle)!.prefillWorker).toBeDefined();
  expect(assign(prompt('g', 5000, 9000), [], idle)!.prefillWorker).toBeUndefined();
  expect(assign(prompt('g', 5000, 9000), readers, [])).toBeUndefined();
});

it('takes the runner with the shorter pauses and fewer runs, near the reader', () => {
  const q = prompt('g', 5000, 9000);
  expect(assign(q, readers, [view('d1', 'decode', { eventGap: 200_000 }), view('d2', 'decode')])!.decodeWorker.id).toBe(
    'd2',
  );
  expect(assign(q, readers, [view('d1', 'decode', { activeRuns: 40 }), view('d2', 'decode')])!.decodeWorker.id).toBe(
    'd2',
  );
  expect(assign(q, readers, [view('d1', 'decode', {}, 'z2'), view('d2', 'decode')])!.decodeWorker.id).toBe('d2');
  expect(assign(q, readers, [view('d1', 'decode', { failureRate: 0.4 }), view('d2', 'decode')])!.decodeWorker.id).toBe(
    'd2',
  );
});

it('chooses a runner by load for what was read elsewhere, also where a runner holds more parts than are asked about', () => {
  const readElsewhere = { ...prompt('g', 5000, 5000), promptTokens: 1, promptSegments: [] };
  const busy = { ...runners[0]!, activeRuns: 40 };
  for (const kept of [1, 2]) {
    const held = new Map(runners.map((runner) => [runner.worker.id as string, kept]));
    const pair = assign(readElsewhere, [], [busy, runners[1]!], held);
    expect([pair?.decodeWorker.id, pair?.timeToFirstToken]).toEqual(['d2', 25_050]);
  }
});
