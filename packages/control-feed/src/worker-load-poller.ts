/** Polls the loads of workers on a control node; the workers are divided among the live control nodes. */
import {
  every,
  micros,
  runInBackground,
  type Address,
  type Cancel,
  type MessageOf,
  type World,
} from '@tansypost/inner-protocol';
import type { ListedWorker } from './listed-worker.js';
import type { WorkerLoad } from './worker-loads.js';

/** The load in a worker's own report. */
export type PolledLoad = Omit<WorkerLoad, 'at' | 'silent'>;

/** Options of the poller. */
export interface WorkerLoadPollerOptions {
  /** Fetches the load of a worker; resolves to undefined, or rejects, if the worker gives no valid report. */
  readonly fetchWorkerLoad: (worker: ListedWorker) => Promise<PolledLoad | undefined>;
  /** Interval between polls, in microseconds. */
  readonly pollInterval: number;
  readonly workers: () => readonly ListedWorker[];
  /**
   * The index of this node among the live control nodes, and their number, which determine the workers that it polls;
   * undefined while this node has no replica.
   */
  readonly share: () => { readonly rank: number; readonly nodeCount: number } | undefined;
  /** Addresses that the loads are sent to: routers and other followers, and control nodes that share their loads. */
  readonly receivers: () => readonly Address[];
}

/** A load, or that a worker gave none; `at` is the time at which the poll was sent. */
type PollResult = Omit<WorkerLoad, 'at'> & { readonly at: number };

/**
 * Polls periodically until the returned function is called, and sends the results of a poll together when all are
 * there. A poll is skipped while results of the previous one are outstanding.
 */
export function startWorkerLoadPoller(world: World, options: WorkerLoadPollerOptions): Cancel {
  let outstanding = 0;
  let results: PollResult[] = [];

  function poll(): void {
    const share = options.share();
    if (share === undefined || outstanding > 0) return;
    const workers = options.workers().filter((_, index) => index % Math.max(1, share.nodeCount) === share.rank);
    outstanding = workers.length;
    for (const worker of workers) pollWorker(worker);
  }

  function pollWorker(worker: ListedWorker): void {
    const at = world.now();
    const polled = options
      .fetchWorkerLoad(worker)
      .catch(() => undefined)
      .then((load) => addResult(load === undefined ? silentLoad(worker.id, at) : { ...load, silent: false, at }));
    runInBackground(world.log, 'poll of a load', polled);
  }

  function addResult(load: PollResult): void {
    results.push(load);
    outstanding -= 1;
    if (outstanding > 0) return;
    // The age in a message is in milliseconds.
    const loads = results.map(({ at, ...rest }) => ({
      ...rest,
      age: Math.round((world.now() - at) / 1000),
    }));
    results = [];
    const message: MessageOf<'WorkerLoads'> = { kind: 'WorkerLoads', loads };
    for (const address of options.receivers()) world.send(address, message);
  }

  return every(world, () => micros(options.pollInterval), poll);
}

function silentLoad(id: string, at: number): PollResult {
  return { id, queued: 0, active: 0, kvUsed: 0, kvTotal: 0, part: '', silent: true, at };
}
