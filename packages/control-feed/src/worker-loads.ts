/** The loads of workers as control nodes have told them; of each worker the newest. */
import { micros, type MessageOf, type Micros, type World } from '@tansypost/inner-protocol';

export interface WorkerLoad {
  readonly id: string;
  readonly queued: number;
  readonly active: number;
  readonly kvUsed: number;
  readonly kvTotal: number;
  readonly part: string;
  /** It was asked and did not answer; the figures say nothing then. */
  readonly silent: boolean;
  /** The local time that the figures stand for. */
  readonly at: Micros;
}

export interface WorkerLoadTable {
  /** Gives the loads that are newer than what was known. */
  readonly merge: (told: MessageOf<'WorkerLoads'>) => readonly WorkerLoad[];
  readonly loads: () => ReadonlyMap<string, WorkerLoad>;
}

const keptFor = 60_000_000;
const forgetEvery = 10_000_000;

export function createWorkerLoadTable(world: Pick<World, 'now'>): WorkerLoadTable {
  const loads = new Map<string, WorkerLoad>();
  let forgottenAt: number = world.now();

  function take(told: MessageOf<'WorkerLoads'>): readonly WorkerLoad[] {
    const now = world.now();
    const newer: WorkerLoad[] = [];
    for (const { age, ...load } of told.loads) {
      const at = micros(now - age * 1000);
      if ((loads.get(load.id)?.at ?? -Infinity) > at) continue;
      const known = { ...load, at };
      loads.set(load.id, known);
      newer.push(known);
    }
    if (now - forgottenAt > forgetEvery) forget(now);
    return newer;
  }

  function forget(now: number): void {
    forgottenAt = now;
    for (const [id, load] of loads) if (now - load.at > keptFor) loads.delete(id);
  }

  return { merge: take, loads: () => loads };
}
