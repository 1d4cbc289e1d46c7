/** Who may have requests run, and what workers are told of the sender. */
import { expect, it } from 'vitest';
import { digestOfKey, type Route, type Tenant } from '@tansypost/paths';
import { createAdmission } from './admission.js';
import type { IncomingRequest } from './incoming.js';

const path = { name: 'chat', priority: 1 } as Route;
const publicPath: Route = { ...path, public: true };

function request(key?: string): IncomingRequest {
  const keyDigest = key === undefined ? undefined : digestOfKey(key);
  const incoming: Partial<IncomingRequest> = {
    id: 'q',
    credentialHeaders: ['Authorization', `Bearer ${key}`],
    keyDigest,
  };
  return incoming as IncomingRequest;
}
function tenant(name: string, keys: string[], rank?: number): Tenant {
  return { name, keyDigests: keys.map(digestOfKey), priority: rank };
}

it('passes credentials on where the table has no tenants', () => {
  const admission = createAdmission();
  expect(admission.admit(request('any'), path)).toEqual({ request: request('any'), path });
});

it('withholds the key and names the tenant, with its own priority where it has one', () => {
  const admission = createAdmission();
  admission.replace([tenant('a', ['k1', 'k2'], 0), tenant('b', ['k3'])]);
  const first = admission.admit(request('k2'), path);
  expect(first?.request.tenant).toBe('a');
  expect(first?.request.credentialHeaders).toBeUndefined();
  expect(first?.path.priority).toBe(0);
  expect(admission.admit(request('k3'), path)?.path).toBe(path);
});

it('admits nobody without a key that a tenant holds now, but for public routes', () => {
  const admission = createAdmission();
  admission.replace([tenant('a', ['k1'])]);
  expect(admission.admit(request('k1'), path)?.request.tenant).toBe('a');
  admission.replace([tenant('a', [])]);
  for (const each of [request('k1'), request('other'), request()]) {
    expect(admission.admit(each, path)).toBeUndefined();
    expect(admission.admit(each, publicPath)?.request.credentialHeaders).toBeUndefined();
  }
  admission.replace([]);
  expect(admission.admit(request('k1'), path)).toBeUndefined();
});
