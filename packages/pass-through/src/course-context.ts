/** What the attempts of all requests share: the fleet's table, what was read where, budgets, estimates and counters. */
import type { World } from '@tansypost/inner-protocol';
import { createPaces, createRadixTree, placementDefaults, type PlacementOptions } from '@tansypost/placement';
import { createAdmission, type Admission } from './admission.js';
import { createAnswerPatience, type AnswerPatience } from './answer-patience.js';
import { pairDefaults } from './assign-pair.js';
import type { GiveUp, Lot, Reply, WorkerPort } from './ports.js';
import { createSendBudget, type SendBudget, type SendBudgetTerms } from './send-budget.js';
import { createWorkerFleet, type WorkerFleet } from './worker-fleet.js';

/** What a router knows of itself, and how it weighs workers. */
export interface CourseOptions {
  readonly zone: string;
  readonly regionOf: (zone: string) => string;
  readonly budget: SendBudgetTerms;
  /** Whether the end of each request is told to the log, which writes it or not. */
  readonly logsRequests?: boolean;
  readonly placement?: PlacementOptions;
  readonly pair?: Partial<typeof pairDefaults>;
}

/** The way to workers, and to those who learn from what was sent. */
export interface CoursePorts {
  readonly workers: WorkerPort;
  /** A read that takes so long was sent, or a send failed: others may want to know. */
  readonly reading?: (worker: string, service: number, bad?: boolean) => void;
  /** What a reader was chosen by, and how long it then took until the first piece. */
  readonly sample?: (row: Float32Array, firstTime: number) => void;
  readonly lot?: (request: string) => Lot;
  /** A worker has begun to run a request of this tenant: its first piece has come. Called once for each request. */
  readonly began?: (tenant: string) => void;
}

/** State and services of one router's course, passed to each attempt. */
export interface CourseContext {
  readonly world: World;
  readonly options: CourseOptions;
  readonly ports: CoursePorts;
  readonly placement: PlacementOptions;
  readonly pair: typeof pairDefaults;
  readonly fleet: WorkerFleet;
  readonly paces: ReturnType<typeof createPaces>;
  readonly tree: ReturnType<typeof createRadixTree>;
  readonly budget: SendBudget;
  readonly admission: Admission;
  readonly patience: AnswerPatience;
  /** Counts an event by its name and gives how often it has happened. */
  readonly count: (event: string) => number;
  readonly counts: () => Record<string, number>;
}

/** The state of a router that has served nothing yet. */
export function createCourseContext(world: World, options: CourseOptions, ports: CoursePorts): CourseContext {
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
    pair: { ...pairDefaults, ...options.pair },
    fleet: createWorkerFleet(world.now, paces.speedClass),
    paces,
    tree: createRadixTree(),
    budget: createSendBudget(world.now, options.budget),
    admission: createAdmission(),
    patience: createAnswerPatience(),
    count,
    counts: () => Object.fromEntries([...counts].sort()),
  };
}

/** Answers that the request was given up on; what is given here reaches the requester at once. */
export function giveUp(context: CourseContext, reply: Reply, answer: GiveUp): void {
  context.count(`gave up: ${answer.kind}`);
  reply.giveUp(answer);
}
