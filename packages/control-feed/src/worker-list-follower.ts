/**
 * A router's list of workers. Control nodes send it, complete or as changes; if none has sent or confirmed it for a
 * while, the router fetches the list from the platform itself.
 */
import { runInBackground, type Address, type MessageOf, type World } from '@tansypost/inner-protocol';
import type { ControlNodeTable } from './control-node-table.js';
import { decodeListedWorker, workerListDigest, type ListedWorker } from './listed-worker.js';
import { createWorkerListView } from './worker-list-view.js';

/** Options of the follower. */
export interface WorkerListFollowerOptions {
  readonly nodes: ControlNodeTable;
  readonly fetchWorkerList: () => Promise<readonly ListedWorker[] | undefined>;
  readonly onChange: () => void;
  /** Requests the complete list from a control node. */
  readonly requestFullList: (address: Address) => void;
  /** Age of the newest list above which the router fetches the list itself, in microseconds. */
  readonly maxListAge: number;
}

/** The list of workers at one router. */
export interface WorkerListFollower {
  readonly handleList: (message: MessageOf<'WorkerList'>, from: Address) => void;
  /** Handles the digest and the age of a control node's list, from its heartbeat. */
  readonly confirmList: (digest: number, ageMs: number, from: Address) => void;
  readonly fetchIfStale: () => void;
  readonly workers: () => readonly ListedWorker[];
}

/** The router first fetches the list itself after one to three times this delay. */
const firstFetchDelayUs = 200_000;
/** Own fetches are one to two times this delay apart. */
const fetchDelayUs = 700_000;

/** Creates the follower of a starting router. */
export function createWorkerListFollower(world: World, options: WorkerListFollowerOptions): WorkerListFollower {
  const view = createWorkerListView();
  const { nodes } = options;
  let fetching = false;
  // A control node that is up sends its list within moments, which makes a fetch of the router's own unnecessary.
  let nextFetchAt = world.now() + firstFetchDelayUs * (1 + 2 * world.random());

  function handleList(message: MessageOf<'WorkerList'>, from: Address): void {
    const node = nodes.state(from);
    if (message.base !== 0 && message.base !== node.list) return options.requestFullList(from);
    const previous = message.base === 0 ? [] : (view.snapshotOf(from)?.workers ?? []);
    const byId = new Map(previous.map((worker) => [worker.id, worker]));
    for (const id of message.gone) byId.delete(id);
    for (const worker of message.workers) byId.set(worker.id, decodeListedWorker(worker));
    const workers = [...byId.values()];
    const matchesDigest = workerListDigest(workers) === message.digest;
    node.list = matchesDigest ? message.digest : 0;
    if (matchesDigest && view.addSnapshot(from, { at: world.now() - message.age * 1000, workers })) options.onChange();
  }

  function confirmList(digest: number, ageMs: number, from: Address): void {
    const isKnown = digest !== 0 && digest === nodes.state(from).list;
    if (isKnown && view.confirmSnapshot(from, world.now() - ageMs * 1000)) options.onChange();
  }

  function fetchIfStale(): void {
    const now = world.now();
    if (fetching || now < nextFetchAt || now - view.newestSnapshotAt() < options.maxListAge) return;
    fetching = true;
    nextFetchAt = now + fetchDelayUs + world.random() * fetchDelayUs;
    const fetched = options
      .fetchWorkerList()
      .catch(() => undefined)
      .then(onFetched);
    runInBackground(world.log, 'fetch of the worker list', fetched);
    function onFetched(workers: readonly ListedWorker[] | undefined): void {
      fetching = false;
      if (workers !== undefined && view.addSnapshot('', { at: now, workers })) options.onChange();
    }
  }

  return {
    handleList,
    confirmList,
    fetchIfStale,
    workers: () => view.workers(world.now()),
  };
}
