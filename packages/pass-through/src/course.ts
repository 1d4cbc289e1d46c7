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
} from './course-context.js';
import { createInFlightRequest, type InFlightRequest } from './in-flight-request.js';
import type { IncomingRequest } from './incoming.js';
import { logEnd } from './loss-events.js';
import type { CompletedRequest, Rejection, ResponseWriter } from './ports.js';
import { createReadiness } from './readiness.js';
import { createDecodeWatch } from './decode-watch.js';
import type { FleetWorker, ReportedLoad } from './worker-fleet.js';

/**
 * Seconds after which a router that was starting is asked again. By then it is ready even if all were killed; a requester
 * that comes back sooner may be refused again, and has no further try.
 */
const retryAfterStart = 1.2;
const retryWithoutService = 1;
/** Workers shown in the figures: a line that is too long for the log's pipe is lost. */
const mostShown = 16;

const routesUnknown: Rejection = {
  kind: 'not_ready',
  ran: 'no',
  reason: 'No paths are known here yet.',
  retryAfter: retryAfterStart,
};
const workersUnknown: Rejection = { ...routesUnknown, reason: 'No workers are known here yet.' };
const noRoute: Rejection = { kind: 'unknown_path', ran: 'no', reason: 'No path has this host and prefix.' };
const unknownKey: Rejection = { kind: 'unknown_key', ran: 'no', reason: 'No tenant has this key.' };
const noService: Rejection = {
  kind: 'no_workers',
  ran: 'no',
  reason: 'The path has no service.',
  retryAfter: retryWithoutService,
};
const unforeseen: Rejection = {
  kind: 'outcome_unknown',
  ran: 'maybe',
  reason: 'Something unforeseen went wrong inside this router.',
};

/** Serves requests, and takes in what the router is told of routes, workers and loads. */
export interface RequestHandler {
  readonly serve: (request: IncomingRequest, reply: ResponseWriter, gone: AbortSignal) => Promise<void>;
  readonly updateRoutes: (table: RouteTable) => void;
  readonly updateWorkers: (list: readonly FleetWorker[]) => void;
  readonly updateLoad: (worker: string, load: ReportedLoad) => void;
  readonly recordPeerActivity: (worker: string, service: number, bad: boolean) => void;
  readonly isReady: () => boolean;
  readonly activeRequests: () => number;
  /** Gives up on all requests whose answers have not begun, as this router ends before they could. */
  readonly rejectUnstarted: () => void;
  readonly metrics: () => Record<string, unknown>;
}

/** The routes and services of the newest table. */
interface Routes {
  readonly matcher: RouteMatcher;
  readonly services: ReadonlyMap<string, Service>;
}

/** A service of the path, drawn by weight. */
function pickService(path: Route, services: ReadonlyMap<string, Service>, random: () => number): Service | undefined {
  const whole = path.weightedServices.reduce((sum, share) => sum + share.weight, 0);
  let at = random() * whole;
  for (const share of path.weightedServices) {
    at -= share.weight;
    if (at < 0) return services.get(share.service);
  }
  return services.get(path.weightedServices.find((share) => share.weight > 0)?.service ?? '');
}

function answered(inFlight: InFlightRequest, now: number): CompletedRequest {
  const { path, pieces, firstAt, arrived, limit, whole, gone } = inFlight;
  return {
    route: path.name,
    end: whole ? 'whole' : gone.aborted ? 'left' : 'failed',
    timeout: limit - arrived,
    timeToFirstChunk: firstAt - arrived,
    timePerChunk: pieces > 1 ? (now - firstAt) / (pieces - 1) : undefined,
  };
}

/** Tries the request at workers of one service of its route. */
async function serveRouted(
  context: HandlerContext,
  inFlights: Set<InFlightRequest>,
  routes: Routes,
  { request, path }: Admitted,
  facts: Pick<InFlightRequest, 'received' | 'reply' | 'gone' | 'arrived'>,
): Promise<void> {
  const service = pickService(path, routes.services, context.world.random);
  if (service === undefined) return reject(context, facts.reply, noService);
  const lot = context.ports.assignCohort?.(request.id);
  const inFlight = createInFlightRequest({ ...facts, request, path, service, lot });
  inFlight.timeline.parts.ready = context.world.now() - facts.arrived;
  context.retryBudget.recordRequest(service.name);
  inFlights.add(inFlight);
  try {
    await runAttempts(context, inFlight);
  } finally {
    inFlights.delete(inFlight);
  }
  if (context.options.logRequests === true) logEnd(context, inFlight);
  lot?.completed(answered(inFlight, context.world.now()));
}

/** A course that knows no routes and no workers yet. */
export function createRequestHandler(
  world: World,
  options: RequestHandlerOptions,
  ports: RequestHandlerPorts,
): RequestHandler {
  const context = createHandlerContext(world, options, ports);
  const { fleet, tree } = context;
  let routes: Routes | undefined;
  const decodeWatch = createDecodeWatch(world);
  let listed: readonly FleetWorker[] | undefined;
  const inFlights = new Set<InFlightRequest>();
  let active = 0;

  function ready(): boolean {
    return routes !== undefined && listed !== undefined;
  }
  const readiness = createReadiness(world, ready);

  function paths(table: RouteTable): void {
    const services = new Map(table.services.map((service) => [service.name, service]));
    routes = { matcher: createRouteMatcher(table), services };
    context.admission.replace(table.tenants);
    changed();
  }

  function workers(list: readonly FleetWorker[]): void {
    listed = list;
    for (const id of fleet.updateWorkers(list)) tree.forget(id);
    changed();
  }

  function changed(): void {
    readiness.changed();
    if (routes !== undefined && listed !== undefined) decodeWatch.look(routes.services.keys(), listed);
  }

  function routeOf(request: IncomingRequest): Route | undefined {
    return routes?.matcher.find(request.host, request.target);
  }

  async function serveArrived(request: IncomingRequest, reply: ResponseWriter, gone: AbortSignal): Promise<void> {
    const arrived = world.now();
    await readiness.wait(arrived, request.timeout, () => routeOf(request)?.targetLatency);
    if (gone.aborted) return void context.count('requester left');
    if (routes === undefined) return reject(context, reply, routesUnknown);
    const path = routeOf(request);
    if (path === undefined) return reject(context, reply, noRoute);
    const admitted = context.admission.admit(request, path);
    if (admitted === undefined) return reject(context, reply, unknownKey);
    if (listed === undefined) return reject(context, reply, workersUnknown);
    await serveRouted(context, inFlights, routes, admitted, { received: request, reply, gone, arrived });
  }

  async function serve(request: IncomingRequest, reply: ResponseWriter, gone: AbortSignal): Promise<void> {
    active += 1;
    try {
      await serveArrived(request, reply, gone);
    } catch (error) {
      const why = error instanceof Error ? (error.stack ?? error.message) : String(error);
      world.log(5105, { request: request.id, why });
      reject(context, reply, unforeseen);
    } finally {
      active -= 1;
    }
  }

  function giveUpUnbegun(): void {
    for (const inFlight of inFlights) {
      if (inFlight.begun) continue;
      inFlight.limit = world.now();
      inFlight.abortAttempt?.();
    }
  }

  function figures(): Record<string, unknown> {
    const budget = context.retryBudget.totals();
    return {
      active,
      counts: context.counts(),
      budget,
      listed: listed?.length ?? 0,
      workers: fleet.summaries(mostShown),
    };
  }

  return {
    serve,
    updateRoutes: paths,
    updateWorkers: workers,
    updateLoad: fleet.updateLoad,
    recordPeerActivity: fleet.recordPeerActivity,
    isReady: ready,
    activeRequests: () => active,
    rejectUnstarted: giveUpUnbegun,
    metrics: figures,
  };
}
