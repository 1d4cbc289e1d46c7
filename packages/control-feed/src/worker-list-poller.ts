/**
 * Polls the platform's worker list on a control node. Each poll has a cost, so one node polls often and the others
 * seldom; when the first node fails, the node that takes over its rank polls often. Changes are sent to followers at
 * once.
 */
import {
  every,
  micros,
  runInBackground,
  type Address,
  type Cancel,
  type MessageOf,
  type World,
} from '@tansypost/inner-protocol';
import { workerListDigest, isSameListing, type ListedWorker } from './listed-worker.js';

type WorkerList = MessageOf<'WorkerList'>;

/** Options of the poller; intervals are in microseconds. */
export interface WorkerListPollerOptions {
  readonly fetchWorkerList: () => Promise<readonly ListedWorker[] | undefined>;
  /** This node's index among the live ones; the first, 0, polls often. */
  readonly rank: () => number;
  readonly listPollInterval?: number;
  /** Interval of all nodes but the first. */
  readonly standbyListPollInterval?: number;
  readonly followers: () => readonly Address[];
}

/** The worker list as last polled. */
export interface WorkerListPoller {
  readonly workers: () => readonly ListedWorker[];
  readonly digest: () => number;
  readonly ageMs: () => number;
  /** The message with the complete list. */
  readonly fullList: () => WorkerList;
  readonly stop: Cancel;
}

const defaultPollIntervalUs = 1_000_000;
const standbyFactor = 3;
const tickInterval = micros(250_000);
/** A poll due within this time is made at once, since the next tick would come up to a tick interval too late. */
const pollToleranceUs = 50_000;

/** Starts to poll. */
export function createWorkerListPoller(world: World, options: WorkerListPollerOptions): WorkerListPoller {
  let list: readonly ListedWorker[] = [];
  let digest = 0;
  let listedAt = 0;
  let polling = false;
  let lastPollAt = -Infinity;

  function ageMs(): number {
    return Math.round((world.now() - listedAt) / 1000);
  }

  function pollInterval(): number {
    const interval = options.listPollInterval ?? defaultPollIntervalUs;
    return options.rank() === 0 ? interval : (options.standbyListPollInterval ?? standbyFactor * interval);
  }

  function tick(): void {
    const now = world.now();
    if (polling || now < lastPollAt + pollInterval() - pollToleranceUs) return;
    polling = true;
    lastPollAt = now;
    const fetched = options
      .fetchWorkerList()
      .catch(() => undefined)
      .then(onFetched);
    runInBackground(world.log, 'fetch of the worker list', fetched);
    function onFetched(workers: readonly ListedWorker[] | undefined): void {
      polling = false;
      if (workers !== undefined) update(workers, now);
    }
  }

  function update(workers: readonly ListedWorker[], at: number): void {
    const previous = list;
    const base = digest;
    list = workers;
    digest = workerListDigest(workers);
    listedAt = at;
    if (digest === base) return;
    const message = base === 0 ? fullList() : difference(previous, base);
    for (const address of options.followers()) world.send(address, message);
  }

  function fullList(): WorkerList {
    return { kind: 'WorkerList', base: 0, digest, age: ageMs(), workers: [...list], gone: [] };
  }

  function difference(previous: readonly ListedWorker[], base: number): WorkerList {
    const previousById = new Map(previous.map((worker) => [worker.id, worker]));
    const currentIds = new Set(list.map((worker) => worker.id));
    return {
      kind: 'WorkerList',
      base,
      digest,
      age: ageMs(),
      workers: list.filter((worker) => !isSameListing(previousById.get(worker.id), worker)),
      gone: [...previousById.keys()].filter((id) => !currentIds.has(id)),
    };
  }

  tick();
  const stop = every(world, () => tickInterval, tick);
  return { workers: () => list, digest: () => digest, ageMs, fullList, stop };
}
