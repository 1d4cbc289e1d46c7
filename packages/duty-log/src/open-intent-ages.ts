/** How long this node has known each open intent, and which intents it has already reported as overdue. */
import type { World } from '@tansypost/inner-protocol';
import type { Intent } from './duty-record.js';

/** The ages of one duty's open intents. */
export interface OpenIntentAges {
  /** Sets which intents are open now. */
  readonly update: (open: readonly Intent[]) => void;
  /** How long this node has known the intent to be open, in microseconds. */
  readonly age: (id: number) => number;
  /** Returns the intents that have been open for at least `limit` microseconds and were not returned before. */
  readonly newlyOverdue: (open: readonly Intent[], limit: number) => readonly Intent[];
}

/** Creates the ages of a duty without open intents. */
export function createOpenIntentAges(world: Pick<World, 'now'>): OpenIntentAges {
  const openSince = new Map<number, number>();
  const reported = new Set<number>();

  function update(open: readonly Intent[]): void {
    const ids = new Set(open.map((intent) => intent.id));
    for (const id of openSince.keys()) {
      if (ids.has(id)) continue;
      openSince.delete(id);
      reported.delete(id);
    }
    for (const id of ids) if (!openSince.has(id)) openSince.set(id, world.now());
  }

  function age(id: number): number {
    return world.now() - (openSince.get(id) ?? world.now());
  }

  function newlyOverdue(open: readonly Intent[], limit: number): readonly Intent[] {
    const overdue = open.filter((intent) => age(intent.id) >= limit && !reported.has(intent.id));
    for (const intent of overdue) reported.add(intent.id);
    return overdue;
  }

  return { update, age, newlyOverdue };
}
