/** Since when this node knows each open intent, and which of them it has already reported as open for long. */
import type { World } from '@tansypost/inner-protocol';
import type { Intent } from './duty-record.js';

/** The ages of one duty's open intents. */
export interface OpenSince {
  /** Takes in which intents are open now. */
  readonly note: (open: readonly Intent[]) => void;
  /** How long this node has known the intent to be open, in microseconds. */
  readonly age: (id: number) => number;
  /** Those open for longer than `limit`, in microseconds, that it has not given before. */
  readonly newlyLate: (open: readonly Intent[], limit: number) => readonly Intent[];
}

/** Knows of none yet. */
export function createOpenSince(world: Pick<World, 'now'>): OpenSince {
  const since = new Map<number, number>();
  const reported = new Set<number>();

  function note(open: readonly Intent[]): void {
    const ids = new Set(open.map((intent) => intent.id));
    for (const id of since.keys()) {
      if (ids.has(id)) continue;
      since.delete(id);
      reported.delete(id);
    }
    for (const id of ids) if (!since.has(id)) since.set(id, world.now());
  }

  function age(id: number): number {
    return world.now() - (since.get(id) ?? world.now());
  }

  function newlyLate(open: readonly Intent[], limit: number): readonly Intent[] {
    const late = open.filter((intent) => age(intent.id) >= limit && !reported.has(intent.id));
    for (const intent of late) reported.add(intent.id);
    return late;
  }

  return { note, age, newlyLate };
}
