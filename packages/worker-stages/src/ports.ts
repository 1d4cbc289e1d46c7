/** The port through which the recovery of decode workers queries and orders workers. A port never throws. */
import type { ListedWorker } from '@tansypost/control-feed';

/** The stage that a worker runs: it processes prompts (prefill) or generates tokens (decode). */
export type Stage = ListedWorker['part'];

/** A worker's answer to a report request. */
export interface WorkerReport {
  readonly stage: Stage;
  /** Whether a stage change is in progress. */
  readonly changing: boolean;
  /** Number of orders that it has accepted since it started. */
  readonly ordersTaken: number;
  /** Number of running and queued requests. */
  readonly load: number;
}

/** An order to a worker to change its stage. */
export interface StageOrder {
  readonly worker: ListedWorker;
  readonly stage: Stage;
  /** Name of the control node that sends it. */
  readonly holder: string;
  /** Fencing token, higher for each order of any node. A worker that checks it rejects one lower than it has seen. */
  readonly fence: number;
  /** The worker accepts the order only if it has accepted exactly this many orders before. */
  readonly ordersTaken: number;
}

/**
 * How an order ended. `accepted`: it is being carried out. `holds`: the worker already has the stage. `busy`: another order
 * is in progress or was accepted first. `fenced`: a higher fence was seen. `other`: another worker has the address.
 * `refused`: rejected permanently. `unknown`: no answer, so the order may have been accepted.
 */
export type OrderOutcome = 'accepted' | 'holds' | 'busy' | 'fenced' | 'other' | 'refused' | 'unknown';

/** Queries and orders workers. */
export interface WorkerStageClient {
  /** Requests a report; undefined if no answer came in time. */
  readonly report: (worker: ListedWorker) => Promise<WorkerReport | undefined>;
  readonly order: (order: StageOrder) => Promise<OrderOutcome>;
}
