/**
 * The list of workers at a router: told by control nodes, whole or as a difference, and looked at by the router itself
 * when nobody has told of it for a while.
 */
import type { Address, MessageOf, World } from '@tansypost/inner-protocol';
import type { ControlNodeTable } from './control-node-table.js';
import { fromWire, listDigest, type ListedWorker } from './listed-worker.js';
import { createWorkerBook } from './worker-book.js';

export interface WorkerListFollowerOptions {
  readonly nodes: ControlNodeTable;
  readonly fetchList: () => Promise<readonly ListedWorker[] | undefined>;
  readonly changed: () => void;
  /** Asks a control node for its whole list. */
  readonly askAgain: (address: Address) => void;
  /** How old the newest look at the list may get before the router looks itself. */
  readonly patience: number;
}

export interface WorkerListFollower {
  readonly take: (told: MessageOf<'WorkerList'>, from: Address) => void;
  /** A control node says that its list is as old as that, and the same as before if the digest is. */
  readonly confirm: (digest: number, ageMs: number, from: Address) => void;
  readonly lookIfStale: () => void;
  readonly workers: () => readonly ListedWorker[];
}

const firstLook = 200_000;
const ownLookAgain = 700_000;

export function createWorkerListFollower(world: World, options: WorkerListFollowerOptions): WorkerListFollower {
  const book = createWorkerBook();
  const { nodes } = options;
  let looking = false;
  // A control node that is up tells within moments; only then is it worth a look of its own.
  let nextLookAt = world.now() + firstLook * (1 + 2 * world.random());

  function take(told: MessageOf<'WorkerList'>, from: Address): void {
    const node = nodes.state(from);
    if (told.base !== 0 && told.base !== node.list) return options.askAgain(from);
    const before = told.base === 0 ? [] : (book.lookOf(from)?.workers ?? []);
    const byId = new Map(before.map((worker) => [worker.id, worker]));
    for (const id of told.gone) byId.delete(id);
    for (const worker of told.workers) byId.set(worker.id, fromWire(worker));
    const workers = [...byId.values()];
    const isWhole = listDigest(workers) === told.digest;
    node.list = isWhole ? told.digest : 0;
    if (isWhole && book.look(from, { at: world.now() - told.age * 1000, workers })) options.changed();
  }

  function confirm(digest: number, ageMs: number, from: Address): void {
    const isKnown = digest !== 0 && digest === nodes.state(from).list;
    if (isKnown && book.again(from, world.now() - ageMs * 1000)) options.changed();
  }

  function lookIfStale(): void {
    const now = world.now();
    if (looking || now < nextLookAt || now - book.newest() < options.patience) return;
    looking = true;
    nextLookAt = now + ownLookAgain + world.random() * ownLookAgain;
    options.fetchList().then(looked, () => looked(undefined));
    function looked(workers: readonly ListedWorker[] | undefined): void {
      looking = false;
      if (workers !== undefined && book.look('', { at: now, workers })) options.changed();
    }
  }

  return { take, confirm, lookIfStale, workers: () => book.workers(world.now()) };
}
