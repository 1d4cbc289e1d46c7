/**
 * The list of workers at a router: told by control nodes, whole or as a difference, and looked at by the router itself
 * when nobody has told of it for a while.
 */
import type { Address, MessageOf, World } from '@tansypost/inner-protocol';
import type { ControlNodeTable } from './control-node-table.js';
import { decodeListedWorker, workerListDigest, type ListedWorker } from './listed-worker.js';
import { createWorkerListView } from './worker-book.js';

export interface WorkerListFollowerOptions {
  readonly nodes: ControlNodeTable;
  readonly fetchWorkerList: () => Promise<readonly ListedWorker[] | undefined>;
  readonly onChange: () => void;
  /** Asks a control node for its whole list. */
  readonly requestWholeList: (address: Address) => void;
  /** How old the newest look at the list may get before the router looks itself. */
  readonly maxListAge: number;
}

export interface WorkerListFollower {
  readonly handleList: (told: MessageOf<'WorkerList'>, from: Address) => void;
  /** A control node says that its list is as old as that, and the same as before if the digest is. */
  readonly confirmList: (digest: number, ageMs: number, from: Address) => void;
  readonly fetchIfStale: () => void;
  readonly workers: () => readonly ListedWorker[];
}

const firstLook = 200_000;
const ownLookAgain = 700_000;

export function createWorkerListFollower(world: World, options: WorkerListFollowerOptions): WorkerListFollower {
  const book = createWorkerListView();
  const { nodes } = options;
  let looking = false;
  // A control node that is up tells within moments; only then is it worth a look of its own.
  let nextLookAt = world.now() + firstLook * (1 + 2 * world.random());

  function take(told: MessageOf<'WorkerList'>, from: Address): void {
    const node = nodes.state(from);
    if (told.base !== 0 && told.base !== node.list) return options.requestWholeList(from);
    const before = told.base === 0 ? [] : (book.snapshotOf(from)?.workers ?? []);
    const byId = new Map(before.map((worker) => [worker.id, worker]));
    for (const id of told.gone) byId.delete(id);
    for (const worker of told.workers) byId.set(worker.id, decodeListedWorker(worker));
    const workers = [...byId.values()];
    const isWhole = workerListDigest(workers) === told.digest;
    node.list = isWhole ? told.digest : 0;
    if (isWhole && book.addSnapshot(from, { at: world.now() - told.age * 1000, workers })) options.onChange();
  }

  function confirm(digest: number, ageMs: number, from: Address): void {
    const isKnown = digest !== 0 && digest === nodes.state(from).list;
    if (isKnown && book.confirmSnapshot(from, world.now() - ageMs * 1000)) options.onChange();
  }

  function lookIfStale(): void {
    const now = world.now();
    if (looking || now < nextLookAt || now - book.newestSnapshotAt() < options.maxListAge) return;
    looking = true;
    nextLookAt = now + ownLookAgain + world.random() * ownLookAgain;
    options.fetchWorkerList().then(looked, () => looked(undefined));
    function looked(workers: readonly ListedWorker[] | undefined): void {
      looking = false;
      if (workers !== undefined && book.addSnapshot('', { at: now, workers })) options.onChange();
    }
  }

  return {
    handleList: take,
    confirmList: confirm,
    fetchIfStale: lookIfStale,
    workers: () => book.workers(world.now()),
  };
}
