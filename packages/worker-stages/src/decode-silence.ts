/**
 * Finds services of which no decode worker answers. The list shows workers that have fallen silent like any others, until
 * the platform takes them for crashed; where all decode workers of a service are such, it serves nothing. One control
 * node asks one decode worker of a service now and then, and several, again and again, where it gave no answer. Only
 * services with prefill workers are asked about: nothing could be done for others.
 */
import type { ListedWorker } from '@tansypost/control-feed';
import type { World } from '@tansypost/inner-protocol';
import type { WorkerStageClient } from './ports.js';
import { workersOf } from './recovery-plan.js';

/** Where the workers are found, and how they are asked. */
export interface DecodeSilenceOptions {
  /** The newest list of workers. */
  readonly workers: () => readonly ListedWorker[];
  /** Names of the services that requests are sent to. */
  readonly served: () => readonly string[];
  /** Whether this node is the one that asks. */
  readonly isAsker: () => boolean;
  readonly report: WorkerStageClient['report'];
}

/** The silence of decode workers, as one control node sees it. */
export interface DecodeSilence {
  /** Asks where it is time to. */
  readonly look: () => void;
  /** The newest list, without the decode workers of services in which none answers. */
  readonly answeringWorkers: () => readonly ListedWorker[];
}

/** What is known of one service. */
interface Watch {
  /** When a decode worker answered last, or the service was first looked at. */
  heardAt: number;
  askAt: number;
  isAsking: boolean;
  /** None of those asked last gave an answer. */
  inDoubt: boolean;
  /** Whose turn it is. */
  turn: number;
  /** Who is asked beside: the one that answered last, or that is new on the list. */
  favourite: string;
  /** The decode workers that have been listed. */
  readonly known: Set<string>;
}

type Clock = Pick<World, 'now'>;

/** Microseconds without any answer after which a service counts as silent. */
const silentFor = 3_000_000;
const usualPause = 2_000_000;
const pauseInDoubt = 300_000;
/** Workers asked in turn at once where the favourite gave no answer. */
const askedInDoubt = 4;

/** Nothing known yet. */
export function createDecodeSilence(world: Clock, options: DecodeSilenceOptions): DecodeSilence {
  const watches = new Map<string, Watch>();

  function look(): void {
    if (!options.isAsker()) return watches.clear();
    const list = options.workers();
    const services = new Set(list.map((worker) => worker.service));
    for (const service of watches.keys()) if (!services.has(service)) watches.delete(service);
    for (const service of services) watch(service, list);
  }

  function watch(service: string, list: readonly ListedWorker[]): void {
    const { prefill, decode } = workersOf(list, service);
    if (prefill.length === 0 || decode.length === 0) return void watches.delete(service);
    const watched = watches.get(service) ?? firstWatch(world);
    watches.set(service, watched);
    welcome(world, watched, decode);
    if (watched.isAsking || world.now() < watched.askAt) return;
    if (options.served().includes(service)) void ask(world, options.report, watched, decode);
    else watches.set(service, firstWatch(world));
  }

  function isSilent({ inDoubt, heardAt }: Watch): boolean {
    return inDoubt && world.now() - heardAt >= silentFor;
  }

  function answeringWorkers(): readonly ListedWorker[] {
    const list = options.workers();
    const silent = new Set<string>();
    for (const [service, watched] of watches) if (isSilent(watched)) silent.add(service);
    if (silent.size === 0) return list;
    return list.filter((worker) => worker.part !== 'decode' || worker.leaving || !silent.has(worker.service));
  }

  return { look, answeringWorkers };
}

function firstWatch(world: Clock): Watch {
  const now = world.now();
  return {
    heardAt: now,
    askAt: now + usualPause,
    isAsking: false,
    inDoubt: false,
    turn: 0,
    favourite: '',
    known: new Set(),
  };
}

/** A worker that is new on the list is given time to answer, so that one that was just ordered is not taken for silent. */
function welcome(world: Clock, watch: Watch, decode: readonly ListedWorker[]): void {
  for (const { id } of decode) {
    if (watch.known.has(id)) continue;
    watch.known.add(id);
    watch.favourite = id;
    watch.heardAt = world.now();
  }
}

async function ask(
  world: Clock,
  report: WorkerStageClient['report'],
  watch: Watch,
  decode: readonly ListedWorker[],
): Promise<void> {
  watch.isAsking = true;
  const asked = nextInTurn(watch, decode);
  const reports = await Promise.all(asked.map((worker) => report(worker).catch(() => undefined)));
  const answered = asked.find((_worker, index) => reports[index] !== undefined);
  watch.inDoubt = answered === undefined;
  if (answered !== undefined) Object.assign(watch, { heardAt: world.now(), favourite: answered.id });
  watch.askAt = world.now() + (watch.inDoubt ? pauseInDoubt : usualPause);
  watch.isAsking = false;
}

function nextInTurn(watch: Watch, decode: readonly ListedWorker[]): ListedWorker[] {
  const favourite = decode.find((worker) => worker.id === watch.favourite);
  if (favourite !== undefined && !watch.inDoubt) return [favourite];
  const asked = new Set(favourite === undefined ? [] : [favourite]);
  const turns = Math.min(decode.length, askedInDoubt);
  for (let index = 0; index < turns; index += 1) asked.add(decode[(watch.turn + index) % decode.length]!);
  watch.turn += turns;
  return [...asked];
}
