/**
 * Tenants and their API keys. Keys are kept and compared as digests only, so that no key stands in a table that is
 * shown, logged or dumped, and how long a look-up takes says nothing of a key.
 */
import { createHash } from 'node:crypto';
import type { Brand } from '@tansypost/inner-protocol';

/** SHA-256 of an API key. */
export type KeyDigest = Brand<string, 'KeyDigest'>;

/** Somebody on whose behalf requests are sent. */
export interface Tenant {
  readonly name: string;
  readonly keyDigests: readonly KeyDigest[];
  /** Goes before the priority of a route; undefined where the route's counts. */
  readonly priority: number | undefined;
}

/** Finds the tenant that holds a key. */
export interface TenantDirectory {
  readonly find: (key: KeyDigest) => Tenant | undefined;
}

/** The digest that stands for an API key. */
export function digestOfKey(key: string): KeyDigest {
  return createHash('sha256').update(key).digest('base64') as KeyDigest;
}

/** A directory of tenants; no two of them may hold one key. */
export function createTenantDirectory(tenants: readonly Tenant[]): TenantDirectory {
  const tenantByKey = new Map<KeyDigest, Tenant>();
  for (const tenant of tenants) {
    for (const digest of tenant.keyDigests) tenantByKey.set(digest, tenant);
  }
  return { find: (key) => tenantByKey.get(key) };
}

/** What is wrong with a list of tenants, as sentences for its author that name no key. */
export function validateTenants(tenants: readonly Tenant[]): string[] {
  const faults: string[] = [];
  const names = new Set<string>();
  const holders = new Map<KeyDigest, string>();
  for (const tenant of tenants) {
    if (names.has(tenant.name)) faults.push(`Two tenants have the name ${tenant.name}; name each once.`);
    names.add(tenant.name);
    for (const digest of new Set(tenant.keyDigests)) {
      const other = holders.get(digest);
      if (other === undefined) holders.set(digest, tenant.name);
      else faults.push(`The tenants ${other} and ${tenant.name} share a key; give each its own.`);
    }
  }
  return faults;
}
