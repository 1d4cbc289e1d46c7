/** Which requests are admitted, and what workers learn of the sender of a request. */
import { expect, it } from 'vitest';
import { digestOfKey, type Route, type Tenant } from '@tansypost/paths';
import { createAdmission } from './admission.js';
import type { IncomingRequest } from './incoming-request.js';

const route = { name: 'chat', priority: 1 } as Route;
const publicRoute: Route = { ...route, public: true };

/** A request with an API key; without `key` it has no key digest, and its credential header holds no valid key. */
function request(key?: string): IncomingRequest {
  const keyDigest = key === undefined ? undefined : digestOfKey(key);
  const partial: Partial<IncomingRequest> = {
    id: 'q',
    credentialHeaders: ['Authorization', `Bearer ${key}`],
    keyDigest,
  };
  return partial as IncomingRequest;
}
function tenant(name: string, keys: string[], priority?: number): Tenant {
  return { name, keyDigests: keys.map(digestOfKey), priority };
}

it('forwards credentials while no tenants are set', () => {
  const admission = createAdmission();
  expect(admission.admit(request('any'), route)).toEqual({ request: request('any'), route });
});

it("forwards the tenant's name instead of the API key, and applies the tenant's priority if it has one", () => {
  const admission = createAdmission();
  admission.updateTenants([tenant('a', ['k1', 'k2'], 0), tenant('b', ['k3'])]);
  const first = admission.admit(request('k2'), route);
  expect(first?.request.tenant).toBe('a');
  expect(first?.request.credentialHeaders).toBeUndefined();
  expect(first?.route.priority).toBe(0);
  expect(admission.admit(request('k3'), route)?.route).toBe(route);
});

it('requires a key that a tenant currently holds, except on public routes; an empty list of tenants rejects every key', () => {
  const admission = createAdmission();
  admission.updateTenants([tenant('a', ['k1'])]);
  expect(admission.admit(request('k1'), route)?.request.tenant).toBe('a');
  admission.updateTenants([tenant('a', [])]);
  for (const unknown of [request('k1'), request('other'), request()]) {
    expect(admission.admit(unknown, route)).toBeUndefined();
    expect(admission.admit(unknown, publicRoute)?.request.credentialHeaders).toBeUndefined();
  }
  admission.updateTenants([]);
  expect(admission.admit(request('k1'), route)).toBeUndefined();
});
