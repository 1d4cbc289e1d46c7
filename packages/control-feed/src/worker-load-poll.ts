/** The control node's questions to workers for their loads: each worker is asked by one of the live nodes. */
import { every, micros, type Address, type Cancel, type MessageOf, type World } from '@tansypost/inner-protocol';
import type { ListedWorker } from './listed-worker.js';
import type { WorkerLoad } from './worker-loads.js';

/** What a worker says of itself. */
export type ReportedLoad = Omit<WorkerLoad, 'at' | 'silent'>;

export interface WorkerLoadPollOptions {
  readonly fetchWorkerLoad: (worker: ListedWorker) => Promise<ReportedLoad | undefined>;
  readonly period: number;
  readonly workers: () => readonly ListedWorker[];
  /** This node's place among the live ones, and how many these are; undefined while it is none of them. */
  readonly share: () => { readonly rank: number; readonly nodes: number } | undefined;
  readonly followers: () => readonly Address[];
}

type TimedLoad = Omit<WorkerLoad, 'at'> & { readonly at: number };

export function startWorkerLoadPoll(world: World, options: WorkerLoadPollOptions): Cancel {
  let outstanding = 0;
  let answers: TimedLoad[] = [];

  function poll(): void {
    const share = options.share();
    if (share === undefined || outstanding > 0) return;
    const mine = options.workers().filter((_, index) => index % Math.max(1, share.nodes) === share.rank);
    outstanding = mine.length;
    for (const worker of mine) ask(worker);
  }

  function ask(worker: ListedWorker): void {
    const at = world.now();
    options.fetchWorkerLoad(worker).then(
      (load) => answered(load === undefined ? noAnswer(worker.id, at) : { ...load, silent: false, at }),
      () => answered(noAnswer(worker.id, at)),
    );
  }

  function answered(load: TimedLoad): void {
    answers.push(load);
    outstanding -= 1;
    if (outstanding > 0) return;
    const loads = answers.map(({ at, ...rest }) => ({ ...rest, age: Math.round((world.now() - at) / 1000) }));
    answers = [];
    const told: MessageOf<'WorkerLoads'> = { kind: 'WorkerLoads', loads };
    for (const address of options.followers()) world.send(address, told);
  }

  return every(world, () => micros(options.period), poll);
}

function noAnswer(id: string, at: number): TimedLoad {
  return { id, queued: 0, active: 0, kvUsed: 0, kvTotal: 0, part: '', silent: true, at };
}
