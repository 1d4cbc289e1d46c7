/**
 * This router's part of the fleet-wide retry budget, for each service: a ratio of its own requests in the last window,
 * plus an even part of the slack that the whole fleet may spend. Only a share of both is spent, because the windows of
 * other routers are not aligned with this one and changes of the router count are seen late.
 */

/** Counts requests and retries by service, and tells whether one more retry is allowed. */
export interface RetryBudget {
  readonly recordRequest: (service: string) => void;
  readonly hasRoom: (service: string) => boolean;
  readonly recordRetry: (service: string) => void;
  /** Counts since the start; written to metrics under these names. */
  readonly totals: () => { first: number; extra: number };
}

/** The retries allowed to the whole fleet: in each window, `ratio` of its requests plus `slack`. */
export interface RetryBudgetOptions {
  readonly ratio: number;
  readonly slack: number;
  /** Length of the sliding window in microseconds. */
  readonly window: number;
  readonly routerCount: () => number;
  /** The whole cluster starts for the first time, so no earlier process of this router has spent retries. */
  readonly isFirstStart?: boolean;
}

/** First attempts and retries in one slot of the window. */
interface Slot {
  readonly at: number;
  first: number;
  extra: number;
}

const slotsPerWindow = 20;
/** The share of the allowance that is spent. */
const spendableShare = 0.7;
/** Restarts of this router within one window that the budget allows for, besides the process before them. */
const maxRestartsPerWindow = 2;
/** The share spent in the first window after a start: earlier processes may have spent the rest in the same window. */
const spendableShareAfterStart = (1 - spendableShare) / maxRestartsPerWindow;

/** Creates a budget of which nothing was spent yet. */
export function createRetryBudget(now: () => number, options: RetryBudgetOptions): RetryBudget {
  const startedAt = now();
  const services = new Map<string, Slot[]>();
  const totals = { first: 0, extra: 0 };

  function slotsFor(service: string): Slot[] {
    let slots = services.get(service);
    if (slots === undefined) services.set(service, (slots = []));
    return slots;
  }

  /** The slots of the last window, with the current one at the end. */
  function recentSlots(service: string): Slot[] {
    const at = Math.floor((now() * slotsPerWindow) / options.window);
    const slots = slotsFor(service);
    while (slots.length > 0 && slots[0]!.at <= at - slotsPerWindow - 1) slots.shift();
    if (slots.at(-1)?.at !== at) slots.push({ at, first: 0, extra: 0 });
    return slots;
  }

  function hasRoom(service: string): boolean {
    const slots = recentSlots(service);
    const first = slots.reduce((sum, slot) => sum + slot.first, 0);
    const extra = slots.reduce((sum, slot) => sum + slot.extra, 0);
    const slack = Math.max(1, Math.floor(options.slack / Math.max(1, options.routerCount())));
    const mayHavePredecessor = options.isFirstStart !== true && now() - startedAt < options.window;
    const share = mayHavePredecessor ? spendableShareAfterStart : spendableShare;
    return extra + 1 <= share * (options.ratio * first + slack);
  }

  function count(service: string, kind: 'first' | 'extra'): void {
    totals[kind] += 1;
    recentSlots(service).at(-1)![kind] += 1;
  }

  return {
    recordRequest: (service) => count(service, 'first'),
    hasRoom,
    recordRetry: (service) => count(service, 'extra'),
    totals: () => ({ ...totals }),
  };
}
