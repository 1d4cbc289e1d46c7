/**
 * Traces one version of the desired state through all daemons: queries each control node for when it was committed and
 * acknowledged, and each agent for when the update arrived and when its router had applied it.
 */
import { request } from 'undici';

/** One step that a daemon recorded for the version. */
export interface TraceEvent {
  /** Wall-clock time in microseconds. */
  readonly at: number;
  readonly who: string;
  readonly what: string;
}
/** How one version spread through all daemons. */
export interface Trace {
  readonly version: number;
  readonly events: readonly TraceEvent[];
  /** Agents whose routers have not applied it. */
  readonly missing: readonly string[];
}

interface TraceEntry {
  readonly at: number;
  readonly what: string;
}

const queryTimeoutMs = 2000;

/** The steps that the daemon at this HTTP address recorded for the version; undefined if it does not respond. */
async function fetchEntries(address: string, version: number): Promise<TraceEntry[] | undefined> {
  const timeouts = { headersTimeout: queryTimeoutMs, bodyTimeout: queryTimeoutMs };
  try {
    const response = await request(`http://${address}/trace/${version}`, timeouts);
    return (await response.body.json()) as TraceEntry[];
  } catch {
    return undefined;
  }
}

/** Queries all agents and control nodes once, each at its HTTP address. */
export async function traceOnce(
  agents: readonly string[],
  controlNodes: readonly string[],
  version: number,
): Promise<Trace> {
  const events: TraceEvent[] = [];
  const missing: string[] = [];

  async function query(who: string, mustApply: boolean): Promise<void> {
    const entries = await fetchEntries(who, version);
    for (const { at, what } of entries ?? []) events.push({ at, who, what });
    if (mustApply && !entries?.some((entry) => entry.what === 'applied')) missing.push(who);
  }

  await Promise.all([...agents.map((agent) => query(agent, true)), ...controlNodes.map((node) => query(node, false))]);
  return { version, events: events.sort((a, b) => a.at - b.at), missing };
}
