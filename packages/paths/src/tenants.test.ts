/** Tenants are identified by their keys, and no error message contains a key. */
import { expect, it } from 'vitest';
import { createTenantDirectory, digestOfKey, validateTenants, type Tenant } from './tenants.js';

function tenant(name: string, ...keys: string[]): Tenant {
  return { name, keyDigests: keys.map(digestOfKey), priority: undefined };
}

it('finds the tenant of each key, and none for unknown keys', () => {
  const directory = createTenantDirectory([tenant('a', 'k1', 'k2'), tenant('b', 'k3'), tenant('c')]);
  expect(['k1', 'k2', 'k3', 'k4'].map((key) => directory.find(digestOfKey(key))?.name)).toEqual([
    'a',
    'a',
    'b',
    undefined,
  ]);
});

it('reports shared keys and duplicate names, and accepts a tenant without a key or with a repeated one', () => {
  expect(validateTenants([tenant('a', 'k1', 'k1'), tenant('b'), tenant('c')])).toEqual([]);
  const shared = validateTenants([tenant('a', 'secret'), tenant('b', 'k', 'secret')]);
  expect(shared).toEqual(['The tenants a and b share a key; keys must be unique.']);
  expect(validateTenants([tenant('a', 'k1'), tenant('a', 'k2')])).toHaveLength(1);
});
