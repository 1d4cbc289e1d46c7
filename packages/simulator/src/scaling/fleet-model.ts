/**
 * A closed model of a fleet whose workers are ordered per zone. Requests arrive at random, are prefilled one after the
 * other at a prefill worker (queueing by service time), then occupy a slot of a decode worker. A worker that was ordered
 * serves after the boot time and is paid for by the second from the order on. All times are in seconds.
 */
import type { ListedWorker, WorkerLoad } from '@tansypost/control-feed';
import { micros, createSeededRandom } from '@tansypost/inner-protocol';

/** The size and service times of the modelled fleet. */
export interface FleetModelOptions {
  readonly zones: number;
  /** Workers of each zone at the start, and the bounds of scale orders. */
  readonly initialWorkers: number;
  readonly minWorkers: number;
  readonly maxWorkers: number;
  readonly bootTime: number;
  /** The fraction of workers that are prefill workers. */
  readonly prefillShare: number;
  /** The mean time to prefill a prompt, and the sigma of its log-normal distribution. */
  readonly prefillTime: number;
  readonly prefillSpread: number;
  readonly decodeTime: number;
  readonly slots: number;
  /** The time to first token above which a request is late, and that above which it is rejected. */
  readonly targetLatency: number;
  readonly deadline: number;
}

/** The demand of one simulated period: the load of each zone over time, and the zones that are lost. */
export interface DemandDay {
  readonly name: string;
  readonly length: number;
  /** The utilization that the requests of the zone would cause at its initial prefill workers. */
  readonly load: (at: number, zone: number) => number;
  /** Whether the workers of the zone are lost; its requests then go to the other zones. */
  readonly isLost: (at: number, zone: number) => boolean;
}

/** Decides the worker count of each zone; called every `decisionInterval` with the state that a control node observes. */
export interface ScalePolicy {
  readonly name: string;
  readonly decide: (at: number, view: ObservedFleet) => readonly number[];
}

/** The state of the model as a control node observes it. */
export interface ObservedFleet {
  readonly workers: readonly ListedWorker[];
  readonly loads: ReadonlyMap<string, WorkerLoad>;
}

/** The totals of one simulated day. */
export interface DayStatistics {
  readonly requests: number;
  readonly late: number;
  readonly failed: number;
  /** Paid worker time, including boot time. */
  readonly workerSeconds: number;
  readonly orders: number;
}

interface ModelWorker {
  readonly id: string;
  readonly zone: number;
  readonly part: ListedWorker['part'];
  readonly orderedAt: number;
  readonly servesFrom: number;
  /** Prefill: the end times of the running and queued prefills, in order. Decode: when each occupied slot becomes free. */
  ends: number[];
  leaving: boolean;
}

interface Run {
  readonly options: FleetModelOptions;
  readonly day: DemandDay;
  readonly random: () => number;
  workers: ModelWorker[];
  idCount: number;
  statistics: { requests: number; late: number; failed: number; workerSeconds: number; orders: number };
}

const tickLength = 0.01;
const decisionInterval = 0.5;
const reportInterval = 1;
/** The age of a load report on arrival. */
const reportLag = 0.2;
/** A worker of another zone is chosen only if its wait is shorter by this much. */
const crossZonePenalty = 0.1;

/** Simulates a day under a policy. */
export function playDay(options: FleetModelOptions, day: DemandDay, policy: ScalePolicy, seed: number): DayStatistics {
  const random = createSeededRandom(seed);
  const statistics = { requests: 0, late: 0, failed: 0, workerSeconds: 0, orders: 0 };
  const run: Run = { options, day, random, workers: [], idCount: 0, statistics };
  for (let zone = 0; zone < options.zones; zone += 1)
    startWorkers(run, zone, options.initialWorkers, -options.bootTime);
  let reports: ReadonlyMap<string, WorkerLoad> = new Map();
  let targets: readonly number[] = new Array<number>(options.zones).fill(options.initialWorkers);
  for (let step = 0; step * tickLength < day.length; step += 1) {
    const at = step * tickLength;
    handleArrivals(run, at);
    if (step % Math.round(reportInterval / tickLength) === 0) reports = loadReports(run, at);
    if (step % Math.round(decisionInterval / tickLength) === 0) {
      const wanted = policy.decide(at, { workers: workerList(run, at), loads: reports });
      statistics.orders += wanted.filter((count, zone) => count !== targets[zone]).length;
      targets = wanted;
      wanted.forEach((count, zone) => applyOrder(run, zone, count, at));
      removeIdleLeaving(run, at);
    }
    statistics.workerSeconds += run.workers.length * tickLength;
  }
  return statistics;
}

function startWorkers(run: Run, zone: number, count: number, at: number): void {
  for (let n = 0; n < count; n += 1) {
    const ofZone = run.workers.filter((worker) => worker.zone === zone);
    const prefillWorkers = ofZone.filter((worker) => worker.part === 'prefill').length;
    const part = prefillWorkers < run.options.prefillShare * (ofZone.length + 1) ? 'prefill' : 'decode';
    run.idCount += 1;
    const servesFrom = at + run.options.bootTime;
    run.workers.push({ id: `w${run.idCount}`, zone, part, orderedAt: at, servesFrom, ends: [], leaving: false });
  }
}

function applyOrder(run: Run, zone: number, count: number, at: number): void {
  const present = run.workers.filter((worker) => worker.zone === zone && !worker.leaving);
  if (count > present.length) return startWorkers(run, zone, count - present.length, at);
  // The newest worker of the stage that exceeds its share leaves first, so booting workers leave before serving ones.
  for (let extra = present.length - count; extra > 0; extra -= 1) drainOne(run, zone);
}

function drainOne(run: Run, zone: number): void {
  const present = run.workers.filter((worker) => worker.zone === zone && !worker.leaving);
  const prefillWorkers = present.filter((worker) => worker.part === 'prefill').length;
  const part = prefillWorkers > run.options.prefillShare * present.length ? 'prefill' : 'decode';
  const last = present.filter((worker) => worker.part === part).at(-1) ?? present.at(-1)!;
  last.leaving = true;
}

/** Removes the leaving workers without requests in progress. */
function removeIdleLeaving(run: Run, at: number): void {
  run.workers = run.workers.filter((worker) => !worker.leaving || worker.ends.some((end) => end > at));
}

function serving(run: Run, at: number, part: ListedWorker['part']): ModelWorker[] {
  return run.workers.filter(
    (worker) => worker.part === part && !worker.leaving && worker.servesFrom <= at && !run.day.isLost(at, worker.zone),
  );
}

function handleArrivals(run: Run, at: number): void {
  const { options, day } = run;
  const prefillWorkers = options.initialWorkers * options.prefillShare;
  const byStage = { prefill: serving(run, at, 'prefill'), decode: serving(run, at, 'decode') };
  for (const worker of run.workers)
    if (worker.ends.length > 0 && worker.ends[0]! <= at) worker.ends = worker.ends.filter((end) => end > at);
  for (let zone = 0; zone < options.zones; zone += 1) {
    const mean = ((day.load(at, zone) * prefillWorkers) / options.prefillTime) * tickLength;
    for (let remaining = poisson(run, mean); remaining > 0; remaining -= 1) handleRequest(run, zone, at, byStage);
  }
}

function poisson(run: Run, mean: number): number {
  let product = run.random();
  let count = 0;
  for (const threshold = Math.exp(-mean); product > threshold; count += 1) product *= run.random();
  return count;
}

function drawPrefillTime({ options, random }: Run): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return options.prefillTime * Math.exp(options.prefillSpread * normal - options.prefillSpread ** 2 / 2);
}

/** Draws two workers of the own zone and one of all zones, and picks the one with the shortest wait. */
function pickWorker(run: Run, zone: number, from: readonly ModelWorker[], wait: (worker: ModelWorker) => number) {
  const sameZone = from.filter((worker) => worker.zone === zone);
  const drawn = [sameZone, sameZone, from].flatMap((group) => group[Math.floor(run.random() * group.length)] ?? []);
  const costs = drawn.map((worker) => wait(worker) + (worker.zone === zone ? 0 : crossZonePenalty));
  return drawn[costs.indexOf(Math.min(...costs))];
}

function handleRequest(
  run: Run,
  zone: number,
  at: number,
  byStage: { readonly prefill: readonly ModelWorker[]; readonly decode: readonly ModelWorker[] },
): void {
  const { options, statistics } = run;
  statistics.requests += 1;
  function prefillWait(worker: ModelWorker): number {
    return Math.max(0, (worker.ends.at(-1) ?? at) - at);
  }
  function slotWait(worker: ModelWorker): number {
    if (worker.ends.length < options.slots) return 0;
    return [...worker.ends].sort((a, b) => a - b)[worker.ends.length - options.slots]! - at;
  }
  const prefillWorker = pickWorker(run, zone, byStage.prefill, prefillWait);
  const decodeWorker = pickWorker(run, zone, byStage.decode, slotWait);
  if (prefillWorker === undefined || decodeWorker === undefined) return void (statistics.failed += 1);
  const prefilledAfter = prefillWait(prefillWorker) + drawPrefillTime(run);
  const timeToFirstToken = prefilledAfter + slotWait(decodeWorker);
  if (timeToFirstToken > options.deadline) return void (statistics.failed += 1);
  prefillWorker.ends.push(at + prefilledAfter);
  decodeWorker.ends.push(at + timeToFirstToken + options.decodeTime);
  if (timeToFirstToken > options.targetLatency) statistics.late += 1;
}

function workerList(run: Run, at: number): ListedWorker[] {
  return run.workers
    .filter((worker) => worker.servesFrom <= at && !run.day.isLost(at, worker.zone))
    .map(({ id, zone, part, leaving }) => {
      const location = { address: `${id}:1`, zone: `z${zone}`, slots: run.options.slots };
      return { id, service: 's', ...location, leaving, coldMs: 0, part };
    });
}

function loadReports(run: Run, at: number): ReadonlyMap<string, WorkerLoad> {
  const loads = run.workers.map(({ id, part, ends }): [string, WorkerLoad] => {
    const inProgress = ends.filter((end) => end > at).length;
    const active = Math.min(inProgress, part === 'prefill' ? 1 : run.options.slots);
    const counts = { queued: inProgress - active, active, kvUsed: 0, kvTotal: 0 };
    return [id, { id, ...counts, part, silent: false, at: micros(Math.max(0, at - reportLag) * 1_000_000) }];
  });
  return new Map(loads);
}
