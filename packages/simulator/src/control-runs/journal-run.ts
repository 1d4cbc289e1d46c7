/**
 * Point 4: how the journal of a control node depends on the number of updates: bytes per update, total size, and the
 * time to read it.
 */
import { performance } from 'node:perf_hooks';
import { configurationKey, type ControlResponse } from '@tansypost/control-feed';
import { readJournal } from '@tansypost/control-state';
import { bootstrapControlCluster, type ControlCluster } from './control-cluster.js';
import type { ControlBreach } from './control-history.js';
import { memberNames } from './partition-run.js';

export interface JournalRunOptions {
  readonly seed: number;
  readonly members: number;
  readonly changes: number;
  /** The journal size in bytes above which the journal is compacted, where it differs from the default. */
  readonly compactAboveBytes?: number;
}

/** The journal of one member after a number of updates. */
export interface JournalSize {
  readonly changes: number;
  readonly bytes: number;
  /** The mean bytes that each update since the previous measurement added to the journal. */
  readonly bytesPerChange: number;
  /** Real time to read the journal; depends on the machine and is not checked. */
  readonly readMs: number;
}

/** The largest allowed ratio of the bytes per update at any measurement to those at the first one. */
const maxGrowthFactor = 1.5;
const measurementsPerDecade = [1, 2, 5];
const valueBytes = 64;
const responseTimeoutMs = 2000;

function measurementPoints(changes: number): Set<number> {
  const points = new Set<number>([changes]);
  for (let decade = 10; decade <= changes; decade *= 10)
    for (const multiple of measurementsPerDecade) if (multiple * decade <= changes) points.add(multiple * decade);
  return points;
}

async function write(cluster: ControlCluster, via: string, version: number): Promise<boolean> {
  const state: { response?: ControlResponse } = {};
  const value = Buffer.alloc(valueBytes, version % 251);
  void cluster
    .request(via, { op: 'write', key: configurationKey, change: `change-${version}`, base: version, value })
    .then((response) => (state.response = response));
  for (let waited = 0; waited < responseTimeoutMs && state.response === undefined; waited += 1) await cluster.run(1);
  return state.response?.status === 'done';
}

/** Makes the updates with every member present and measures the journal of one member at increasing counts. */
export async function playJournalRun(
  options: JournalRunOptions,
): Promise<{ readonly breaches: readonly ControlBreach[]; readonly sizes: readonly JournalSize[] }> {
  const names = memberNames(options.members);
  const cluster = await bootstrapControlCluster(
    options.seed,
    names,
    options.compactAboveBytes === undefined ? {} : { compactAboveBytes: options.compactAboveBytes },
  );
  await cluster.run(options.members > 3 ? 4000 : 1000);
  const measured = names[0]!;
  const points = measurementPoints(options.changes);
  const sizes: JournalSize[] = [];
  const breaches: ControlBreach[] = [];
  const since = { changes: 0, written: 0 };
  let size = cluster.machine(measured).disk.bytes().length;
  for (let made = 0; made < options.changes;) {
    if (!(await write(cluster, names[made % names.length]!, made))) {
      breaches.push({ check: 'majorityTakesOrders', what: `update ${made + 1} was not acknowledged` });
      break;
    }
    made += 1;
    const bytes = cluster.machine(measured).disk.bytes();
    // A smaller journal has been compacted; how much the update added is then unknown.
    if (bytes.length >= size) {
      since.changes += 1;
      since.written += bytes.length - size;
    }
    size = bytes.length;
    if (!points.has(made)) continue;
    const from = performance.now();
    readJournal(bytes);
    const openMs = Math.round((performance.now() - from) * 100) / 100;
    sizes.push({
      changes: made,
      bytes: size,
      bytesPerChange: Math.round(since.written / since.changes),
      readMs: openMs,
    });
    Object.assign(since, { changes: 0, written: 0 });
  }
  return { breaches: [...breaches, ...checkGrowth(sizes)], sizes };
}

/** Checks that the bytes per update do not grow with the number of updates. */
export function checkGrowth(sizes: readonly JournalSize[]): ControlBreach[] {
  const first = sizes[0];
  return sizes
    .filter((size) => first !== undefined && size.bytesPerChange > maxGrowthFactor * first.bytesPerChange)
    .map((size) => ({
      check: 'journalGrowsEvenly',
      what: `an update adds ${first!.bytesPerChange} B to the journal at first, ${size.bytesPerChange} B before update ${size.changes}`,
    }));
}
