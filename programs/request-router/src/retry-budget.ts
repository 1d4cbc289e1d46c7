/**
 * The common budget of retries and load probes: a fifth of the first attempts of the last ten seconds. Half of it is
 * granted to the zone leader for fetching load reports as traffic flows; what is granted counts as spent, whether or not it
 * is used. Unspent budget is saved only up to two retries (a repeated prefill and its decode) plus a fiftieth of the first
 * attempts of the last ten seconds. Otherwise the savings of a burst would be spent after it has ended, and the ten seconds
 * after it would hold far more retries than a fifth.
 */
import type { Micros } from '@tansypost/inner-protocol';

/** Counts first attempts and limits retries and probes by them. */
export interface RetryBudget {
  readonly recordFirstAttempt: () => void;
  /** How many retries are allowed now. */
  readonly availableRetries: () => number;
  readonly recordRetry: () => void;
  /** Grants the probes that are due; returns the total granted so far. */
  readonly grantProbes: () => number;
  readonly totals: () => { first: number; extra: number };
}
const budgetWindowUs = 10_000_000;
const slotUs = 100_000;
// A router begins with one retry, as a worker may fail before the first attempts have earned any budget.
const initialRetries = 1;
/** How many retries can be saved, however little traffic there is. */
export const maxSavedRetries = 2;
/** How many more can be saved, as a share of the first attempts within the budget window. */
export const savedRetryRatio = 0.02;

/** Creates a budget of `retryRatio` of the first attempts, of which probes get `probeRatio`. */
export function createRetryBudget(now: () => Micros, retryRatio = 0.2, probeRatio = 0.1): RetryBudget {
  const slots: { slotNumber: number; firstAttempts: number; spent: number }[] = [];
  let [firstAttempts, retries, probes] = [0, 0, 0];
  let savedRetries = initialRetries;
  function currentSlot(): { slotNumber: number; firstAttempts: number; spent: number } {
    const slotNumber = Math.floor(now() / slotUs);
    while (slots.length > 0 && slots[0]!.slotNumber <= slotNumber - budgetWindowUs / slotUs) slots.shift();
    if (slots.at(-1)?.slotNumber !== slotNumber) slots.push({ slotNumber, firstAttempts: 0, spent: 0 });
    return slots.at(-1)!;
  }
  function sums(): { firstAttempts: number; spent: number } {
    currentSlot();
    return slots.reduce(
      (sum, slot) => ({ firstAttempts: sum.firstAttempts + slot.firstAttempts, spent: sum.spent + slot.spent }),
      { firstAttempts: 0, spent: 0 },
    );
  }
  function availableRetries(): number {
    const total = sums();
    return Math.max(
      0,
      Math.floor(Math.min(savedRetries, retryRatio * total.firstAttempts + initialRetries - total.spent) + 1e-9),
    );
  }
  function spendRetry(): void {
    savedRetries -= 1;
    currentSlot().spent += 1;
  }
  return {
    recordFirstAttempt: () => {
      firstAttempts += 1;
      currentSlot().firstAttempts += 1;
      savedRetries = Math.min(savedRetries + retryRatio, maxSavedRetries + savedRetryRatio * sums().firstAttempts);
    },
    availableRetries,
    recordRetry: () => {
      retries += 1;
      spendRetry();
    },
    grantProbes: () => {
      const due = Math.floor(firstAttempts * probeRatio);
      while (probes < due && availableRetries() > 0) {
        probes += 1;
        spendRetry();
      }
      return probes;
    },
    totals: () => ({ first: firstAttempts, extra: retries }),
  };
}
