/** Finds the path of a request: of its host's paths, the one with the longest prefix of the target. */
import type { Route, RouteTable } from './route-table.js';

/** Looks up paths of one table. */
export interface RouteMatcher {
  /**
   * Finds the path that a request belongs to.
   * @param host value of the Host header, with or without a port, in any case
   * @param target request target; its query is passed over
   * @returns nothing where no path fits
   */
  readonly find: (host: string, target: string) => Route | undefined;
}

/** The name in a Host header: without its port and in lower case. */
export function hostName(header: string): string {
  const colon = header.lastIndexOf(':');
  const hasPort = colon > 0 && /^\d+$/.test(header.slice(colon + 1));
  return (hasPort ? header.slice(0, colon) : header).toLowerCase();
}

/** Makes the matcher of a table; the table is not read again later. */
export function createRouteMatcher(table: RouteTable): RouteMatcher {
  const pathsByHost = indexByHost(table.routes);
  function find(host: string, target: string): Route | undefined {
    const query = target.indexOf('?');
    const pathname = query < 0 ? target : target.slice(0, query);
    return pathsByHost.get(hostName(host))?.find((path) => pathname.startsWith(path.prefix));
  }
  return { find };
}

/** The paths of each host, longest prefix first. */
function indexByHost(paths: readonly Route[]): Map<string, Route[]> {
  const pathsByHost = new Map<string, Route[]>();
  for (const path of paths) {
    const host = path.host.toLowerCase();
    pathsByHost.set(host, [...(pathsByHost.get(host) ?? []), path]);
  }
  for (const ofHost of pathsByHost.values()) ofHost.sort((a, b) => b.prefix.length - a.prefix.length);
  return pathsByHost;
}
