/** Finds the path of a request: of its host's paths, the one with the longest prefix of the target. */
import type { Path, PathTable } from './path-table.js';

/** Looks up paths of one table. */
export interface Matcher {
  /**
   * Finds the path that a request belongs to.
   * @param host value of the Host header, with or without a port, in any case
   * @param target request target; its query is passed over
   * @returns nothing where no path fits
   */
  readonly find: (host: string, target: string) => Path | undefined;
}

/** The name in a Host header: without its port and in lower case. */
export function hostName(header: string): string {
  const colon = header.lastIndexOf(':');
  const hasPort = colon > 0 && /^\d+$/.test(header.slice(colon + 1));
  return (hasPort ? header.slice(0, colon) : header).toLowerCase();
}

/** Makes the matcher of a table; the table is not read again later. */
export function createMatcher(table: PathTable): Matcher {
  const pathsByHost = indexByHost(table.paths);
  function find(host: string, target: string): Path | undefined {
    const query = target.indexOf('?');
    const pathname = query < 0 ? target : target.slice(0, query);
    return pathsByHost.get(hostName(host))?.find((path) => pathname.startsWith(path.prefix));
  }
  return { find };
}

/** The paths of each host, longest prefix first. */
function indexByHost(paths: readonly Path[]): Map<string, Path[]> {
  const pathsByHost = new Map<string, Path[]>();
  for (const path of paths) {
    const host = path.host.toLowerCase();
    pathsByHost.set(host, [...(pathsByHost.get(host) ?? []), path]);
  }
  for (const ofHost of pathsByHost.values()) ofHost.sort((a, b) => b.prefix.length - a.prefix.length);
  return pathsByHost;
}
