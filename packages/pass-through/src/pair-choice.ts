/** Which workers a request goes to next, chosen from the fleet's table and what was read where. */
import { assignWorkerPair, promptBlocks, type WorkerPair, type PairCosts } from './assign-pair.js';
import type { HandlerContext } from './course-context.js';
import type { InFlightRequest } from './in-flight-request.js';
import type { FleetWorker } from './worker-fleet.js';

/** What a worker read longer ago than this has given way to other prompts. */
const keptFor = 10_000_000;
/** So high that nothing is explored by it. */
const noDraw = 0.999999;
const bytesPerMebibyte = 1_048_576;

/** The time to the first token of a run whose prompt was read elsewhere. */
export const firstTimeFromMemory = 60_000;

function terms(context: HandlerContext, inFlight: InFlightRequest): PairCosts {
  const { options, ports, pairCosts: pair, placement } = context;
  return {
    ...pair,
    zone: options.zone,
    regionOf: options.regionOf,
    ...(ports.workers.hasIdleConnection === undefined ? {} : { hasIdleConnection: ports.workers.hasIdleConnection }),
    targetLatency: inFlight.path.targetLatency,
    kvBytesPerToken: inFlight.service.kvBytesPerToken,
    linkMbps: inFlight.service.linkMbps,
    placement,
  };
}

function hitsOf(context: HandlerContext, inFlight: InFlightRequest): ReadonlyMap<string, number> {
  return context.tree.hits(promptBlocks(inFlight.request), context.world.now() - keptFor);
}

/** The pair that costs least, without those in `tried`; without a reader where `aloneOnly`. */
export function choosePair(
  context: HandlerContext,
  inFlight: InFlightRequest,
  aloneOnly: boolean,
  tried: ReadonlySet<string> = inFlight.tried,
  random: () => number = context.world.random,
): WorkerPair | undefined {
  const { fleet, world } = context;
  const service = inFlight.service.name;
  const runners = fleet.candidates(service, 'decode', tried);
  // Without a prompt there is nothing to read, and a reader would run the request instead.
  const readers = aloneOnly || inFlight.request.promptTokens === 0 ? [] : fleet.candidates(service, 'prefill', tried);
  return assignWorkerPair(
    inFlight.request,
    readers,
    runners,
    hitsOf(context, inFlight),
    inFlight.lot?.model,
    terms(context, inFlight),
    world.now,
    random,
  );
}

/**
 * The runner for what `reader` has read. It is chosen anew after the read: a second may have passed, and one that left
 * meanwhile is no candidate.
 */
export function chooseRunnerAfterRead(
  context: HandlerContext,
  inFlight: InFlightRequest,
  reader: FleetWorker,
): WorkerPair | undefined {
  const { fleet, world } = context;
  const runners = fleet.candidates(inFlight.service.name, 'decode', inFlight.tried);
  const usual = terms(context, inFlight);
  const moved = (inFlight.request.promptTokens * usual.kvBytesPerToken) / bytesPerMebibyte;
  const pair = assignWorkerPair(
    // What was read moves whole, so only load and distance count here.
    { ...inFlight.request, promptTokens: 1, promptSegments: [] },
    [],
    runners.map((view) => ({ ...view, queueDelay: view.queueDelay + 1 })),
    hitsOf(context, inFlight),
    undefined,
    {
      ...usual,
      recomputeCost: 0,
      zone: reader.zone,
      crossZoneCost: usual.crossZoneCost + moved * usual.kvTransferCost,
    },
    world.now,
    world.random,
  );
  return pair === undefined
    ? undefined
    : { ...pair, prefillWorker: reader, decodeWorkerTokens: 1, timeToFirstToken: firstTimeFromMemory };
}

/** A run at a worker that has the whole prompt; undefined where it is leaving, gone or silent. */
export function pairWithHolder(context: HandlerContext, holder: FleetWorker): WorkerPair | undefined {
  const runner = context.fleet.find(holder.id);
  if (runner === undefined || runner.leaving || context.fleet.isUnresponsive(runner.id)) return undefined;
  return {
    prefillWorker: undefined,
    decodeWorker: runner,
    prefillWorkerTokens: 0,
    decodeWorkerTokens: 1,
    prefillTime: 0,
    timeToFirstToken: firstTimeFromMemory,
    serviceTime: 0,
    assignment: undefined,
  };
}

/** What would be chosen if this worker were left now, if it is available; nothing is drawn for it. */
export function alternativeTo(
  context: HandlerContext,
  inFlight: InFlightRequest,
  worker: string,
  aloneOnly: boolean,
): WorkerPair | undefined {
  const { fleet } = context;
  const other = choosePair(context, inFlight, aloneOnly, new Set([...inFlight.tried, worker]), () => noDraw);
  if (other === undefined || !fleet.isAvailable(other.decodeWorker.id)) return undefined;
  return other.prefillWorker === undefined || fleet.isAvailable(other.prefillWorker.id) ? other : undefined;
}

/**
 * Whether a worker that may still answer is left for another: an extra send is in the budget, and the worker has been
 * silent for as long as another one is expected to take, so that a wrong guess at most doubles the wait.
 */
export function isWorthLeaving(
  context: HandlerContext,
  inFlight: InFlightRequest,
  worker: string,
  waited: number,
  aloneOnly: boolean,
): boolean {
  if (!context.retryBudget.hasRoom(inFlight.service.name)) return false;
  const other = alternativeTo(context, inFlight, worker, aloneOnly);
  const left = inFlight.limit - context.world.now();
  return other !== undefined && waited >= other.timeToFirstToken && left > other.timeToFirstToken;
}
