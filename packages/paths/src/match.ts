// Finds the path of a request: of its host's paths, the one with the longest prefix that begins the target.
import type { Path, PathTable } from './path-table.js';

export interface Matcher {
  readonly find: (host: string, target: string) => Path | undefined;
}

export function hostName(h: string): string {
  const i = h.lastIndexOf(':');
  return (i > 0 && /^\d+$/.test(h.slice(i + 1)) ? h.slice(0, i) : h).toLowerCase();
}

export function createMatcher(t: PathTable): Matcher {
  const hosts = new Map<string, Path[]>();
  for (const p of t.paths) hosts.set(p.host.toLowerCase(), [...(hosts.get(p.host.toLowerCase()) ?? []), p]);
  for (const ps of hosts.values()) ps.sort((a, b) => b.prefix.length - a.prefix.length);
  function find(host: string, target: string): Path | undefined {
    const q = target.indexOf('?');
    const at = q < 0 ? target : target.slice(0, q);
    return hosts.get(hostName(host))?.find((p) => at.startsWith(p.prefix));
  }
  return { find };
}
