/**
 * The course of requests through a router: each waits until the router is ready, is given the service of its route, and
 * is tried at workers until its answer is whole or given up on. Time, randomness and the way to workers and requesters
 * are passed in.
 */
import type { World } from '@tansypost/inner-protocol';
import { createRouteMatcher, type RouteMatcher, type Route, type RouteTable, type Service } from '@tansypost/paths';
import type { Admitted } from './admission.js';
import { runAttempts } from './attempt-loop.js';
import {
  createHandlerContext,
  reject,
  type HandlerContext,
  type RequestHandlerOptions,
  type RequestHandlerPorts,
} from './handler-context.js';
import { createInFlightRequest, type InFlightRequest } from './in-flight-request.js';
import type { IncomingRequest } from './incoming-request.js';
import { logRequestEnd } from './request-log.js';
import type { CompletedRequest, Rejection, ResponseWriter } from './ports.js';
import { createReadiness } from './readiness.js';
import { createDecodeAvailability } from './decode-availability.js';
import type { FleetWorker, ReportedLoad } from './worker-fleet.js';

/**
 * Seconds after which a router that was starting is asked again. By then it is ready even if all were killed; a requester
 * that comes back sooner may be refused again, and has no further try.
 */
const retryAfterStartSeconds = 1.2;
const retryWithoutServiceSeconds = 1;
/** Workers shown in the figures: a line that is too long for the log's pipe is lost. */
const maxLoggedWorkers = 16;

const routesUnknown: Rejection = {
  kind: 'not_ready',
  ran: 'no',
  reason: 'No paths are known here yet.',
  retryAfterSeconds: retryAfterStartSeconds,
};
const workersUnknown: Rejection = { ...routesUnknown, reason: 'No workers are known here yet.' };
const unknownRoute: Rejection = { kind: 'unknown_path', ran: 'no', reason: 'No path has this host and prefix.' };
const unknownKey: Rejection = { kind: 'unknown_key', ran: 'no', reason: 'No tenant has this key.' };
const noService: Rejection = {
  kind: 'no_workers',
  ran: 'no',
  reason: 'The path has no service.',
  retryAfterSeconds: retryWithoutServiceSeconds,
};
const internalError: Rejection = {
  kind: 'outcome_unknown',
  ran: 'maybe',
  reason: 'Something unforeseen went wrong inside this router.',
};

/** Serves requests, and takes in what the router is told of routes, workers and loads. */
export interface RequestHandler {
  readonly serve: (request: IncomingRequest, response: ResponseWriter, clientGone: AbortSignal) => Promise<void>;
  readonly updateRoutes: (table: RouteTable) => void;
  readonly updateWorkers: (list: readonly FleetWorker[]) => void;
  readonly updateLoad: (worker: string, load: ReportedLoad) => void;
  readonly recordPeerActivity: (worker: string, serviceTime: number, failed: boolean) => void;
  readonly isReady: () => boolean;
  readonly activeRequests: () => number;
  /** Gives up on all requests whose answers have not begun, as this router ends before they could. */
  readonly rejectUnstarted: () => void;
  readonly metrics: () => Record<string, unknown>;
}

/** The routes and services of the newest table. */
interface RoutingState {
  readonly matcher: RouteMatcher;
  readonly services: ReadonlyMap<string, Service>;
}

/** A service of the path, drawn by weight. */
function pickService(route: Route, services: ReadonlyMap<string, Service>, random: () => number): Service | undefined {
  const totalWeight = route.weightedServices.reduce((sum, share) => sum + share.weight, 0);
  let remaining = random() * totalWeight;
  for (const share of route.weightedServices) {
    remaining -= share.weight;
    if (remaining < 0) return services.get(share.service);
  }
  return services.get(route.weightedServices.find((share) => share.weight > 0)?.service ?? '');
}

function completedRequest(inFlight: InFlightRequest, now: number): CompletedRequest {
  const { route, chunkCount, firstChunkAt, arrivedAt, deadline, completed, clientGone } = inFlight;
  return {
    route: route.name,
    end: completed ? 'whole' : clientGone.aborted ? 'left' : 'failed',
    timeout: deadline - arrivedAt,
    timeToFirstChunk: firstChunkAt - arrivedAt,
    timePerChunk: chunkCount > 1 ? (now - firstChunkAt) / (chunkCount - 1) : undefined,
  };
}

/** Tries the request at workers of one service of its route. */
async function serveRouted(
  context: HandlerContext,
  inFlights: Set<InFlightRequest>,
  routes: RoutingState,
  { request, route }: Admitted,
  arrival: Pick<InFlightRequest, 'receivedRequest' | 'response' | 'clientGone' | 'arrivedAt'>,
): Promise<void> {
  const service = pickService(route, routes.services, context.world.random);
  if (service === undefined) return reject(context, arrival.response, noService);
  const cohort = context.ports.assignCohort?.(request.id);
  const inFlight = createInFlightRequest({ ...arrival, request, route, service, cohort });
  inFlight.timeline.parts.ready = context.world.now() - arrival.arrivedAt;
  context.retryBudget.recordRequest(service.name);
  inFlights.add(inFlight);
  try {
    await runAttempts(context, inFlight);
  } finally {
    inFlights.delete(inFlight);
  }
  if (context.options.logRequests === true) logRequestEnd(context, inFlight);
  cohort?.completed(completedRequest(inFlight, context.world.now()));
}

/** A course that knows no routes and no workers yet. */
export function createRequestHandler(
  world: World,
  options: RequestHandlerOptions,
  ports: RequestHandlerPorts,
): RequestHandler {
  const context = createHandlerContext(world, options, ports);
  const { fleet, tree } = context;
  let routes: RoutingState | undefined;
  const decodeAvailability = createDecodeAvailability(world);
  let workers: readonly FleetWorker[] | undefined;
  const inFlights = new Set<InFlightRequest>();
  let active = 0;

  function isReady(): boolean {
    return routes !== undefined && workers !== undefined;
  }
  const readiness = createReadiness(world, isReady);

  function updateRoutes(table: RouteTable): void {
    const services = new Map(table.services.map((service) => [service.name, service]));
    routes = { matcher: createRouteMatcher(table), services };
    context.admission.updateTenants(table.tenants);
    onStateChanged();
  }

  function updateWorkers(workerList: readonly FleetWorker[]): void {
    workers = workerList;
    for (const id of fleet.updateWorkers(workerList)) tree.forget(id);
    onStateChanged();
  }

  function onStateChanged(): void {
    readiness.notifyChanged();
    if (routes !== undefined && workers !== undefined) decodeAvailability.check(routes.services.keys(), workers);
  }

  function routeOf(request: IncomingRequest): Route | undefined {
    return routes?.matcher.find(request.host, request.target);
  }

  async function serveArrived(
    request: IncomingRequest,
    response: ResponseWriter,
    clientGone: AbortSignal,
  ): Promise<void> {
    const arrivedAt = world.now();
    await readiness.wait(arrivedAt, request.timeout, () => routeOf(request)?.targetLatency);
    if (clientGone.aborted) return void context.count('requester left');
    if (routes === undefined) return reject(context, response, routesUnknown);
    const route = routeOf(request);
    if (route === undefined) return reject(context, response, unknownRoute);
    const admitted = context.admission.admit(request, route);
    if (admitted === undefined) return reject(context, response, unknownKey);
    if (workers === undefined) return reject(context, response, workersUnknown);
    await serveRouted(context, inFlights, routes, admitted, {
      receivedRequest: request,
      response,
      clientGone,
      arrivedAt,
    });
  }

  async function serve(request: IncomingRequest, response: ResponseWriter, clientGone: AbortSignal): Promise<void> {
    active += 1;
    try {
      await serveArrived(request, response, clientGone);
    } catch (error) {
      const why = error instanceof Error ? (error.stack ?? error.message) : String(error);
      world.log(5105, { request: request.id, why });
      reject(context, response, internalError);
    } finally {
      active -= 1;
    }
  }

  function rejectUnstarted(): void {
    for (const inFlight of inFlights) {
      if (inFlight.responseStarted) continue;
      inFlight.deadline = world.now();
      inFlight.abortAttempt?.();
    }
  }

  function metrics(): Record<string, unknown> {
    const budget = context.retryBudget.totals();
    return {
      active,
      counts: context.counts(),
      budget,
      listed: workers?.length ?? 0,
      workers: fleet.summaries(maxLoggedWorkers),
    };
  }

  return {
    serve,
    updateRoutes,
    updateWorkers,
    updateLoad: fleet.updateLoad,
    recordPeerActivity: fleet.recordPeerActivity,
    isReady,
    activeRequests: () => active,
    rejectUnstarted,
    metrics,
  };
}
