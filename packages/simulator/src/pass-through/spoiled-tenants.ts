/** Ways in which a router may go wrong about tenants, for days that are to show that a check sees it. */
import type { IncomingRequest, WorkerPort } from '@tansypost/pass-through';
import type { RouteTable, Tenant } from '@tansypost/paths';
import type { Spoil } from './spoil.js';

/** The document as a spoiled router takes it; `before` are those that it took earlier in its life. */
export function spoiledTable(spoil: Spoil | undefined, table: RouteTable, before: readonly RouteTable[]): RouteTable {
  if (spoil === 'keys-unchecked') return { ...table, tenants: undefined };
  const first = before[0]?.tenants;
  if (first === undefined || table.tenants === undefined) return table;
  if (spoil === 'new-keys-ignored') return { ...table, tenants: first };
  if (spoil === 'dropped-keys-kept') return { ...table, tenants: withKeysOf(table.tenants, first) };
  return table;
}

function withKeysOf(tenants: readonly Tenant[], earlier: readonly Tenant[]): readonly Tenant[] {
  const held = new Set(tenants.flatMap(({ keyDigests }) => keyDigests));
  return tenants.map((tenant) => {
    const had = earlier.find(({ name }) => name === tenant.name)?.keyDigests ?? [];
    return { ...tenant, keyDigests: [...tenant.keyDigests, ...had.filter((digest) => !held.has(digest))] };
  });
}

/** A way to workers that tells them of the wrong tenant, or gives them what bears the key. */
export function spoiledTellings(spoil: Spoil | undefined, port: WorkerPort): WorkerPort {
  if (spoil !== 'credentials-passed-on' && spoil !== 'tenants-mixed') return port;
  let lastTenant: string | undefined;
  function told(request: IncomingRequest): IncomingRequest {
    if (spoil === 'credentials-passed-on') return { ...request, credentialHeaders: ['Authorization', 'Bearer key'] };
    const tenant = lastTenant ?? request.tenant;
    lastTenant = request.tenant;
    return { ...request, tenant };
  }
  return {
    ...port,
    prefill: (worker, request, ...rest) => port.prefill(worker, told(request), ...rest),
    run: (worker, request, ...rest) => port.run(worker, told(request), ...rest),
  };
}

/** Whether a spoiled router refuses a request for whose it is. */
export function isLeftOut(spoil: Spoil | undefined, tenant: string | undefined): boolean {
  return spoil === 'tenant-left-out' && tenant === 't1';
}
