/**
 * A router's counts of the requests that began to run, by window of true time and by tenant. They are cumulative and
 * stand under the router's process, so whoever collects them may hear them twice, late or after a loss. They are kept
 * until the content of their window is fixed.
 */
import type { MessageOf, UsageTable, World } from '@tansypost/inner-protocol';
import { windowOf } from './usage-window.js';

/** What a counter is told when it is made. */
export interface UsageCounterOptions {
  /** Name of the router, the same for all of its processes. */
  readonly router: string;
  /** An id of this process that no other process of the router has. */
  readonly process: string;
  /** Length of a window in milliseconds. */
  readonly windowLength: number;
  /** True time in milliseconds since 1970. */
  readonly trueTime: () => number;
  /** As many windows are kept, the newest ones, when nobody says which are fixed. */
  readonly maxWindows?: number;
}

/** A router's side of the reports of usage. */
export interface UsageCounter {
  /** A request of this tenant has begun to run. */
  readonly recordStart: (tenant: string) => void;
  /** What has changed since the asker heard last; it drops the windows that the ask says are fixed. */
  readonly answer: (ask: MessageOf<'UsageAsk'>) => MessageOf<'UsageTold'>;
  /** The windows that are kept. */
  readonly windows: () => readonly number[];
}

const defaultKeptWindows = 32;
/** The event for counts that are in no report. */
const lateEvent = 3502;

interface Counted {
  count: number;
  /** The number of the change that raised it last. */
  changed: number;
  /** So much of the count is known to have been heard. */
  heard: number;
}

type Table = Map<string, Counted>;

interface CounterState {
  readonly tables: Map<number, Table>;
  /** How many counts there were since the process began. */
  sequence: number;
  closedThrough: number;
}

/** Makes a counter that has counted nothing. */
export function createUsageCounter(world: Pick<World, 'log'>, options: UsageCounterOptions): UsageCounter {
  const state: CounterState = { tables: new Map(), sequence: 0, closedThrough: 0 };
  const keptWindows = options.maxWindows ?? defaultKeptWindows;

  function drop(window: number): void {
    const count = unheard(state.tables.get(window)!);
    state.tables.delete(window);
    if (count > 0) world.log(lateEvent, { router: options.router, window, count });
  }

  function dropClosed(): void {
    for (const window of [...state.tables.keys()]) if (window <= state.closedThrough) drop(window);
  }

  function dropOldest(): void {
    while (state.tables.size > keptWindows) drop(Math.min(...state.tables.keys()));
  }

  function began(tenant: string): void {
    countIn(state, windowOf(options.trueTime(), options.windowLength), tenant);
    dropOldest();
  }

  function answer(ask: MessageOf<'UsageAsk'>): MessageOf<'UsageTold'> {
    const after = ask.process === options.process ? ask.after : 0;
    noteHeard(state, after);
    state.closedThrough = Math.max(state.closedThrough, ask.closedThrough);
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

  return { recordStart: began, answer, windows: () => [...state.tables.keys()] };
}

function countIn(state: CounterState, window: number, tenant: string): void {
  const table = state.tables.get(window) ?? new Map<string, Counted>();
  state.tables.set(window, table);
  const counted = table.get(tenant) ?? { count: 0, changed: 0, heard: 0 };
  table.set(tenant, counted);
  state.sequence += 1;
  counted.count += 1;
  counted.changed = state.sequence;
}

function noteHeard(state: CounterState, after: number): void {
  for (const table of state.tables.values())
    for (const counted of table.values()) if (counted.changed <= after) counted.heard = counted.count;
}

function unheard(table: Table): number {
  return [...table.values()].reduce((sum, counted) => sum + counted.count - counted.heard, 0);
}

function changedAfter(state: CounterState, after: number): UsageTable[] {
  const tables: UsageTable[] = [];
  for (const [window, table] of state.tables) {
    const changed = [...table].filter(([, counted]) => counted.changed > after);
    const counts = changed.map(([tenant, { count }]) => ({ tenant, count }));
    if (counts.length > 0) tables.push({ window, counts });
  }
  return tables;
}
