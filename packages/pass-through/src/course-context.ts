/** What the attempts of all requests share: the fleet's table, what was read where, budgets, estimates and counters. */
import type { World } from '@tansypost/inner-protocol';
import { createPaces, createRadixTree, placementDefaults, type PlacementOptions } from '@tansypost/placement';
import { createAdmission, type Admission } from './admission.js';
import { createAnswerPatience, type AnswerPatience } from './answer-patience.js';
import { defaultPairCosts } from './assign-pair.js';
import type { Rejection, CohortAssignment, ResponseWriter, WorkerPort } from './ports.js';
import { createRetryBudget, type RetryBudget, type RetryBudgetOptions } from './send-budget.js';
import { createWorkerFleet, type WorkerFleet } from './worker-fleet.js';

/** What a router knows of itself, and how it weighs workers. */
export interface RequestHandlerOptions {
  readonly zone: string;
  readonly regionOf: (zone: string) => string;
  readonly retryBudget: RetryBudgetOptions;
  /** Whether the end of each request is told to the log, which writes it or not. */
  readonly logRequests?: boolean;
  readonly placement?: PlacementOptions;
  readonly pairCosts?: Partial<typeof defaultPairCosts>;
}

/** The way to workers, and to those who learn from what was sent. */
export interface RequestHandlerPorts {
  readonly workers: WorkerPort;
  /** A read that takes so long was sent, or a send failed: others may want to know. */
  readonly announceActivity?: (worker: string, service: number, bad?: boolean) => void;
  /** What a reader was chosen by, and how long it then took until the first piece. */
  readonly recordSample?: (row: Float32Array, firstTime: number) => void;
  readonly assignCohort?: (request: string) => CohortAssignment;
  /** A worker has begun to run a request of this tenant: its first piece has come. Called once for each request. */
  readonly requestStarted?: (tenant: string) => void;
}

/** State and services of one router's course, passed to each attempt. */
export interface HandlerContext {
  readonly world: World;
  readonly options: RequestHandlerOptions;
  readonly ports: RequestHandlerPorts;
  readonly placement: PlacementOptions;
  readonly pairCosts: typeof defaultPairCosts;
  readonly fleet: WorkerFleet;
  readonly paces: ReturnType<typeof createPaces>;
  readonly tree: ReturnType<typeof createRadixTree>;
  readonly retryBudget: RetryBudget;
  readonly admission: Admission;
  readonly responseTimeouts: AnswerPatience;
  /** Counts an event by its name and gives how often it has happened. */
  readonly count: (event: string) => number;
  readonly counts: () => Record<string, number>;
}

/** The state of a router that has served nothing yet. */
export function createHandlerContext(
  world: World,
  options: RequestHandlerOptions,
  ports: RequestHandlerPorts,
): HandlerContext {
  const paces = createPaces();
  const counts = new Map<string, number>();

  function count(event: string): number {
    const times = (counts.get(event) ?? 0) + 1;
    counts.set(event, times);
    return times;
  }

  return {
    world,
    options,
    ports,
    placement: options.placement ?? placementDefaults,
    pairCosts: { ...defaultPairCosts, ...options.pairCosts },
    fleet: createWorkerFleet(world.now, paces.speedClass),
    paces,
    tree: createRadixTree(),
    retryBudget: createRetryBudget(world.now, options.retryBudget),
    admission: createAdmission(),
    responseTimeouts: createAnswerPatience(),
    count,
    counts: () => Object.fromEntries([...counts].sort()),
  };
}

/** Answers that the request was given up on; what is given here reaches the requester at once. */
export function reject(context: HandlerContext, reply: ResponseWriter, answer: Rejection): void {
  context.count(`gave up: ${answer.kind}`);
  reply.reject(answer);
}
