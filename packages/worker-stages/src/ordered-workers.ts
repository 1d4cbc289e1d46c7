/**
 * The workers that have been ordered to decode, as one control node knows them from its replica of the order record and from
 * the orders that it sent itself: which of them are pending, and which are temporarily excluded.
 */
import type { World } from '@tansypost/inner-protocol';
import type { OrderRecord } from './order-record.js';
import type { OrderOutcome } from './ports.js';
import { createExpiringSet } from './expiring-set.js';

/** The state of the orders to workers. */
export interface OrderedWorkers {
  /** Ids of all workers that were ordered to decode according to the record. */
  readonly recovered: () => ReadonlySet<string>;
  /** Whether this version of the record, or a later one, has been applied. */
  readonly hasSeen: (recordVersion: number) => boolean;
  /** Applies a version of the record; workers whose order is new in it become pending. */
  readonly updateRecord: (version: number, record: OrderRecord) => void;
  readonly handleOutcome: (worker: string, outcome: OrderOutcome) => void;
  /** Marks a worker as pending that is expected to become a decode worker. */
  readonly markPending: (worker: string) => void;
  /** Excludes a worker from being chosen for a while. */
  readonly exclude: (worker: string) => void;
  readonly isPending: (worker: string) => boolean;
  readonly isExcluded: (worker: string) => boolean;
}

/** Time beyond the stage switch itself: running requests have to finish, and the worker list lags behind. */
const switchMarginUs = 5_000_000;
/** After an order without an answer, the worker stays pending for this time and is then asked again. */
const unknownOutcomeWaitUs = 1_500_000;
const exclusionUs = 10_000_000;

/** Creates the state without any orders. `switchTime` is how long a stage switch takes, in microseconds. */
export function createOrderedWorkers(world: Pick<World, 'now'>, switchTime: () => number): OrderedWorkers {
  const pending = createExpiringSet(world);
  const excluded = createExpiringSet(world);
  let recovered: ReadonlySet<string> = new Set();
  let recordVersion = 0;

  function updateRecord(version: number, record: OrderRecord): void {
    if (version <= recordVersion) return;
    recordVersion = version;
    const ordered = record.orders.filter((order) => order.stage === 'decode').map((order) => order.worker);
    for (const worker of ordered) if (!recovered.has(worker)) markPending(worker);
    recovered = new Set(ordered);
  }

  function markPending(worker: string): void {
    pending.add(worker, switchTime() + switchMarginUs);
  }

  function exclude(worker: string): void {
    pending.remove(worker);
    excluded.add(worker, exclusionUs);
  }

  function handleOutcome(worker: string, outcome: OrderOutcome): void {
    switch (outcome) {
      case 'accepted':
      case 'holds':
      case 'busy':
        return markPending(worker);
      case 'unknown':
        return pending.add(worker, unknownOutcomeWaitUs);
      case 'fenced':
      case 'other':
      case 'refused':
        return exclude(worker);
    }
  }

  return {
    recovered: () => recovered,
    hasSeen: (version) => version <= recordVersion,
    updateRecord,
    handleOutcome,
    markPending,
    exclude,
    isPending: pending.has,
    isExcluded: excluded.has,
  };
}
