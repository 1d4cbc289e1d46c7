/** A set of names, each of which expires after its own lifetime. */
import type { World } from '@tansypost/inner-protocol';

/** A set whose members expire. */
export interface ExpiringSet {
  readonly has: (name: string) => boolean;
  /** Adds the name for `lifetime` microseconds from now; a present name gets the new expiry time. */
  readonly add: (name: string, lifetime: number) => void;
  readonly remove: (name: string) => void;
}

/** An empty set. */
export function createExpiringSet(world: Pick<World, 'now'>): ExpiringSet {
  const expiryTimes = new Map<string, number>();

  function has(name: string): boolean {
    const expiresAt = expiryTimes.get(name);
    if (expiresAt === undefined || expiresAt > world.now()) return expiresAt !== undefined;
    expiryTimes.delete(name);
    return false;
  }

  function add(name: string, lifetime: number): void {
    expiryTimes.set(name, world.now() + lifetime);
  }

  return { has, add, remove: (name) => void expiryTimes.delete(name) };
}
