/** What is wrong with a route table beyond its shape. */
import type { Route, RouteTable, Service } from './route-table.js';
import { validateTenants } from './tenants.js';

/** Each fault of the table as a sentence for its author; none when the table may go into force. */
export function validateRouteTable(table: RouteTable): string[] {
  const faults: string[] = [];
  const services = new Set(table.services.map((service) => service.name));
  if (!Number.isSafeInteger(table.revision) || table.revision < 1) {
    faults.push('The revision must be a whole number above 0.');
  }
  if (services.size !== table.services.length) faults.push('Two services have one name; name each once.');
  const seen = new Set<string>();
  for (const path of table.routes) {
    const at = `${path.host.toLowerCase()} ${path.prefix}`;
    if (seen.has(at)) faults.push(`Two paths have the host and prefix ${at}; keep one.`);
    seen.add(at);
    faults.push(...faultsOfPath(path, services));
  }
  return [...faults, ...table.services.flatMap(faultsOfScaling), ...validateTenants(table.tenants ?? [])];
}

function faultsOfPath(path: Route, services: ReadonlySet<string>): string[] {
  const faults: string[] = [];
  if (!path.prefix.startsWith('/') || !path.prefix.endsWith('/')) {
    faults.push(`The prefix of ${path.name} must begin and end with a slash.`);
  }
  if (!(path.timeout > 0)) faults.push(`The budget of ${path.name} must be above 0.`);
  // Written so that NaN is a fault too.
  const negative = path.weightedServices.some((share) => !(share.weight >= 0));
  const total = path.weightedServices.reduce((sum, share) => sum + share.weight, 0);
  if (negative || !(total > 0)) faults.push(`The weights of ${path.name} must add up to more than 0.`);
  for (const share of path.weightedServices) {
    if (services.has(share.service)) continue;
    faults.push(`${path.name} names the service ${share.service}, which is not stated.`);
  }
  return faults;
}

function faultsOfScaling({ name, scaling }: Service): string[] {
  if (scaling === undefined) return [];
  const { minWorkers: least, maxWorkers: most, bootTime } = scaling;
  const faults: string[] = [];
  if (![least, most].every((count) => Number.isSafeInteger(count) && count >= 0)) {
    faults.push(`The least and the most workers of ${name} must be whole numbers of 0 or more.`);
  }
  // Written so that NaN is a fault too.
  if (!(least <= most)) faults.push(`The least workers of ${name} must not be above the most.`);
  if (!(bootTime >= 0)) faults.push(`The boot time of ${name} must be 0 or more.`);
  return faults;
}
