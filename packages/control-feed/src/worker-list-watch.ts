/**
 * The control node's looks at the list of workers. One node looks often, the others now and then, as each look is
 * priced; a node that the first one's rank falls to looks often from then on. What has changed is told at once.
 */
import { every, micros, type Address, type Cancel, type MessageOf, type World } from '@tansypost/inner-protocol';
import { workerListDigest, isSameListing, type ListedWorker } from './listed-worker.js';

type WorkerList = MessageOf<'WorkerList'>;

export interface WorkerListPollerOptions {
  readonly fetchWorkerList: () => Promise<readonly ListedWorker[] | undefined>;
  /** This node's place among the live ones; the first looks often. */
  readonly rank: () => number;
  readonly listPollInterval?: number;
  readonly standbyListPollInterval?: number;
  readonly followers: () => readonly Address[];
}

export interface WorkerListPoller {
  readonly workers: () => readonly ListedWorker[];
  readonly digest: () => number;
  readonly ageMs: () => number;
  readonly whole: () => WorkerList;
  readonly stop: Cancel;
}

const defaultLookEvery = 1_000_000;
const seldomFactor = 3;
const tickEvery = micros(250_000);
/** A look that is due so soon is made at once, so that ticks do not put it off by a whole period. */
const lookAhead = 50_000;

export function createWorkerListPoller(world: World, options: WorkerListPollerOptions): WorkerListPoller {
  let list: readonly ListedWorker[] = [];
  let digest = 0;
  let lookedAt = 0;
  let looking = false;
  let askedAt = -Infinity;

  function ageMs(): number {
    return Math.round((world.now() - lookedAt) / 1000);
  }

  function period(): number {
    const often = options.listPollInterval ?? defaultLookEvery;
    return options.rank() === 0 ? often : (options.standbyListPollInterval ?? seldomFactor * often);
  }

  function tick(): void {
    const now = world.now();
    if (looking || now < askedAt + period() - lookAhead) return;
    looking = true;
    askedAt = now;
    options.fetchWorkerList().then(looked, () => looked(undefined));
    function looked(workers: readonly ListedWorker[] | undefined): void {
      looking = false;
      if (workers !== undefined) take(workers, now);
    }
  }

  function take(workers: readonly ListedWorker[], at: number): void {
    const before = list;
    const base = digest;
    list = workers;
    digest = workerListDigest(workers);
    lookedAt = at;
    if (digest === base) return;
    const told = base === 0 ? whole() : difference(before, base);
    for (const address of options.followers()) world.send(address, told);
  }

  function whole(): WorkerList {
    return { kind: 'WorkerList', base: 0, digest, age: ageMs(), workers: [...list], gone: [] };
  }

  function difference(before: readonly ListedWorker[], base: number): WorkerList {
    const known = new Map(before.map((worker) => [worker.id, worker]));
    const present = new Set(list.map((worker) => worker.id));
    return {
      kind: 'WorkerList',
      base,
      digest,
      age: ageMs(),
      workers: list.filter((worker) => !isSameListing(known.get(worker.id), worker)),
      gone: [...known.keys()].filter((id) => !present.has(id)),
    };
  }

  tick();
  const stop = every(world, () => tickEvery, tick);
  return { workers: () => list, digest: () => digest, ageMs, whole, stop };
}
