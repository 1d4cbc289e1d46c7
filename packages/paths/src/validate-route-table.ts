/** Validates a route table beyond its shape. */
import type { Route, RouteTable, Service } from './route-table.js';
import { validateTenants } from './tenants.js';

/** The errors in the table, as sentences for its author; empty when the table is valid. */
export function validateRouteTable(table: RouteTable): string[] {
  const errors: string[] = [];
  const services = new Set(table.services.map((service) => service.name));
  if (!Number.isSafeInteger(table.revision) || table.revision < 1) {
    errors.push('The revision must be an integer greater than 0.');
  }
  if (services.size !== table.services.length) errors.push('Two services have the same name; names must be unique.');
  const seen = new Set<string>();
  for (const route of table.routes) {
    const hostAndPrefix = `${route.host.toLowerCase()} ${route.prefix}`;
    if (seen.has(hostAndPrefix))
      errors.push(`Two routes have the host and prefix ${hostAndPrefix}; this pair must be unique.`);
    seen.add(hostAndPrefix);
    errors.push(...validateRoute(route, services));
  }
  return [...errors, ...table.services.flatMap(validateScaling), ...validateTenants(table.tenants ?? [])];
}

function validateRoute(route: Route, services: ReadonlySet<string>): string[] {
  const errors: string[] = [];
  if (!route.prefix.startsWith('/') || !route.prefix.endsWith('/')) {
    errors.push(`The prefix of ${route.name} must start and end with a slash.`);
  }
  if (!(route.timeout > 0)) errors.push(`The deadline of ${route.name} must be greater than 0.`);
  // Negated comparisons, so that NaN is an error too.
  const negative = route.weightedServices.some((share) => !(share.weight >= 0));
  const total = route.weightedServices.reduce((sum, share) => sum + share.weight, 0);
  if (negative || !(total > 0))
    errors.push(`The weights of ${route.name} must not be negative, and their sum must be greater than 0.`);
  for (const share of route.weightedServices) {
    if (services.has(share.service)) continue;
    errors.push(`${route.name} refers to the service ${share.service}, which is not defined.`);
  }
  return errors;
}

function validateScaling({ name, scaling }: Service): string[] {
  if (scaling === undefined) return [];
  const { minWorkers, maxWorkers, bootTime } = scaling;
  const errors: string[] = [];
  if (![minWorkers, maxWorkers].every((count) => Number.isSafeInteger(count) && count >= 0)) {
    errors.push(`The minimum and maximum numbers of workers of ${name} must be integers of at least 0.`);
  }
  // Negated comparisons, so that NaN is an error too.
  if (!(minWorkers <= maxWorkers)) errors.push(`The minimum number of workers of ${name} must not exceed the maximum.`);
  if (!(bootTime >= 0)) errors.push(`The boot time of ${name} must not be negative.`);
  return errors;
}
