/** What workers can be asked and ordered, as the recovery of decode workers uses it. A port never throws. */
import type { ListedWorker } from '@tansypost/control-feed';

/** What a worker does: it reads prompts (prefill), or it makes tokens (decode). */
export type Stage = ListedWorker['part'];

/** What a worker says of itself when it is asked. */
export interface WorkerReport {
  readonly stage: Stage;
  /** An order is being carried out. */
  readonly changing: boolean;
  /** Orders that it has taken in this life. */
  readonly ordersTaken: number;
  /** Requests that run or wait there. */
  readonly load: number;
}

/** An order to a worker to change its stage. */
export interface StageOrder {
  readonly worker: ListedWorker;
  readonly stage: Stage;
  /** The machine that gives it. */
  readonly holder: string;
  /** Rises with each order that anybody gives; a worker that checks it refuses a lower one than it has seen. */
  readonly fence: number;
  /** Taken only by a worker that has taken so many orders before. */
  readonly ordersTaken: number;
}

/**
 * How an order ended: it is being carried out, holds already, another one is under way or came before it, a higher fence
 * was seen, another worker has the address, it is refused for good, or no answer came, so that it may have been taken.
 */
export type OrderOutcome = 'accepted' | 'holds' | 'busy' | 'fenced' | 'other' | 'refused' | 'unknown';

/** The way to workers. */
export interface WorkerStageClient {
  /** Undefined where no answer came in time. */
  readonly report: (worker: ListedWorker) => Promise<WorkerReport | undefined>;
  readonly order: (order: StageOrder) => Promise<OrderOutcome>;
}
