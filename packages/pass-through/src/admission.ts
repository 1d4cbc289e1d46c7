/**
 * Authenticates requests. Where the route table has tenants, a request needs an API key of one of them unless its route
 * is public; the key is removed before the request goes to workers, which receive the tenant's name instead. Where the
 * table has no tenants, credentials are forwarded like other headers.
 */
import { createTenantDirectory, type Route, type Tenant, type TenantDirectory } from '@tansypost/paths';
import type { IncomingRequest } from './incoming-request.js';

/** A request as workers receive it, and its route with the effective priority. */
export interface Admitted {
  readonly request: IncomingRequest;
  readonly route: Route;
}

/** Admits requests by the tenants of the newest route table. */
export interface Admission {
  /** Takes the tenants of a new route table; undefined where it requires no keys. */
  readonly updateTenants: (tenants: readonly Tenant[] | undefined) => void;
  /** The request as workers receive it; undefined where it may not run. */
  readonly admit: (request: IncomingRequest, route: Route) => Admitted | undefined;
}

/** Requires no keys until `updateTenants` is called with tenants. */
export function createAdmission(): Admission {
  let directory: TenantDirectory | undefined;

  function updateTenants(tenants: readonly Tenant[] | undefined): void {
    directory = tenants === undefined ? undefined : createTenantDirectory(tenants);
  }

  function tenantOf(request: IncomingRequest): Tenant | undefined {
    return request.keyDigest === undefined ? undefined : directory?.find(request.keyDigest);
  }

  function admit(request: IncomingRequest, route: Route): Admitted | undefined {
    if (directory === undefined) return { request, route };
    const tenant = tenantOf(request);
    if (tenant === undefined && route.public !== true) return undefined;
    const redacted = { ...request, credentialHeaders: undefined, tenant: tenant?.name };
    return { request: redacted, route: withPriority(route, tenant?.priority) };
  }

  return { updateTenants, admit };
}

function withPriority(route: Route, priority: number | undefined): Route {
  return priority === undefined || priority === route.priority ? route : { ...route, priority };
}
