/** Finds the route of a request: among the routes of its host, the one with the longest matching path prefix. */
import type { Route, RouteTable } from './route-table.js';

/** Looks up routes of one table. */
export interface RouteMatcher {
  /**
   * Finds the route of a request.
   * @param host value of the Host header, with or without a port, in any case
   * @param target request target; its query is ignored
   * @returns undefined where no route matches
   */
  readonly find: (host: string, target: string) => Route | undefined;
}

/** The host name in a Host header, without port and in lower case. */
export function hostName(header: string): string {
  const colon = header.lastIndexOf(':');
  const hasPort = colon > 0 && /^\d+$/.test(header.slice(colon + 1));
  return (hasPort ? header.slice(0, colon) : header).toLowerCase();
}

/** Creates the matcher of a table; later changes of the table have no effect. */
export function createRouteMatcher(table: RouteTable): RouteMatcher {
  const routesByHost = indexByHost(table.routes);
  function find(host: string, target: string): Route | undefined {
    const query = target.indexOf('?');
    const pathname = query < 0 ? target : target.slice(0, query);
    return routesByHost.get(hostName(host))?.find((route) => pathname.startsWith(route.prefix));
  }
  return { find };
}

/** The routes of each host, longest prefix first. */
function indexByHost(routes: readonly Route[]): Map<string, Route[]> {
  const routesByHost = new Map<string, Route[]>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    routesByHost.set(host, [...(routesByHost.get(host) ?? []), route]);
  }
  for (const ofHost of routesByHost.values()) ofHost.sort((a, b) => b.prefix.length - a.prefix.length);
  return routesByHost;
}
