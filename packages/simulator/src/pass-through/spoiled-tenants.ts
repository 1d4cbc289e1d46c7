/** Deliberate errors of a router's tenant handling, for tests that show that a check detects them. */
import type { IncomingRequest, WorkerPort } from '@tansypost/pass-through';
import type { RouteTable, Tenant } from '@tansypost/paths';
import type { Spoil } from './spoil.js';

/** The route table that a faulty router applies. `before`: the tables that this incarnation applied earlier. */
export function sabotageRouteTable(
  spoil: Spoil | undefined,
  table: RouteTable,
  before: readonly RouteTable[],
): RouteTable {
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

/** Wraps a worker client so that it names the wrong tenant to workers, or passes the header with the key to them. */
export function sabotageTenantHeaders(spoil: Spoil | undefined, port: WorkerPort): WorkerPort {
  if (spoil !== 'credentials-passed-on' && spoil !== 'tenants-mixed') return port;
  let lastTenant: string | undefined;
  function tamperedRequest(request: IncomingRequest): IncomingRequest {
    if (spoil === 'credentials-passed-on') return { ...request, credentialHeaders: ['Authorization', 'Bearer key'] };
    const tenant = lastTenant ?? request.tenant;
    lastTenant = request.tenant;
    return { ...request, tenant };
  }
  return {
    ...port,
    prefill: (worker, request, ...rest) => port.prefill(worker, tamperedRequest(request), ...rest),
    run: (worker, request, ...rest) => port.run(worker, tamperedRequest(request), ...rest),
  };
}

/** Whether a faulty router refuses all requests of the tenant. */
export function isLeftOut(spoil: Spoil | undefined, tenant: string | undefined): boolean {
  return spoil === 'tenant-left-out' && tenant === 't1';
}
