/**
 * A router's counts of the requests that started to run, by window of true time and by tenant. Counts are cumulative and
 * identified by the router's process, so a collector may receive them twice, late, or after a lost message. They are kept
 * until the content of their window is fixed.
 */
import type { MessageOf, UsageTable, World } from '@tansypost/inner-protocol';
import { windowOf } from './usage-window.js';

/** Dependencies and settings of a counter. */
export interface UsageCounterOptions {
  /** Name of the router, the same for all of its processes. */
  readonly router: string;
  /** Id of this process, unique among all processes of the router. */
  readonly process: string;
  /** Length of a window in milliseconds. */
  readonly windowLength: number;
  /** True time in milliseconds since 1970. */
  readonly trueTime: () => number;
  /** Number of windows kept while no collector tells which windows are fixed; older windows are dropped. */
  readonly maxWindows?: number;
}

/** The router's side of usage reporting. */
export interface UsageCounter {
  /** Counts a request of this tenant that has started to run. */
  readonly recordStart: (tenant: string) => void;
  /** Answers a collector's poll with the counts that it does not have yet, and drops the windows that are fixed. */
  readonly answer: (poll: MessageOf<'UsageAsk'>) => MessageOf<'UsageTold'>;
  /** The windows that are stored. */
  readonly windows: () => readonly number[];
}

const defaultMaxWindows = 32;
/** The log event for counts that are in no report. */
const lateEvent = 3502;

interface TenantCount {
  count: number;
  /** Sequence number of the latest change of this count. */
  changeNumber: number;
  /** How much of the count a collector is known to have received. */
  acknowledged: number;
}

type Table = Map<string, TenantCount>;

interface CounterState {
  readonly tables: Map<number, Table>;
  /** Sequence number of the latest change, which is the number of requests counted since the process started. */
  sequence: number;
  closedThrough: number;
}

/** Creates a counter without any counts. */
export function createUsageCounter(world: Pick<World, 'log'>, options: UsageCounterOptions): UsageCounter {
  const state: CounterState = { tables: new Map(), sequence: 0, closedThrough: 0 };
  const maxWindows = options.maxWindows ?? defaultMaxWindows;

  function drop(window: number): void {
    const count = unacknowledged(state.tables.get(window)!);
    state.tables.delete(window);
    if (count > 0) world.log(lateEvent, { router: options.router, window, count });
  }

  function dropClosed(): void {
    for (const window of [...state.tables.keys()]) if (window <= state.closedThrough) drop(window);
  }

  function dropOldest(): void {
    while (state.tables.size > maxWindows) drop(Math.min(...state.tables.keys()));
  }

  function recordStart(tenant: string): void {
    incrementCount(state, windowOf(options.trueTime(), options.windowLength), tenant);
    dropOldest();
  }

  function answer(poll: MessageOf<'UsageAsk'>): MessageOf<'UsageTold'> {
    const after = poll.process === options.process ? poll.after : 0;
    acknowledge(state, after);
    state.closedThrough = Math.max(state.closedThrough, poll.closedThrough);
    dropClosed();
    const { router, process } = options;
    const now = Math.floor(options.trueTime());
    return {
      kind: 'UsageTold',
      router,
      process,
      now,
      after,
      sequence: state.sequence,
      tables: changedAfter(state, after),
    };
  }

  return { recordStart, answer, windows: () => [...state.tables.keys()] };
}

function incrementCount(state: CounterState, window: number, tenant: string): void {
  const table = state.tables.get(window) ?? new Map<string, TenantCount>();
  state.tables.set(window, table);
  const entry = table.get(tenant) ?? { count: 0, changeNumber: 0, acknowledged: 0 };
  table.set(tenant, entry);
  state.sequence += 1;
  entry.count += 1;
  entry.changeNumber = state.sequence;
}

function acknowledge(state: CounterState, after: number): void {
  for (const table of state.tables.values())
    for (const entry of table.values()) if (entry.changeNumber <= after) entry.acknowledged = entry.count;
}

function unacknowledged(table: Table): number {
  return [...table.values()].reduce((sum, entry) => sum + entry.count - entry.acknowledged, 0);
}

function changedAfter(state: CounterState, after: number): UsageTable[] {
  const tables: UsageTable[] = [];
  for (const [window, table] of state.tables) {
    const changed = [...table].filter(([, entry]) => entry.changeNumber > after);
    const counts = changed.map(([tenant, { count }]) => ({ tenant, count }));
    if (counts.length > 0) tables.push({ window, counts });
  }
  return tables;
}
