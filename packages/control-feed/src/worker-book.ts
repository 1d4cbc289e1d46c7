/**
 * Which workers there are, told by several sources whose looks at the list are of different ages. The newest
 * look decides who exists. A worker once seen leaving stays leaving under that id, and one that a newer look
 * no longer showed is held out until a look well after that shows it again, as older looks still may.
 */
import type { ListedWorker } from './listed-worker.js';

export interface WorkerListSnapshot {
  // When the list was fetched, on the reader's own clock.
  readonly at: number;
  readonly workers: readonly ListedWorker[];
}
export interface WorkerListView {
  // Gives whether anything changed.
  readonly addSnapshot: (source: string, l: WorkerListSnapshot) => boolean;
  // The same list was seen again at that time.
  readonly confirmSnapshot: (source: string, at: number) => boolean;
  readonly snapshotOf: (source: string) => WorkerListSnapshot | undefined;
  readonly newestSnapshotAt: () => number;
  readonly workers: (now: number) => readonly ListedWorker[];
}
const heldOut = 1_500_000;
const rememberedFor = 120_000_000;
const coldEvery = 500_000;

export function createWorkerListView(): WorkerListView {
  const looks = new Map<string, WorkerListSnapshot>();
  const leaving = new Map<string, number>();
  const vanished = new Map<string, number>();
  let shown: readonly ListedWorker[] = [];
  let shownAt = -Infinity;
  let told: readonly ListedWorker[] = [];
  let toldAt = -Infinity;
  let cold = false;

  function settle(): boolean {
    let top: WorkerListSnapshot | undefined;
    for (const l of looks.values()) {
      if (top === undefined || l.at > top.at) top = l;
      for (const x of l.workers) if (x.leaving) leaving.set(x.id, l.at);
    }
    if (top === undefined) return false;
    const at = top.at;
    for (const [s, l] of looks) if (at - l.at > rememberedFor) looks.delete(s);
    const there = new Set(top.workers.map((x) => x.id));
    for (const x of shown) if (!there.has(x.id)) vanished.set(x.id, at);
    for (const m of [leaving, vanished]) for (const [id, t] of m) if (at - t > rememberedFor) m.delete(id);
    const next = top.workers
      .filter((x) => at > (vanished.get(x.id) ?? -Infinity) + heldOut)
      .map((x) => (leaving.has(x.id) && !x.leaving ? { ...x, leaving: true } : x))
      .sort((a, b) => (a.id < b.id ? -1 : 1));
    const changed = next.length !== shown.length || next.some((x, i) => !same(x, shown[i]!));
    shown = next;
    shownAt = at;
    cold = next.some((x) => x.coldMs > 0);
    if (changed || cold) toldAt = -Infinity;
    return changed;
  }

  function same(a: ListedWorker, b: ListedWorker): boolean {
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
    addSnapshot: (source, l) => {
      const had = looks.get(source);
      if (had !== undefined && had.at > l.at) return false;
      looks.set(source, l);
      return settle();
    },
    confirmSnapshot: (source, at) => {
      const had = looks.get(source);
      if (had === undefined || had.at >= at) return false;
      looks.set(source, { at, workers: had.workers });
      return settle();
    },
    snapshotOf: (source) => looks.get(source),
    newestSnapshotAt: () => shownAt,
    workers: (now) => {
      if (toldAt === -Infinity || (cold && now - toldAt > coldEvery)) {
        toldAt = now;
        told = cold
          ? shown.map((x) => (x.coldMs > 0 ? { ...x, coldMs: Math.max(0, x.coldMs - (now - shownAt) / 1000) } : x))
          : shown;
      }
      return told;
    },
  };
}
