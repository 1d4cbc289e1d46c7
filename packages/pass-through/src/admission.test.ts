/** Which requests are admitted, and what workers receive about their sender. */
import { expect, it } from 'vitest';
import { digestOfKey, type Route, type Tenant } from '@tansypost/paths';
import { createAdmission } from './admission.js';
import type { IncomingRequest } from './incoming-request.js';

const route = { name: 'chat', priority: 1 } as Route;
const publicRoute: Route = { ...route, public: true };

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

it('forwards credentials where the table has no tenants', () => {
  const admission = createAdmission();
  expect(admission.admit(request('any'), route)).toEqual({ request: request('any'), route });
});

it('removes the key and names the tenant, and applies the priority of the tenant if it has one', () => {
  const admission = createAdmission();
  admission.updateTenants([tenant('a', ['k1', 'k2'], 0), tenant('b', ['k3'])]);
  const first = admission.admit(request('k2'), route);
  expect(first?.request.tenant).toBe('a');
  expect(first?.request.credentialHeaders).toBeUndefined();
  expect(first?.route.priority).toBe(0);
  expect(admission.admit(request('k3'), route)?.route).toBe(route);
});

it('requires a key that a tenant currently holds, except on public routes', () => {
  const admission = createAdmission();
  admission.updateTenants([tenant('a', ['k1'])]);
  expect(admission.admit(request('k1'), route)?.request.tenant).toBe('a');
  admission.updateTenants([tenant('a', [])]);
  for (const each of [request('k1'), request('other'), request()]) {
    expect(admission.admit(each, route)).toBeUndefined();
    expect(admission.admit(each, publicRoute)?.request.credentialHeaders).toBeUndefined();
  }
  admission.updateTenants([]);
  expect(admission.admit(request('k1'), route)).toBeUndefined();
});
