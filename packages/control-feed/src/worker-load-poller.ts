/** Polls the loads of workers on a control node; the workers are divided among the live control nodes. */
import { every, micros, type Address, type Cancel, type MessageOf, type World } from '@tansypost/inner-protocol';
import type { ListedWorker } from './listed-worker.js';
import type { WorkerLoad } from './worker-loads.js';

/** The load that a worker reports of itself. */
export type ReportedLoad = Omit<WorkerLoad, 'at' | 'silent'>;

/** Options of the poller. */
export interface WorkerLoadPollerOptions {
  readonly fetchWorkerLoad: (worker: ListedWorker) => Promise<ReportedLoad | undefined>;
  /** In microseconds. */
  readonly pollInterval: number;
  readonly workers: () => readonly ListedWorker[];
  /** This node's index among the live ones, and their number; undefined while this node isn't one of them. */
  readonly share: () => { readonly rank: number; readonly nodes: number } | undefined;
  readonly followers: () => readonly Address[];
}

type TimedLoad = Omit<WorkerLoad, 'at'> & { readonly at: number };

/** Polls until the returned function is called. A round starts only after the answers of the last one. */
export function startWorkerLoadPoller(world: World, options: WorkerLoadPollerOptions): Cancel {
  let outstanding = 0;
  let results: TimedLoad[] = [];

  function poll(): void {
    const share = options.share();
    if (share === undefined || outstanding > 0) return;
    const workers = options.workers().filter((_, index) => index % Math.max(1, share.nodes) === share.rank);
    outstanding = workers.length;
    for (const worker of workers) pollWorker(worker);
  }

  function pollWorker(worker: ListedWorker): void {
    const at = world.now();
    options.fetchWorkerLoad(worker).then(
      (load) => addResult(load === undefined ? noAnswer(worker.id, at) : { ...load, silent: false, at }),
      () => addResult(noAnswer(worker.id, at)),
    );
  }

  function addResult(load: TimedLoad): void {
    results.push(load);
    outstanding -= 1;
    if (outstanding > 0) return;
    const loads = results.map(({ at, ...rest }) => ({ ...rest, age: Math.round((world.now() - at) / 1000) }));
    results = [];
    const message: MessageOf<'WorkerLoads'> = { kind: 'WorkerLoads', loads };
    for (const address of options.followers()) world.send(address, message);
  }

  return every(world, () => micros(options.pollInterval), poll);
}

function noAnswer(id: string, at: number): TimedLoad {
  return { id, queued: 0, active: 0, kvUsed: 0, kvTotal: 0, part: '', silent: true, at };
}
