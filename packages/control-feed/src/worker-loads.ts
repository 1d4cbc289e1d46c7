/** The newest known load of each worker, as reported by control nodes. */
import { micros, type MessageOf, type Micros, type World } from '@tansypost/inner-protocol';

/** The load of a worker. */
export interface WorkerLoad {
  readonly id: string;
  readonly queued: number;
  readonly active: number;
  readonly kvUsed: number;
  readonly kvTotal: number;
  /** The stage that it serves. */
  readonly part: string;
  /** The worker did not answer; the other values are meaningless then. */
  readonly silent: boolean;
  /** The local time at which the worker had this load. */
  readonly at: Micros;
}

/** The loads of all workers. */
export interface WorkerLoadTable {
  /** Merges reported loads, and returns those that are newer than the known ones. */
  readonly merge: (message: MessageOf<'WorkerLoads'>) => readonly WorkerLoad[];
  readonly loads: () => ReadonlyMap<string, WorkerLoad>;
}

const retentionUs = 60_000_000;
const cleanupIntervalUs = 10_000_000;

/** Creates an empty table. */
export function createWorkerLoadTable(world: Pick<World, 'now'>): WorkerLoadTable {
  const loads = new Map<string, WorkerLoad>();
  let lastCleanupAt: number = world.now();

  function merge(message: MessageOf<'WorkerLoads'>): readonly WorkerLoad[] {
    const now = world.now();
    const newer: WorkerLoad[] = [];
    for (const { age, ...load } of message.loads) {
      const at = micros(now - age * 1000);
      if ((loads.get(load.id)?.at ?? -Infinity) > at) continue;
      const received = { ...load, at };
      loads.set(load.id, received);
      newer.push(received);
    }
    if (now - lastCleanupAt > cleanupIntervalUs) removeExpired(now);
    return newer;
  }

  function removeExpired(now: number): void {
    lastCleanupAt = now;
    for (const [id, load] of loads) if (now - load.at > retentionUs) loads.delete(id);
  }

  return { merge, loads: () => loads };
}
