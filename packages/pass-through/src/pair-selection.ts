/** Selects the workers for the next attempt of a request, by the worker table and the prefixes cached at workers. */
import { assignWorkerPair, promptBlocks, type WorkerPair, type PairCosts } from './assign-worker-pair.js';
import type { HandlerContext } from './handler-context.js';
import type { InFlightRequest } from './in-flight-request.js';
import type { FleetWorker } from './worker-fleet.js';

/** Prefixes that a worker prefilled longer ago than this are taken to be evicted from its KV cache. */
const prefixCacheRetentionMicros = 10_000_000;
/** A random draw so high that it never triggers exploration. */
const noExplorationDraw = 0.999999;
const bytesPerMebibyte = 1_048_576;

/** Expected time to the first token of a run with transferred KV cache. */
export const timeToFirstTokenFromKvMicros = 60_000;

function pairCostsFor(context: HandlerContext, inFlight: InFlightRequest): PairCosts {
  const { options, ports, pairCosts: defaults, placement } = context;
  return {
    ...defaults,
    zone: options.zone,
    regionOf: options.regionOf,
    ...(ports.workers.hasIdleConnection === undefined ? {} : { hasIdleConnection: ports.workers.hasIdleConnection }),
    targetLatency: inFlight.route.targetLatency,
    kvBytesPerToken: inFlight.service.kvBytesPerToken,
    linkMbps: inFlight.service.linkMbps,
    placement,
  };
}

function prefixHits(context: HandlerContext, inFlight: InFlightRequest): ReadonlyMap<string, number> {
  return context.prefixTree.hits(promptBlocks(inFlight.request), context.world.now() - prefixCacheRetentionMicros);
}

/** The cheapest pair without the workers in `excluded`; without a prefill worker where `localPrefillOnly`. */
export function choosePair(
  context: HandlerContext,
  inFlight: InFlightRequest,
  localPrefillOnly: boolean,
  excluded: ReadonlySet<string> = inFlight.triedWorkers,
  random: () => number = context.world.random,
): WorkerPair | undefined {
  const { fleet, world } = context;
  const service = inFlight.service.name;
  const decodeWorkers = fleet.candidates(service, 'decode', excluded);
  // A prefill worker that receives a request without a prompt would run it.
  const prefillWorkers =
    localPrefillOnly || inFlight.request.promptTokens === 0 ? [] : fleet.candidates(service, 'prefill', excluded);
  return assignWorkerPair(
    inFlight.request,
    prefillWorkers,
    decodeWorkers,
    prefixHits(context, inFlight),
    inFlight.cohort?.model,
    pairCostsFor(context, inFlight),
    world.now,
    random,
  );
}

/**
 * The decode worker for a prompt that `prefillWorker` has prefilled. It is chosen again after the prefill: a second may
 * have passed, and workers that have left meanwhile are no candidates.
 */
export function chooseDecodeWorker(
  context: HandlerContext,
  inFlight: InFlightRequest,
  prefillWorker: FleetWorker,
): WorkerPair | undefined {
  const { fleet, world } = context;
  const decodeWorkers = fleet.candidates(inFlight.service.name, 'decode', inFlight.triedWorkers);
  const costs = pairCostsFor(context, inFlight);
  const kvMebibytes = (inFlight.request.promptTokens * costs.kvBytesPerToken) / bytesPerMebibyte;
  const pair = assignWorkerPair(
    // The whole KV cache is transferred, so only load and distance count here.
    { ...inFlight.request, promptTokens: 1, promptSegments: [] },
    [],
    decodeWorkers.map((view) => ({ ...view, queueDelay: view.queueDelay + 1 })),
    prefixHits(context, inFlight),
    undefined,
    {
      ...costs,
      recomputeCost: 0,
      zone: prefillWorker.zone,
      crossZoneCost: costs.crossZoneCost + kvMebibytes * costs.kvTransferCost,
    },
    world.now,
    world.random,
  );
  return pair === undefined
    ? undefined
    : { ...pair, prefillWorker, decodeWorkerTokens: 1, timeToFirstToken: timeToFirstTokenFromKvMicros };
}

/** A run at a worker that has the whole prompt cached; undefined where it is leaving, gone or unresponsive. */
export function pairWithSameWorker(context: HandlerContext, worker: FleetWorker): WorkerPair | undefined {
  const decodeWorker = context.fleet.find(worker.id);
  if (decodeWorker === undefined || decodeWorker.leaving || context.fleet.isUnresponsive(decodeWorker.id))
    return undefined;
  return {
    prefillWorker: undefined,
    decodeWorker,
    prefillWorkerTokens: 0,
    decodeWorkerTokens: 1,
    prefillTime: 0,
    timeToFirstToken: timeToFirstTokenFromKvMicros,
    serviceTime: 0,
    assignment: undefined,
  };
}

/** The pair that would be chosen if this worker were abandoned now, if it is available; no exploration is drawn. */
export function alternativeTo(
  context: HandlerContext,
  inFlight: InFlightRequest,
  worker: string,
  localPrefillOnly: boolean,
): WorkerPair | undefined {
  const { fleet } = context;
  const alternative = choosePair(
    context,
    inFlight,
    localPrefillOnly,
    new Set([...inFlight.triedWorkers, worker]),
    () => noExplorationDraw,
  );
  if (alternative === undefined || !fleet.isAvailable(alternative.decodeWorker.id)) return undefined;
  return alternative.prefillWorker === undefined || fleet.isAvailable(alternative.prefillWorker.id)
    ? alternative
    : undefined;
}

/**
 * Whether a worker that may still answer is abandoned for another: the retry budget has room, and the worker has been
 * silent for as long as the alternative is expected to take, so that a wrong decision at most doubles the wait.
 */
export function isWorthAbandoning(
  context: HandlerContext,
  inFlight: InFlightRequest,
  worker: string,
  waited: number,
  localPrefillOnly: boolean,
): boolean {
  if (!context.retryBudget.hasRoom(inFlight.service.name)) return false;
  const alternative = alternativeTo(context, inFlight, worker, localPrefillOnly);
  const remainingTime = inFlight.deadline - context.world.now();
  return (
    alternative !== undefined && waited >= alternative.timeToFirstToken && remainingTime > alternative.timeToFirstToken
  );
}
