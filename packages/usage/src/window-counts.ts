/**
 * The counts of all open windows: the highest counts received by router, process and tenant, including those of processes
 * that have ended. Once the content of a window has been fixed it never changes; later counts are late and not reported.
 */
import type { UsageTable } from '@tansypost/inner-protocol';
import { createUsageContent, type UsageContent } from './usage-content.js';

type TenantCounts = Map<string, number>;

/** The counts of one window. */
interface WindowCounts {
  /** By router and process; undefined once only the content is kept. */
  tables: Map<string, TenantCounts> | undefined;
  content: UsageContent | undefined;
  /** Requests received after the content was fixed. */
  late: number;
}

/** The counts of the open windows. */
export interface WindowCountStore {
  /** Merges the table of a process; the name of the process includes that of its router. */
  readonly addTable: (process: string, table: UsageTable) => void;
  /** Returns the content of a window and fixes it. */
  readonly fixContent: (window: number) => UsageContent;
  /** Fixes the content of a window and drops everything else about it. */
  readonly compact: (window: number) => void;
  readonly has: (window: number) => boolean;
  /** The stored windows, in order. */
  readonly windows: () => readonly number[];
  /** Drops all windows before this one. */
  readonly dropBefore: (window: number) => void;
  /** Drops the oldest windows beyond this number. */
  readonly dropExcess: (maxWindows: number) => void;
  /** Drops the windows whose content is not fixed. */
  readonly dropOpen: () => void;
}

type CountsByWindow = Map<number, WindowCounts>;
type OnUnreported = (window: number, count: number) => void;

/** Creates an empty store. When a window is dropped, `onUnreported` gets the number of its requests that are in no report. */
export function createWindowCountStore(onUnreported: OnUnreported): WindowCountStore {
  const byWindow: CountsByWindow = new Map();
  return {
    addTable: (process, table) => mergeTable(getOrCreate(byWindow, table.window), process, table),
    fixContent: (window) => fixContent(getOrCreate(byWindow, window), window),
    compact: (window) => compact(getOrCreate(byWindow, window), window),
    has: (window) => byWindow.has(window),
    windows: () => sortedWindows(byWindow),
    dropBefore: (end) =>
      sortedWindows(byWindow).forEach((window) => window < end && drop(byWindow, window, onUnreported)),
    dropExcess: (maxWindows) => dropExcess(byWindow, maxWindows, onUnreported),
    dropOpen: () => dropOpen(byWindow),
  };
}

function getOrCreate(byWindow: CountsByWindow, window: number): WindowCounts {
  const counts = byWindow.get(window) ?? { tables: new Map<string, TenantCounts>(), content: undefined, late: 0 };
  byWindow.set(window, counts);
  return counts;
}

function fixContent(counts: WindowCounts, window: number): UsageContent {
  counts.content ??= createUsageContent(window, sumOf(counts));
  return counts.content;
}

function compact(counts: WindowCounts, window: number): void {
  fixContent(counts, window);
  counts.tables = undefined;
}

function drop(byWindow: CountsByWindow, window: number, onUnreported: OnUnreported): void {
  const count = byWindow.get(window)!.late;
  byWindow.delete(window);
  if (count > 0) onUnreported(window, count);
}

function dropExcess(byWindow: CountsByWindow, maxWindows: number, onUnreported: OnUnreported): void {
  const excess = Math.max(0, byWindow.size - maxWindows);
  for (const window of sortedWindows(byWindow).slice(0, excess)) {
    const counts = byWindow.get(window)!;
    counts.late += totalCount(fixContent(counts, window));
    drop(byWindow, window, onUnreported);
  }
}

function dropOpen(byWindow: CountsByWindow): void {
  for (const [window, counts] of byWindow) if (counts.content === undefined) byWindow.delete(window);
}

function sortedWindows(byWindow: ReadonlyMap<number, WindowCounts>): number[] {
  return [...byWindow.keys()].sort((a, b) => a - b);
}

function totalCount(content: UsageContent): number {
  return Object.values(content.counts).reduce((sum, count) => sum + count, 0);
}

/** Counts are cumulative, so a repeated or older table changes nothing. */
function mergeTable(counts: WindowCounts, process: string, table: UsageTable): void {
  if (counts.tables === undefined) return;
  const tenantCounts: TenantCounts = counts.tables.get(process) ?? new Map<string, number>();
  counts.tables.set(process, tenantCounts);
  for (const { tenant, count } of table.counts) {
    const known = tenantCounts.get(tenant) ?? 0;
    if (count <= known) continue;
    tenantCounts.set(tenant, count);
    if (counts.content !== undefined) counts.late += count - known;
  }
}

function sumOf(counts: WindowCounts): TenantCounts {
  const sum: TenantCounts = new Map();
  for (const tenantCounts of counts.tables?.values() ?? [])
    for (const [tenant, count] of tenantCounts) sum.set(tenant, (sum.get(tenant) ?? 0) + count);
  return sum;
}
