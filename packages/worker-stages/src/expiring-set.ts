/** Names that are kept for a while each. */
import type { World } from '@tansypost/inner-protocol';

/** A set whose members leave it by themselves. */
export interface ExpiringSet {
  readonly has: (name: string) => boolean;
  /** Keeps the name for so many microseconds from now, also where it was there already. */
  readonly keep: (name: string, lasting: number) => void;
  readonly drop: (name: string) => void;
}

/** An empty set. */
export function createExpiringSet(world: Pick<World, 'now'>): ExpiringSet {
  const ends = new Map<string, number>();

  function has(name: string): boolean {
    const end = ends.get(name);
    if (end === undefined || end > world.now()) return end !== undefined;
    ends.delete(name);
    return false;
  }

  function keep(name: string, lasting: number): void {
    ends.set(name, world.now() + lasting);
  }

  return { has, keep, drop: (name) => void ends.delete(name) };
}
