/**
 * A closed model of workers that are ordered by the zone: requests come at random, have their prompts read one after the
 * other at a prefill worker (queueing by pace), then hold a place at a decode worker; an ordered worker serves after the
 * boot time and is paid for by the second from the order on. Times are seconds.
 */
import type { ListedWorker, WorkerLoad } from '@tansypost/control-feed';
import { micros, createSeededRandom } from '@tansypost/inner-protocol';

/** What the model is built from. */
export interface FleetModelOptions {
  readonly zones: number;
  /** Workers of each zone at the start, and the bounds of orders. */
  readonly initialWorkers: number;
  readonly minWorkers: number;
  readonly maxWorkers: number;
  readonly bootTime: number;
  /** One worker in so many reads prompts. */
  readonly prefillShare: number;
  /** The mean time to read a prompt, and the shape of its log-normal spread. */
  readonly prefillTime: number;
  readonly prefillSpread: number;
  readonly decodeTime: number;
  readonly slots: number;
  /** The time to the first token within which a request is in time, and that after which it is given up. */
  readonly targetLatency: number;
  readonly deadline: number;
}

/** A day: requests a second of each zone, as a part of what keeps half of the first prefill workers busy, and lost zones. */
export interface DemandDay {
  readonly name: string;
  readonly length: number;
  /** The load that the prefill workers of the start would have in that zone. */
  readonly load: (at: number, zone: number) => number;
  /** Whether the workers of the zone are gone; its requests go to the others. */
  readonly isLost: (at: number, zone: number) => boolean;
}

/** Decides the number of workers of each zone; called twice a second with what a control node sees. */
export interface ScalePolicy {
  readonly name: string;
  readonly decide: (at: number, view: ObservedFleet) => readonly number[];
}

/** What a control node sees of the model. */
export interface ObservedFleet {
  readonly workers: readonly ListedWorker[];
  readonly loads: ReadonlyMap<string, WorkerLoad>;
}

/** How a day ended. */
export interface DayStatistics {
  readonly requests: number;
  readonly late: number;
  readonly failed: number;
  /** Paid for, with the time to boot. */
  readonly workerSeconds: number;
  readonly orders: number;
}

interface ModelWorker {
  readonly id: string;
  readonly zone: number;
  readonly part: ListedWorker['part'];
  readonly bornAt: number;
  readonly servesFrom: number;
  /** Prefill: when each prompt under way or waiting is read, in order. Decode: when each place is free again. */
  ends: number[];
  leaving: boolean;
}

interface Run {
  readonly shape: FleetModelOptions;
  readonly day: DemandDay;
  readonly random: () => number;
  workers: ModelWorker[];
  names: number;
  figures: { requests: number; late: number; failed: number; workerSeconds: number; orders: number };
}

const tick = 0.01;
const lookEvery = 0.5;
const reportEvery = 1;
/** Reports are so old when they come. */
const reportLag = 0.2;
/** Another zone's worker is taken where its wait is shorter by this. */
const otherZoneCost = 0.1;

/** Plays a day under a policy. */
export function playDay(shape: FleetModelOptions, day: DemandDay, policy: ScalePolicy, seed: number): DayStatistics {
  const random = createSeededRandom(seed);
  const figures = { requests: 0, late: 0, failed: 0, workerSeconds: 0, orders: 0 };
  const run: Run = { shape, day, random, workers: [], names: 0, figures };
  for (let zone = 0; zone < shape.zones; zone += 1) start(run, zone, shape.initialWorkers, -shape.bootTime);
  let reports: ReadonlyMap<string, WorkerLoad> = new Map();
  let numbers: readonly number[] = new Array<number>(shape.zones).fill(shape.initialWorkers);
  for (let step = 0; step * tick < day.length; step += 1) {
    const at = step * tick;
    arrivals(run, at);
    if (step % Math.round(reportEvery / tick) === 0) reports = reportsOf(run, at);
    if (step % Math.round(lookEvery / tick) === 0) {
      const wanted = policy.decide(at, { workers: listed(run, at), loads: reports });
      figures.orders += wanted.filter((number, zone) => number !== numbers[zone]).length;
      numbers = wanted;
      wanted.forEach((number, zone) => order(run, zone, number, at));
      settle(run, at);
    }
    figures.workerSeconds += run.workers.length * tick;
  }
  return figures;
}

function start(run: Run, zone: number, count: number, at: number): void {
  for (let n = 0; n < count; n += 1) {
    const ofZone = run.workers.filter((worker) => worker.zone === zone);
    const readers = ofZone.filter((worker) => worker.part === 'prefill').length;
    const part = readers < run.shape.prefillShare * (ofZone.length + 1) ? 'prefill' : 'decode';
    run.names += 1;
    const servesFrom = at + run.shape.bootTime;
    run.workers.push({ id: `w${run.names}`, zone, part, bornAt: at, servesFrom, ends: [], leaving: false });
  }
}

function order(run: Run, zone: number, number: number, at: number): void {
  const present = run.workers.filter((worker) => worker.zone === zone && !worker.leaving);
  if (number > present.length) return start(run, zone, number - present.length, at);
  // Those that boot go first, then those of the stage that is over its share.
  for (let extra = present.length - number; extra > 0; extra -= 1) leaveOne(run, zone);
}

function leaveOne(run: Run, zone: number): void {
  const present = run.workers.filter((worker) => worker.zone === zone && !worker.leaving);
  const readers = present.filter((worker) => worker.part === 'prefill').length;
  const part = readers > run.shape.prefillShare * present.length ? 'prefill' : 'decode';
  const last = present.filter((worker) => worker.part === part).at(-1) ?? present.at(-1)!;
  last.leaving = true;
}

/** Ends the workers that leave and have nothing under way. */
function settle(run: Run, at: number): void {
  run.workers = run.workers.filter((worker) => !worker.leaving || worker.ends.some((end) => end > at));
}

function serving(run: Run, at: number, part: ListedWorker['part']): ModelWorker[] {
  return run.workers.filter(
    (worker) => worker.part === part && !worker.leaving && worker.servesFrom <= at && !run.day.isLost(at, worker.zone),
  );
}

function arrivals(run: Run, at: number): void {
  const { shape, day } = run;
  const readers = shape.initialWorkers * shape.prefillShare;
  const byPart = { prefill: serving(run, at, 'prefill'), decode: serving(run, at, 'decode') };
  for (const worker of run.workers)
    if (worker.ends.length > 0 && worker.ends[0]! <= at) worker.ends = worker.ends.filter((end) => end > at);
  for (let zone = 0; zone < shape.zones; zone += 1) {
    const mean = ((day.load(at, zone) * readers) / shape.prefillTime) * tick;
    for (let left = poisson(run, mean); left > 0; left -= 1) serve(run, zone, at, byPart);
  }
}

function poisson(run: Run, mean: number): number {
  let product = run.random();
  let count = 0;
  for (const least = Math.exp(-mean); product > least; count += 1) product *= run.random();
  return count;
}

function readTimeOf({ shape, random }: Run): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return shape.prefillTime * Math.exp(shape.prefillSpread * normal - shape.prefillSpread ** 2 / 2);
}

/** Two workers drawn at random in its zone and one of all, of which that with the shortest queue as seen is taken. */
function pick(run: Run, zone: number, from: readonly ModelWorker[], wait: (worker: ModelWorker) => number) {
  const own = from.filter((worker) => worker.zone === zone);
  const drawn = [own, own, from].flatMap((group) => group[Math.floor(run.random() * group.length)] ?? []);
  const costs = drawn.map((worker) => wait(worker) + (worker.zone === zone ? 0 : otherZoneCost));
  return drawn[costs.indexOf(Math.min(...costs))];
}

function serve(
  run: Run,
  zone: number,
  at: number,
  byPart: { readonly prefill: readonly ModelWorker[]; readonly decode: readonly ModelWorker[] },
): void {
  const { shape, figures } = run;
  figures.requests += 1;
  function readQueue(worker: ModelWorker): number {
    return Math.max(0, (worker.ends.at(-1) ?? at) - at);
  }
  function placeWait(worker: ModelWorker): number {
    if (worker.ends.length < shape.slots) return 0;
    return [...worker.ends].sort((a, b) => a - b)[worker.ends.length - shape.slots]! - at;
  }
  const reader = pick(run, zone, byPart.prefill, readQueue);
  const maker = pick(run, zone, byPart.decode, placeWait);
  if (reader === undefined || maker === undefined) return void (figures.failed += 1);
  const read = readQueue(reader) + readTimeOf(run);
  const first = read + placeWait(maker);
  if (first > shape.deadline) return void (figures.failed += 1);
  reader.ends.push(at + read);
  maker.ends.push(at + first + shape.decodeTime);
  if (first > shape.targetLatency) figures.late += 1;
}

function listed(run: Run, at: number): ListedWorker[] {
  return run.workers
    .filter((worker) => worker.servesFrom <= at && !run.day.isLost(at, worker.zone))
    .map(({ id, zone, part, leaving }) => {
      const place = { address: `${id}:1`, zone: `z${zone}`, slots: run.shape.slots };
      return { id, service: 's', ...place, leaving, coldMs: 0, part };
    });
}

function reportsOf(run: Run, at: number): ReadonlyMap<string, WorkerLoad> {
  const loads = run.workers.map(({ id, part, ends }): [string, WorkerLoad] => {
    const underWay = ends.filter((end) => end > at).length;
    const active = Math.min(underWay, part === 'prefill' ? 1 : run.shape.slots);
    const figures = { queued: underWay - active, active, kvUsed: 0, kvTotal: 0 };
    return [id, { id, ...figures, part, silent: false, at: micros(Math.max(0, at - reportLag) * 1_000_000) }];
  });
  return new Map(loads);
}
