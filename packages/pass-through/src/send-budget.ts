/**
 * This router's part of the fleet's budget for sends beyond the first of each request, one for each service: a share of
 * its own requests of the last window, and an even part of what the fleet may always spend. Both are kept below what is
 * allowed, as windows of others slide differently and the count of routers is known late.
 */

/** Counts sends by service, and says whether one more is allowed. */
export interface RetryBudget {
  readonly recordRequest: (service: string) => void;
  readonly hasRoom: (service: string) => boolean;
  readonly recordRetry: (service: string) => void;
  readonly totals: () => { first: number; extra: number };
}

/** What the whole fleet may spend: in each window, `share` of its requests and `always` on top. */
export interface RetryBudgetOptions {
  readonly ratio: number;
  readonly slack: number;
  readonly window: number;
  readonly routerCount: () => number;
  /** The whole system has just begun, so no former life of this router has spent anything. */
  readonly isFirstStart?: boolean;
}

/** Sends in one slot of the window. */
interface Slot {
  readonly at: number;
  first: number;
  extra: number;
}

const slotsOfWindow = 20;
/** The part of the allowance that is spent. */
const caution = 0.7;
/** Lives of this router that may begin within one window, beside the one before them. */
const livesInWindow = 2;
/** The part that is spent in the first window: former lives of this router may have spent the rest in the same window. */
const cautionAtFirst = (1 - caution) / livesInWindow;

/** A budget of which nothing has been spent. */
export function createRetryBudget(now: () => number, terms: RetryBudgetOptions): RetryBudget {
  const startedAt = now();
  const services = new Map<string, Slot[]>();
  const totals = { first: 0, extra: 0 };

  function slotsOf(service: string): Slot[] {
    let slots = services.get(service);
    if (slots === undefined) services.set(service, (slots = []));
    return slots;
  }

  /** The slots of the last window, with the present one at the end. */
  function recent(service: string): Slot[] {
    const at = Math.floor((now() * slotsOfWindow) / terms.window);
    const slots = slotsOf(service);
    while (slots.length > 0 && slots[0]!.at <= at - slotsOfWindow - 1) slots.shift();
    if (slots.at(-1)?.at !== at) slots.push({ at, first: 0, extra: 0 });
    return slots;
  }

  function room(service: string): boolean {
    const slots = recent(service);
    const first = slots.reduce((sum, slot) => sum + slot.first, 0);
    const extra = slots.reduce((sum, slot) => sum + slot.extra, 0);
    const always = Math.max(1, Math.floor(terms.slack / Math.max(1, terms.routerCount())));
    const mayFollowOther = terms.isFirstStart !== true && now() - startedAt < terms.window;
    const part = mayFollowOther ? cautionAtFirst : caution;
    return extra + 1 <= part * (terms.ratio * first + always);
  }

  function count(service: string, kind: 'first' | 'extra'): void {
    totals[kind] += 1;
    recent(service).at(-1)![kind] += 1;
  }

  return {
    recordRequest: (service) => count(service, 'first'),
    hasRoom: room,
    recordRetry: (service) => count(service, 'extra'),
    totals: () => ({ ...totals }),
  };
}
