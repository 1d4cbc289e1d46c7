/** A set of keys, such as ids of workers, each of which expires after its own lifetime. */
import type { World } from '@tansypost/inner-protocol';

/** A set whose members expire. */
export interface ExpiringSet {
  readonly has: (key: string) => boolean;
  /** Adds the key for `lifetime` microseconds from now. If the set has the key already, its expiry time is replaced. */
  readonly add: (key: string, lifetime: number) => void;
  readonly remove: (key: string) => void;
}

/** Creates an empty set. */
export function createExpiringSet(world: Pick<World, 'now'>): ExpiringSet {
  const expiryTimes = new Map<string, number>();

  function has(key: string): boolean {
    const expiresAt = expiryTimes.get(key);
    if (expiresAt === undefined || expiresAt > world.now()) return expiresAt !== undefined;
    expiryTimes.delete(key);
    return false;
  }

  function add(key: string, lifetime: number): void {
    expiryTimes.set(key, world.now() + lifetime);
  }

  return { has, add, remove: (key) => void expiryTimes.delete(key) };
}
