/**
 * How busy the workers of a service are in each zone, from the list of workers and the loads that they report. A load of
 * 1 is that of workers without a spare moment (prefill) or a spare place (decode).
 */
import type { ListedWorker, WorkerLoad } from '@tansypost/control-feed';

/** The state of one service in one zone. */
export interface ZoneLoad {
  /** Workers on the list that do not leave. */
  readonly listed: number;
  /** Those of them whose load is known. */
  readonly reported: number;
  /** The load of the busier stage; undefined where too little is known. */
  readonly load: number | undefined;
}

/** Older reports say nothing of now; microseconds. */
const reportKeeps = 3_000_000;
/** The share of a stage's workers whose load must be known. */
const leastReported = 0.5;
/** What each prompt beyond one that waits adds to the load of a prefill worker, up to so many. */
const loadOfWaiting = 0.25;
const mostWaiting = 4;

type Stage = ListedWorker['part'];
const stages: readonly Stage[] = ['prefill', 'decode'];

/** The state of a service in each zone that has a worker of it on the list. */
export function zoneLoads(
  service: string,
  workers: readonly ListedWorker[],
  loads: ReadonlyMap<string, WorkerLoad>,
  now: number,
): ReadonlyMap<string, ZoneLoad> {
  const byZone = new Map<string, ListedWorker[]>();
  for (const worker of workers) {
    if (worker.service !== service) continue;
    const present = byZone.get(worker.zone) ?? [];
    byZone.set(worker.zone, present);
    if (!worker.leaving) present.push(worker);
  }
  return new Map([...byZone].map(([zone, present]) => [zone, zoneLoad(present, loads, now)]));
}

function zoneLoad(present: readonly ListedWorker[], loads: ReadonlyMap<string, WorkerLoad>, now: number): ZoneLoad {
  const known = present.filter((worker) => isKnown(loads.get(worker.id), now));
  const byStage = stages.map((stage) => stageLoad(stage, present, known, loads));
  const isWhole = known.length > 0 && !byStage.includes('unknown');
  const values = byStage.filter((value) => typeof value === 'number');
  const load = isWhole ? Math.max(...values) : undefined;
  return { listed: present.length, reported: known.length, load };
}

function isKnown(load: WorkerLoad | undefined, now: number): boolean {
  return load !== undefined && !load.silent && now - load.at <= reportKeeps;
}

function stageLoad(
  stage: Stage,
  present: readonly ListedWorker[],
  known: readonly ListedWorker[],
  loads: ReadonlyMap<string, WorkerLoad>,
): number | 'none' | 'unknown' {
  const total = present.filter((worker) => worker.part === stage).length;
  if (total === 0) return 'none';
  const reported = known.filter((worker) => worker.part === stage);
  if (reported.length < leastReported * total) return 'unknown';
  const loadOf = stage === 'prefill' ? prefillLoad : decodeLoad;
  const sum = reported.reduce((all, worker) => all + loadOf(loads.get(worker.id)!, worker.slots), 0);
  return sum / reported.length;
}

/** A worker that reads is busy whatever else waits; the share of busy workers is their use, however work is shared out. */
function prefillLoad({ queued, active }: WorkerLoad): number {
  const prompts = queued + active;
  return Math.min(1, prompts) + loadOfWaiting * Math.min(mostWaiting, Math.max(0, prompts - 2));
}

function decodeLoad({ queued, active, kvUsed, kvTotal }: WorkerLoad, slots: number): number {
  const places = slots > 0 ? (queued + active) / slots : 0;
  const memory = kvTotal > 0 ? kvUsed / kvTotal : 0;
  return Math.max(places, memory);
}
