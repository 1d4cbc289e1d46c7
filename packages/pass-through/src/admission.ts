/**
 * Who may have requests run. Where the route table has tenants, a request needs the key of one of them, unless its route
 * is public; its key is withheld from workers, which are told the tenant instead. Where the table has none, credentials
 * are heads like any other.
 */
import { createTenantDirectory, type Route, type Tenant, type TenantDirectory } from '@tansypost/paths';
import type { IncomingRequest } from './incoming.js';

/** A request as it is given to workers, and its route with the priority that counts. */
export interface Admitted {
  readonly request: IncomingRequest;
  readonly path: Route;
}

/** Admits requests by the newest tenants. */
export interface Admission {
  /** Takes the tenants of a new route table; undefined where it asks for no keys. */
  readonly replace: (tenants: readonly Tenant[] | undefined) => void;
  /** The request as workers get it; undefined where it may not be run. */
  readonly admit: (request: IncomingRequest, path: Route) => Admitted | undefined;
}

/** An admission that asks for no keys until it is told of tenants. */
export function createAdmission(): Admission {
  let directory: TenantDirectory | undefined;

  function replace(tenants: readonly Tenant[] | undefined): void {
    directory = tenants === undefined ? undefined : createTenantDirectory(tenants);
  }

  function tenantOf(request: IncomingRequest): Tenant | undefined {
    return request.keyDigest === undefined ? undefined : directory?.find(request.keyDigest);
  }

  function admit(request: IncomingRequest, path: Route): Admitted | undefined {
    if (directory === undefined) return { request, path };
    const tenant = tenantOf(request);
    if (tenant === undefined && path.public !== true) return undefined;
    const withheld = { ...request, credentialHeaders: undefined, tenant: tenant?.name };
    return { request: withheld, path: withRank(path, tenant?.priority) };
  }

  return { replace, admit };
}

function withRank(path: Route, rank: number | undefined): Route {
  return rank === undefined || rank === path.priority ? path : { ...path, priority: rank };
}
