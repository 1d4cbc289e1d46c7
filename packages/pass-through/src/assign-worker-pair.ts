/**
 * Placement of one request: the worker that prefills its prompt and the one that generates its tokens, or one worker
 * that does both. The prefill worker is assigned by the Lodestar policy (heuristic first, then the learned model where
 * one is in service and covers the range of inputs). The cost of the heuristic is the expected time to the first token
 * plus a cost per byte of KV cache to transfer, which is higher between zones. Missing the target latency adds a step
 * to the cost, so that a prompt which will be late anyway takes no capacity from one that can still be in time.
 */
import {
  assignPrefill,
  type Assignment,
  type Model,
  type PlacementOptions,
  type PromptSummary,
} from '@tansypost/placement';
import { hash32, rendezvous } from '@tansypost/inner-protocol';
import type { IncomingRequest } from './incoming-request.js';
import type { FleetWorker, WorkerView } from './worker-fleet.js';

/** Costs of a placement, expressed in microseconds, and the context in which they apply. */
export interface PairCosts {
  readonly zone: string;
  readonly regionOf: (zone: string) => string;
  readonly targetLatency: number;
  /** Size of the KV cache of one token. */
  readonly kvBytesPerToken: number;
  /** Bandwidth of a worker's link in megabits per second. */
  readonly linkMbps: number;
  /** Per mebibyte of KV cache transferred. */
  readonly kvTransferCost: number;
  /** Per kilobyte sent to another zone. */
  readonly crossZoneCost: number;
  /** Per shared token that is prefilled again. */
  readonly recomputeCost: number;
  /** Per run in flight at the decode worker. */
  readonly activeRunCost: number;
  /** Per microsecond by which a prefill delays a run in flight at the same worker. */
  readonly interferenceCost: number;
  /** Per microsecond of the gap between chunks of the decode worker's streams. */
  readonly eventGapCost: number;
  /** The share of the shared prefix that the first workers in the ranking of its group are assumed to have cached. */
  readonly affinityCredits: readonly number[];
  /** Whether an open, idle connection to the worker exists. */
  readonly hasIdleConnection?: (worker: FleetWorker) => boolean;
  /** For opening a connection. */
  readonly connectCost: number;
  /** For an attempt that fails. */
  readonly failureCost: number;
  /** Per microsecond until the first token. */
  readonly latencyCost: number;
  /** For missing the target latency. */
  readonly lateCost: number;
  /** The share of the target latency at which half of `lateCost` applies. */
  readonly lateThreshold: number;
  readonly placement: PlacementOptions;
}

/** The default costs. */
export const defaultPairCosts = {
  kvTransferCost: 150,
  crossZoneCost: 400,
  recomputeCost: 110,
  activeRunCost: 3000,
  interferenceCost: 0.4,
  eventGapCost: 1,
  affinityCredits: [0.9, 0.4],
  failureCost: 600_000,
  connectCost: 15_000,
  latencyCost: 0.3,
  lateCost: 500_000,
  lateThreshold: 0.8,
};

/** The workers chosen for a request, with the estimates behind the choice. */
export interface WorkerPair {
  /** Undefined where the decode worker prefills the prompt itself. */
  readonly prefillWorker: FleetWorker | undefined;
  readonly decodeWorker: FleetWorker;
  /** Tokens expected to be prefilled at either worker. */
  readonly prefillWorkerTokens: number;
  readonly decodeWorkerTokens: number;
  /** Time until the prefill worker has answered. */
  readonly prefillTime: number;
  readonly timeToFirstToken: number;
  /** Estimated duration of the prefill at whichever worker does it, without the wait in the queue. */
  readonly serviceTime: number;
  readonly assignment: Assignment | undefined;
}

/** Only this many prefill workers, the cheapest by the heuristic, are scored; the limit is not part of Lodestar. */
const maxScored = 40;

/** The hashes of the prompt's segments, by which cached prefixes are looked up. */
export function promptBlocks(request: IncomingRequest): number[] {
  return request.promptSegments.map((segment) => hash32(segment.id));
}

/** The group of requests that share a prefix: all segments but the last. */
export function promptGroup(request: IncomingRequest): string {
  return request.promptSegments
    .slice(0, -1)
    .map((segment) => segment.id)
    .join('/');
}

/** The tokens of the first n segments, for each n from 0. */
function cumulativeTokens(request: IncomingRequest): number[] {
  const sums = [0];
  for (const segment of request.promptSegments) sums.push(sums[sums.length - 1]! + segment.tokens);
  return sums;
}

/** Computes a value once for each worker: a decision needs most of them several times. */
function memoized(valueOf: (view: WorkerView) => number): (view: WorkerView) => number {
  const values = new Map<WorkerView, number>();
  return function value(view) {
    let cached = values.get(view);
    if (cached === undefined) values.set(view, (cached = valueOf(view)));
    return cached;
  };
}

/** The cheapest pair, or undefined where there is no decode worker. */
export function assignWorkerPair(
  request: IncomingRequest,
  prefillWorkers: readonly WorkerView[],
  decodeWorkers: readonly WorkerView[],
  hits: ReadonlyMap<string, number>,
  model: Model | undefined,
  costs: PairCosts,
  now: () => number,
  random: () => number,
): WorkerPair | undefined {
  if (decodeWorkers.length === 0) return undefined;
  const blocks = promptBlocks(request);
  const group = promptGroup(request);
  const tokens = cumulativeTokens(request);
  const shared = tokens[Math.max(0, request.promptSegments.length - 1)]!;
  const promptSummary: PromptSummary = { tokens: request.promptTokens, blocks, prefixGroup: group };

  // Routers do not share which prefixes they sent where, but all rank the workers of a group alike by rendezvous
  // hashing: the first is assumed to have most of the shared prefix cached, the second, which receives the overflow,
  // part of it.
  function affinityShares(views: readonly WorkerView[]): Map<string, number> {
    const ranked = rendezvous(group, views, (view) => view.worker.id);
    return new Map(
      ranked.slice(0, costs.affinityCredits.length).map((view, i) => [view.worker.id, costs.affinityCredits[i]!]),
    );
  }
  const prefillAffinity = affinityShares(prefillWorkers);
  const decodeAffinity = affinityShares(decodeWorkers);
  function cachedTokens(view: WorkerView, affinity: ReadonlyMap<string, number>): number {
    // A request prefilled elsewhere is placed without its segments, while the hits are those of the whole prompt.
    const cached = tokens[Math.min(hits.get(view.worker.id) ?? 0, request.promptSegments.length)]!;
    return Math.max(cached, shared * (affinity.get(view.worker.id) ?? 0));
  }
  const prefillCached = memoized((view) => cachedTokens(view, prefillAffinity));
  const decodeCached = memoized((view) => cachedTokens(view, decodeAffinity));
  function prefillTokens(view: WorkerView): number {
    return Math.max(1, request.promptTokens - prefillCached(view));
  }
  function localPrefillTokens(view: WorkerView): number {
    return Math.max(1, request.promptTokens - decodeCached(view));
  }
  function zoneDistance(a: string, b: string): number {
    return a === b ? 0 : costs.regionOf(a) === costs.regionOf(b) ? 1 : 5;
  }
  const sendCost = memoized((view) => {
    const connect = costs.hasIdleConnection?.(view.worker) === true ? 0 : costs.connectCost;
    return (
      connect + zoneDistance(costs.zone, view.worker.zone) * costs.crossZoneCost * (1 + request.body.length / 1024)
    );
  });
  function score(time: number, cost: number): number {
    // A smooth step at the late threshold, added to a cost linear in time.
    const lateness =
      1 / (1 + Math.exp(-(time - costs.lateThreshold * costs.targetLatency) / (0.08 * costs.targetLatency)));
    return costs.latencyCost * time + costs.lateCost * lateness + cost;
  }

  function prefillTime(view: WorkerView): number {
    return view.queueDelay + prefillTokens(view) * view.timePerToken;
  }
  function prefillCost(view: WorkerView, time: number): number {
    return score(
      time,
      costs.failureCost * view.failureRate +
        sendCost(view) +
        costs.recomputeCost * Math.max(0, shared - prefillCached(view)),
    );
  }
  function transferTime(view: WorkerView, from: FleetWorker): number {
    const bytes = Math.max(0, request.promptTokens - decodeCached(view)) * costs.kvBytesPerToken;
    return ((bytes * 8) / costs.linkMbps) * (1 + zoneDistance(view.worker.zone, from.zone));
  }
  function transferCost(view: WorkerView, from: FleetWorker): number {
    return (
      ((request.promptTokens * costs.kvBytesPerToken) / 1_048_576) *
      costs.kvTransferCost *
      (1 + zoneDistance(view.worker.zone, from.zone))
    );
  }
  const measured = decodeWorkers.filter((view) => view.eventGap > 0);
  const minEventGap = measured.length === 0 ? 0 : Math.min(...measured.map((view) => view.eventGap));
  function decodeLoadCost(view: WorkerView): number {
    return (
      costs.failureCost * view.failureRate +
      costs.activeRunCost * view.activeRuns +
      costs.eventGapCost * (view.eventGap > 0 ? view.eventGap : minEventGap) +
      Math.max(0, view.candidate.kvUsed - 0.85) * 10_000_000
    );
  }
  function localEstimate(view: WorkerView): { time: number; cost: number } {
    const prefill = localPrefillTokens(view) * view.timePerToken;
    const time = view.queueDelay + prefill + 10_000;
    // A prefill delays all runs in flight at the same worker.
    const interference = prefill * view.activeRuns * costs.interferenceCost;
    return {
      time,
      cost: score(
        time,
        interference +
          sendCost(view) +
          decodeLoadCost(view) +
          costs.recomputeCost * Math.max(0, shared - decodeCached(view)),
      ),
    };
  }
  function cheapest<T>(items: readonly T[], cost: (item: T) => number): T | undefined {
    let [cheapestItem, lowestCost] = [undefined as T | undefined, Infinity];
    for (const item of items) {
      const itemCost = cost(item) + random();
      if (itemCost < lowestCost) [cheapestItem, lowestCost] = [item, itemCost];
    }
    return cheapestItem;
  }

  const localWorker = cheapest(decodeWorkers, (view) => localEstimate(view).cost)!;
  const localPair: WorkerPair = {
    prefillWorker: undefined,
    decodeWorker: localWorker.worker,
    prefillWorkerTokens: 0,
    decodeWorkerTokens: localPrefillTokens(localWorker),
    prefillTime: 0,
    timeToFirstToken: localEstimate(localWorker).time,
    serviceTime: localPrefillTokens(localWorker) * localWorker.timePerToken,
    assignment: undefined,
  };
  if (prefillWorkers.length === 0) return localPair;
  const scored =
    prefillWorkers.length <= maxScored
      ? prefillWorkers
      : prefillWorkers
          .map((view) => ({ view, cost: prefillCost(view, prefillTime(view)) }))
          .sort((a, b) => a.cost - b.cost)
          .slice(0, maxScored)
          .map((entry) => entry.view);
  const views = new Map(scored.map((view) => [view.candidate.worker as string, view]));
  function viewOf(candidate: { readonly worker: string }): WorkerView {
    return views.get(candidate.worker)!;
  }
  const assignment = assignPrefill(
    {
      prompt: promptSummary,
      candidates: scored.map((view) => view.candidate),
      expectedTtft: (candidate) => prefillTime(viewOf(candidate)),
      expectedHitShare: (candidate) => prefillCached(viewOf(candidate)) / Math.max(1, request.promptTokens),
      costOf: (candidate, time) => prefillCost(viewOf(candidate), time),
      hits,
      model,
      now,
      random,
      selectBaseline: (candidates) => {
        const best = cheapest(scored, (view) => prefillCost(view, prefillTime(view)))!;
        return candidates.find((candidate) => candidate.worker === best.worker.id)!;
      },
    },
    costs.placement,
  )!;
  const prefillView = prefillWorkers.find((view) => view.worker.id === assignment.worker.worker)!;
  function pairCost(view: WorkerView): number {
    return score(
      prefillTime(prefillView) + transferTime(view, prefillView.worker) + 20_000,
      sendCost(prefillView) +
        costs.failureCost * prefillView.failureRate +
        sendCost(view) +
        transferCost(view, prefillView.worker) +
        decodeLoadCost(view) +
        costs.recomputeCost * Math.max(0, shared - prefillCached(prefillView)),
    );
  }
  const decodeView = cheapest(decodeWorkers, pairCost)!;
  if (localEstimate(localWorker).cost <= pairCost(decodeView)) return localPair;
  return {
    prefillWorker: prefillView.worker,
    decodeWorker: decodeView.worker,
    prefillWorkerTokens: prefillTokens(prefillView),
    decodeWorkerTokens: 1,
    prefillTime: prefillTime(prefillView),
    timeToFirstToken: prefillTime(prefillView) + transferTime(decodeView, prefillView.worker) + 20_000,
    serviceTime: prefillTokens(prefillView) * prefillView.timePerToken,
    assignment,
  };
}
