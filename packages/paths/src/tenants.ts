/**
 * Tenants and their API keys. Keys are stored and compared only as digests, so that no key appears in a table that is
 * displayed, logged or dumped, and the duration of a lookup reveals nothing about a key.
 */
import { createHash } from 'node:crypto';
import type { Brand } from '@tansypost/inner-protocol';

/** SHA-256 of an API key. */
export type KeyDigest = Brand<string, 'KeyDigest'>;

/** A party on whose behalf requests are sent. */
export interface Tenant {
  readonly name: string;
  readonly keyDigests: readonly KeyDigest[];
  /** Overrides the priority of a route; undefined where the route's priority applies. */
  readonly priority: number | undefined;
}

/** Finds the tenant that holds a key. */
export interface TenantDirectory {
  readonly find: (key: KeyDigest) => Tenant | undefined;
}

/** The digest of an API key. */
export function digestOfKey(key: string): KeyDigest {
  return createHash('sha256').update(key).digest('base64') as KeyDigest;
}

/** Creates a directory of tenants; no two of them may share a key. */
export function createTenantDirectory(tenants: readonly Tenant[]): TenantDirectory {
  const tenantByKey = new Map<KeyDigest, Tenant>();
  for (const tenant of tenants) {
    for (const digest of tenant.keyDigests) tenantByKey.set(digest, tenant);
  }
  return { find: (key) => tenantByKey.get(key) };
}

/** The errors in a list of tenants, as sentences for its author that contain no key. */
export function validateTenants(tenants: readonly Tenant[]): string[] {
  const errors: string[] = [];
  const names = new Set<string>();
  const tenantNameByKey = new Map<KeyDigest, string>();
  for (const tenant of tenants) {
    if (names.has(tenant.name)) errors.push(`Two tenants have the name ${tenant.name}; names must be unique.`);
    names.add(tenant.name);
    for (const digest of new Set(tenant.keyDigests)) {
      const other = tenantNameByKey.get(digest);
      if (other === undefined) tenantNameByKey.set(digest, tenant.name);
      else errors.push(`The tenants ${other} and ${tenant.name} share a key; keys must be unique.`);
    }
  }
  return errors;
}
