/** Tenants are told apart by their keys, and nothing that is said of them holds a key. */
import { expect, it } from 'vitest';
import { createTenantDirectory, digestOfKey, validateTenants, type Tenant } from './tenants.js';

function tenant(name: string, ...keys: string[]): Tenant {
  return { name, keyDigests: keys.map(digestOfKey), priority: undefined };
}

it('finds the tenant of each of its keys, and nobody for others', () => {
  const directory = createTenantDirectory([tenant('a', 'k1', 'k2'), tenant('b', 'k3'), tenant('c')]);
  expect(['k1', 'k2', 'k3', 'k4'].map((key) => directory.find(digestOfKey(key))?.name)).toEqual([
    'a',
    'a',
    'b',
    undefined,
  ]);
});

it('finds shared keys and repeated names, and lets a tenant have no key, or one twice', () => {
  expect(validateTenants([tenant('a', 'k1', 'k1'), tenant('b'), tenant('c')])).toEqual([]);
  const shared = validateTenants([tenant('a', 'secret'), tenant('b', 'k', 'secret')]);
  expect(shared).toEqual(['The tenants a and b share a key; give each its own.']);
  expect(validateTenants([tenant('a', 'k1'), tenant('a', 'k2')])).toHaveLength(1);
});
