/**
 * The load of a service's workers in each zone, from the worker list and the loads that the workers report. A load of 1
 * means that the workers have no idle time (prefill) or no free slot (decode).
 */
import type { ListedWorker, WorkerLoad } from '@tansypost/control-feed';

/** The workers of one service in one zone, and their load. */
export interface ZoneLoad {
  /** Number of listed workers that are not leaving. */
  readonly listed: number;
  /** Number of those whose load is known. */
  readonly reported: number;
  /** The load of the busier stage; undefined if too few workers have reported. */
  readonly load: number | undefined;
}

/** Older reports are ignored as outdated. */
const maxReportAgeUs = 3_000_000;
/** The minimum share of a stage's workers whose load must be known. */
const minReportedShare = 0.5;
/** Load that each queued prompt beyond the first adds to a prefill worker, for up to `maxQueuedPrompts` of them. */
const loadPerQueuedPrompt = 0.25;
const maxQueuedPrompts = 4;

type Stage = ListedWorker['part'];
const stages: readonly Stage[] = ['prefill', 'decode'];

/** The load of a service in each zone in which it has a listed worker. */
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
  const isSufficient = known.length > 0 && !byStage.includes('unknown');
  const values = byStage.filter((value) => typeof value === 'number');
  const load = isSufficient ? Math.max(...values) : undefined;
  return { listed: present.length, reported: known.length, load };
}

function isKnown(load: WorkerLoad | undefined, now: number): boolean {
  return load !== undefined && !load.silent && now - load.at <= maxReportAgeUs;
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
  if (reported.length < minReportedShare * total) return 'unknown';
  const loadOf = stage === 'prefill' ? prefillLoad : decodeLoad;
  const sum = reported.reduce((all, worker) => all + loadOf(loads.get(worker.id)!, worker.slots), 0);
  return sum / reported.length;
}

/**
 * A prefill worker with a prompt counts as fully utilized. The share of such workers is then the utilization of the stage,
 * however evenly the work is distributed.
 */
function prefillLoad({ queued, active }: WorkerLoad): number {
  const prompts = queued + active;
  return Math.min(1, prompts) + loadPerQueuedPrompt * Math.min(maxQueuedPrompts, Math.max(0, prompts - 2));
}

function decodeLoad({ queued, active, kvUsed, kvTotal }: WorkerLoad, slots: number): number {
  const slotUse = slots > 0 ? (queued + active) / slots : 0;
  const kvCacheUse = kvTotal > 0 ? kvUsed / kvTotal : 0;
  return Math.max(slotUse, kvCacheUse);
}
