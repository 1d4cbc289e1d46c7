/**
 * The workers that exist, merged from several sources whose snapshots of the platform's list differ in age. The newest
 * snapshot decides which workers exist. A worker that any snapshot has shown as leaving stays leaving under its id. A
 * worker that the newest snapshot no longer showed is hidden until a snapshot well after that one shows it again, since
 * older snapshots may still contain it.
 */
import type { ListedWorker } from './listed-worker.js';

/** The worker list as fetched by one source. */
export interface WorkerListSnapshot {
  /** When the list was fetched, on the local clock, in microseconds. */
  readonly at: number;
  readonly workers: readonly ListedWorker[];
}

/** The merged worker list. Times are in microseconds of the local clock. */
export interface WorkerListView {
  /** Adds a source's snapshot; returns whether the merged list changed. */
  readonly addSnapshot: (source: string, snapshot: WorkerListSnapshot) => boolean;
  /** The source has fetched the same list again at that time; returns whether the merged list changed. */
  readonly confirmSnapshot: (source: string, at: number) => boolean;
  readonly snapshotOf: (source: string) => WorkerListSnapshot | undefined;
  /** When the newest snapshot was fetched. */
  readonly newestSnapshotAt: () => number;
  readonly workers: (now: number) => readonly ListedWorker[];
}

/** How long after a worker has vanished a snapshot must be fetched to show it again. */
const reappearanceDelayUs = 1_500_000;
const retentionUs = 120_000_000;
/** How often the remaining warm-up times of workers are recomputed. */
const coldUpdateIntervalUs = 500_000;

/** Creates an empty view. */
export function createWorkerListView(): WorkerListView {
  const snapshots = new Map<string, WorkerListSnapshot>();
  const leavingAt = new Map<string, number>();
  const vanishedAt = new Map<string, number>();
  let list: readonly ListedWorker[] = [];
  let listAt = -Infinity;
  let current: readonly ListedWorker[] = [];
  let currentAt = -Infinity;
  let hasColdWorkers = false;

  /** Recomputes the merged list and returns whether it changed. */
  function merge(): boolean {
    let newest: WorkerListSnapshot | undefined;
    for (const snapshot of snapshots.values()) {
      if (newest === undefined || snapshot.at > newest.at) newest = snapshot;
      for (const worker of snapshot.workers) if (worker.leaving) leavingAt.set(worker.id, snapshot.at);
    }
    if (newest === undefined) return false;
    const at = newest.at;
    for (const [source, snapshot] of snapshots) if (at - snapshot.at > retentionUs) snapshots.delete(source);
    const newestIds = new Set(newest.workers.map((worker) => worker.id));
    for (const worker of list) if (!newestIds.has(worker.id)) vanishedAt.set(worker.id, at);
    for (const times of [leavingAt, vanishedAt])
      for (const [id, time] of times) if (at - time > retentionUs) times.delete(id);
    const next = newest.workers
      .filter((worker) => at > (vanishedAt.get(worker.id) ?? -Infinity) + reappearanceDelayUs)
      .map((worker) => (leavingAt.has(worker.id) && !worker.leaving ? { ...worker, leaving: true } : worker))
      .sort((a, b) => (a.id < b.id ? -1 : 1));
    const changed = next.length !== list.length || next.some((worker, i) => !isSame(worker, list[i]!));
    list = next;
    listAt = at;
    hasColdWorkers = next.some((worker) => worker.coldMs > 0);
    if (changed || hasColdWorkers) currentAt = -Infinity;
    return changed;
  }

  /** Compares all fields but the remaining warm-up time. */
  function isSame(a: ListedWorker, b: ListedWorker): boolean {
    return (
      a.id === b.id &&
      a.leaving === b.leaving &&
      a.part === b.part &&
      a.address === b.address &&
      a.service === b.service &&
      a.slots === b.slots &&
      a.zone === b.zone
    );
  }

  return {
    addSnapshot: (source, snapshot) => {
      const previous = snapshots.get(source);
      if (previous !== undefined && previous.at > snapshot.at) return false;
      snapshots.set(source, snapshot);
      return merge();
    },
    confirmSnapshot: (source, at) => {
      const snapshot = snapshots.get(source);
      if (snapshot === undefined || snapshot.at >= at) return false;
      snapshots.set(source, { at, workers: snapshot.workers });
      return merge();
    },
    snapshotOf: (source) => snapshots.get(source),
    newestSnapshotAt: () => listAt,
    workers: (now) => {
      if (currentAt === -Infinity || (hasColdWorkers && now - currentAt > coldUpdateIntervalUs)) {
        currentAt = now;
        current = hasColdWorkers
          ? list.map((it) => (it.coldMs > 0 ? { ...it, coldMs: Math.max(0, it.coldMs - (now - listAt) / 1000) } : it))
          : list;
      }
      return current;
    },
  };
}
