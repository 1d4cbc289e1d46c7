/**
 * Follows one version of the desired state through every daemon: asks each keeper when it was committed and
 * acknowledged, and each agent when the news came and when its router had applied it.
 */
import { request } from 'undici';

/** What one daemon has seen of the change. */
export interface Seen {
  /** Wall-clock time in microseconds. */
  readonly at: number;
  readonly who: string;
  readonly what: string;
}
/** The way of one version through all daemons. */
export interface Trace {
  readonly version: number;
  readonly seen: readonly Seen[];
  /** Agents whose routers have not applied it. */
  readonly missing: readonly string[];
}

interface TraceEntry {
  readonly at: number;
  readonly what: string;
}

const patienceMs = 2000;

/** What the daemon at this HTTP address has seen of the version; undefined where it does not answer. */
async function entriesOf(address: string, version: number): Promise<TraceEntry[] | undefined> {
  const patience = { headersTimeout: patienceMs, bodyTimeout: patienceMs };
  try {
    const answer = await request(`http://${address}/trace/${version}`, patience);
    return (await answer.body.json()) as TraceEntry[];
  } catch {
    return undefined;
  }
}

/** Asks all agents and keepers once, each at its HTTP address. */
export async function traceOnce(
  agents: readonly string[],
  keepers: readonly string[],
  version: number,
): Promise<Trace> {
  const seen: Seen[] = [];
  const missing: string[] = [];

  async function ask(who: string, mustApply: boolean): Promise<void> {
    const entries = await entriesOf(who, version);
    for (const { at, what } of entries ?? []) seen.push({ at, who, what });
    if (mustApply && !entries?.some((entry) => entry.what === 'applied')) missing.push(who);
  }

  await Promise.all([...agents.map((agent) => ask(agent, true)), ...keepers.map((keeper) => ask(keeper, false))]);
  return { version, seen: seen.sort((a, b) => a.at - b.at), missing };
}
