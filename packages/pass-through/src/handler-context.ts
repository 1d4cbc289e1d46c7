/** State shared by the attempts of all requests: worker table, prefix tree, retry budget, estimates and counters. */
import type { World } from '@tansypost/inner-protocol';
import { createByteBudget, type ByteBudget } from '@tansypost/peer-limits';
import {
  createThroughputTracker,
  createRadixTree,
  placementDefaults,
  type PlacementOptions,
} from '@tansypost/placement';
import { createAdmission, type Admission } from './admission.js';
import { createResponseTimeouts, type ResponseTimeouts } from './response-timeouts.js';
import { createMalformedResponseLog, type MalformedResponseLog } from './malformed-responses.js';
import { defaultPairCosts } from './assign-worker-pair.js';
import type { Rejection, CohortAssignment, ResponseWriter, WorkerPort } from './ports.js';
import { createRetryBudget, type RetryBudget, type RetryBudgetOptions } from './retry-budget.js';
import { createWorkerFleet, type WorkerFleet } from './worker-fleet.js';

const defaultHeldBytes = 16 * 1024 * 1024;

/** Settings of a router's request handler. */
export interface RequestHandlerOptions {
  readonly zone: string;
  readonly regionOf: (zone: string) => string;
  readonly retryBudget: RetryBudgetOptions;
  /** Whether the end of each request is logged (subject to the log level). */
  readonly logRequests?: boolean;
  readonly placement?: PlacementOptions;
  readonly pairCosts?: Partial<typeof defaultPairCosts>;
  /** The bound for what workers make the process hold; one for this handler alone by default. */
  readonly heldBytes?: ByteBudget;
}

/** Interfaces to workers, other routers and learning. */
export interface RequestHandlerPorts {
  readonly workers: WorkerPort;
  /** Tells other routers that this one sent a prefill that takes `serviceTime`, or that an attempt failed. */
  readonly announceActivity?: (worker: string, serviceTime: number, failed?: boolean) => void;
  /** The features by which a prefill worker was chosen, and the time from the choice to the first chunk. */
  readonly recordSample?: (features: Float32Array, timeToFirstChunk: number) => void;
  /** Assigns the request to a cohort of the running rehearsal. */
  readonly assignCohort?: (request: string) => CohortAssignment;
  /** The first chunk of a request of this tenant has come, so it has started to run. Called once for each request. */
  readonly requestStarted?: (tenant: string) => void;
}

/** State and services of one request handler, passed to each attempt. */
export interface HandlerContext {
  readonly world: World;
  readonly options: RequestHandlerOptions;
  readonly ports: RequestHandlerPorts;
  readonly placement: PlacementOptions;
  readonly pairCosts: typeof defaultPairCosts;
  readonly fleet: WorkerFleet;
  readonly throughput: ReturnType<typeof createThroughputTracker>;
  readonly prefixTree: ReturnType<typeof createRadixTree>;
  readonly retryBudget: RetryBudget;
  readonly admission: Admission;
  readonly responseTimeouts: ResponseTimeouts;
  readonly malformedResponses: MalformedResponseLog;
  readonly heldBytes: ByteBudget;
  /** Counts an event by its name and returns its count. */
  readonly count: (event: string) => number;
  readonly counts: () => Record<string, number>;
}

/** The context of a handler that has served no request yet. */
export function createHandlerContext(
  world: World,
  options: RequestHandlerOptions,
  ports: RequestHandlerPorts,
): HandlerContext {
  const throughput = createThroughputTracker();
  const counts = new Map<string, number>();

  function count(event: string): number {
    const occurrences = (counts.get(event) ?? 0) + 1;
    counts.set(event, occurrences);
    return occurrences;
  }

  return {
    world,
    options,
    ports,
    placement: options.placement ?? placementDefaults,
    pairCosts: { ...defaultPairCosts, ...options.pairCosts },
    fleet: createWorkerFleet(world.now, throughput.speedClass),
    throughput,
    prefixTree: createRadixTree(),
    retryBudget: createRetryBudget(world.now, options.retryBudget),
    admission: createAdmission(),
    responseTimeouts: createResponseTimeouts(),
    malformedResponses: createMalformedResponseLog(world),
    heldBytes: options.heldBytes ?? createByteBudget(defaultHeldBytes),
    count,
    counts: () => Object.fromEntries([...counts].sort()),
  };
}

/** Rejects the request; the client receives the rejection at once. */
export function reject(context: HandlerContext, response: ResponseWriter, rejection: Rejection): void {
  context.count(`gave up: ${rejection.kind}`);
  response.reject(rejection);
}
