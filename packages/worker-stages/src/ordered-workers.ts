/**
 * The workers that have been ordered to decode, as one control node knows it from its copy of the record and from the
 * orders that it gave itself: which are waited for, and which are passed over for a while.
 */
import type { World } from '@tansypost/inner-protocol';
import type { OrderRecord } from './order-record.js';
import type { OrderOutcome } from './ports.js';
import { createExpiringSet } from './expiring-set.js';

/** Knows the orders. */
export interface OrderedWorkers {
  /** All workers that the record says were ordered to decode. */
  readonly recovered: () => ReadonlySet<string>;
  readonly knows: (recordVersion: number) => boolean;
  /** Takes in a version of the record; workers ordered in it that were not known before are waited for. */
  readonly noteRecord: (version: number, record: OrderRecord) => void;
  readonly noteOutcome: (worker: string, outcome: OrderOutcome) => void;
  /** Waits for a worker that says that it is changing. */
  readonly waitFor: (worker: string) => void;
  /** A worker that gave no report is not chosen for a while. */
  readonly passOver: (worker: string) => void;
  readonly isWaitedFor: (worker: string) => boolean;
  readonly isPassedOver: (worker: string) => boolean;
}

/** How long a change may take beyond the switch: requests that run to their end, and the list that runs behind. */
const beyondSwitch = 5_000_000;
/** After an order without an answer the worker is asked again so much later. */
const unknownFor = 1_500_000;
const passedOverFor = 10_000_000;

/** No orders yet. `switchTime` is how long a worker takes to change, in microseconds. */
export function createOrderedWorkers(world: Pick<World, 'now'>, switchTime: () => number): OrderedWorkers {
  const coming = createExpiringSet(world);
  const passedOver = createExpiringSet(world);
  let recovered: ReadonlySet<string> = new Set();
  let recordVersion = 0;

  function noteRecord(version: number, record: OrderRecord): void {
    if (version <= recordVersion) return;
    recordVersion = version;
    const ordered = record.orders.filter((order) => order.stage === 'decode').map((order) => order.worker);
    for (const worker of ordered) if (!recovered.has(worker)) waitFor(worker);
    recovered = new Set(ordered);
  }

  function waitFor(worker: string): void {
    coming.keep(worker, switchTime() + beyondSwitch);
  }

  function passOver(worker: string): void {
    coming.drop(worker);
    passedOver.keep(worker, passedOverFor);
  }

  function noteOutcome(worker: string, outcome: OrderOutcome): void {
    switch (outcome) {
      case 'accepted':
      case 'holds':
      case 'busy':
        return waitFor(worker);
      case 'unknown':
        return coming.keep(worker, unknownFor);
      case 'fenced':
      case 'other':
      case 'refused':
        return passOver(worker);
    }
  }

  return {
    recovered: () => recovered,
    knows: (version) => version <= recordVersion,
    noteRecord,
    noteOutcome,
    waitFor,
    passOver,
    isWaitedFor: coming.has,
    isPassedOver: passedOver.has,
  };
}
