// Follows one version of the desired state through every daemon: asks each keeper when it was committed and
// acknowledged, and each agent when the news came and when its router had applied it.
import { request } from 'undici';

export interface Seen {
  readonly at: number;
  readonly who: string;
  readonly what: string;
}
export interface Trace {
  readonly version: number;
  readonly seen: readonly Seen[];
  readonly missing: readonly string[];
}

async function get<T>(at: string, path: string): Promise<T | undefined> {
  try {
    const r = await request(`http://${at}${path}`, { headersTimeout: 2000, bodyTimeout: 2000 });
    return (await r.body.json()) as T;
  } catch {
    return undefined;
  }
}

export async function traceOnce(
  agents: readonly string[],
  keepers: readonly string[],
  version: number,
): Promise<Trace> {
  const seen: Seen[] = [];
  const missing: string[] = [];
  await Promise.all(
    agents.map(async (a) => {
      const es = await get<{ at: number; what: string }[]>(a, `/trace/${version}`);
      for (const e of es ?? []) seen.push({ at: e.at, who: a, what: e.what });
      if (!es?.some((e) => e.what === 'applied')) missing.push(a);
    }),
  );
  await Promise.all(
    keepers.map(async (k) => {
      for (const e of (await get<{ at: number; what: string }[]>(k, `/trace/${version}`)) ?? [])
        seen.push({ at: e.at, who: k, what: e.what });
    }),
  );
  return { version, seen: seen.sort((x, y) => x.at - y.at), missing };
}
