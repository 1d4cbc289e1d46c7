/**
 * Point 4: the journal of a control node against the number of changes: what a change adds to it, how large it is, and
 * how long it takes to read.
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
  /** The size in bytes above which the journal is rewritten, where it isn't the usual one. */
  readonly compactAboveBytes?: number;
}

/** The journal of one member after a number of changes. */
export interface JournalSize {
  readonly changes: number;
  readonly bytes: number;
  /** Bytes that each of the last changes added to the journal. */
  readonly bytesPerChange: number;
  /** Milliseconds of real time to read the journal; a figure of the machine, judged by nobody. */
  readonly readMs: number;
}

/** By what factor the bytes of a change may grow from the early changes to any later ones. */
const growthAllowed = 1.5;
const marksOfADecade = [1, 2, 5];
const valueBytes = 64;
const answerWithin = 2000;

function marksUpTo(changes: number): Set<number> {
  const marks = new Set<number>([changes]);
  for (let decade = 10; decade <= changes; decade *= 10)
    for (const m of marksOfADecade) if (m * decade <= changes) marks.add(m * decade);
  return marks;
}

async function write(c: ControlCluster, via: string, version: number): Promise<boolean> {
  const state: { answer?: ControlResponse } = {};
  const value = Buffer.alloc(valueBytes, version % 251);
  void c
    .request(via, { op: 'write', key: configurationKey, change: `change-${version}`, base: version, value })
    .then((answer) => (state.answer = answer));
  for (let waited = 0; waited < answerWithin && state.answer === undefined; waited += 1) await c.run(1);
  return state.answer?.status === 'done';
}

/** Makes the changes with every member there, and measures the journal of one of them at growing numbers. */
export async function playJournalRun(
  o: JournalRunOptions,
): Promise<{ readonly breaches: readonly ControlBreach[]; readonly sizes: readonly JournalSize[] }> {
  const names = memberNames(o.members);
  const cluster = await bootstrapControlCluster(
    o.seed,
    names,
    o.compactAboveBytes === undefined ? {} : { compactAboveBytes: o.compactAboveBytes },
  );
  await cluster.run(o.members > 3 ? 4000 : 1000);
  const measured = names[0]!;
  const marks = marksUpTo(o.changes);
  const sizes: JournalSize[] = [];
  const breaches: ControlBreach[] = [];
  const since = { changes: 0, written: 0 };
  let size = cluster.machine(measured).disk.bytes().length;
  for (let made = 0; made < o.changes;) {
    if (!(await write(cluster, names[made % names.length]!, made))) {
      breaches.push({ check: 'majorityTakesOrders', what: `change ${made + 1} is not taken` });
      break;
    }
    made += 1;
    const bytes = cluster.machine(measured).disk.bytes();
    // A journal that has shrunk was rewritten; what the change added is then not known.
    if (bytes.length >= size) {
      since.changes += 1;
      since.written += bytes.length - size;
    }
    size = bytes.length;
    if (!marks.has(made)) continue;
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

/** A change costs the journal about the same however many came before. */
export function checkGrowth(sizes: readonly JournalSize[]): ControlBreach[] {
  const first = sizes[0];
  return sizes
    .filter((s) => first !== undefined && s.bytesPerChange > growthAllowed * first.bytesPerChange)
    .map((s) => ({
      check: 'journalGrowsEvenly',
      what: `a change takes ${first!.bytesPerChange} B of the journal at first, ${s.bytesPerChange} B before change ${s.changes}`,
    }));
}
