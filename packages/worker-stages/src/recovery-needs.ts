/** Which services need more decode workers than have been ordered, and since when, as one control node sees it. */
import type { ListedWorker } from '@tansypost/control-feed';
import type { World } from '@tansypost/inner-protocol';
import type { OrderedWorkers } from './ordered-workers.js';
import { missingDecodeWorkers, servicesMissingDecode, workersOf } from './recovery-plan.js';

/** Dependencies of the recovery needs. */
export interface RecoveryNeedsOptions {
  /** The newest list of workers. */
  readonly workers: () => readonly ListedWorker[];
  /** Names of the services that requests are sent to. */
  readonly served: () => readonly string[];
  /** This node's rank among the live control nodes, from 0. */
  readonly rank: () => number;
  readonly ordered: OrderedWorkers;
}

/** The recovery needs of all services. */
export interface RecoveryNeeds {
  /** Updates the needs from the worker list. */
  readonly poll: () => void;
  /** A service whose need has lasted long enough for this node to act, if there is one. */
  readonly dueService: () => string | undefined;
  /** Whether the service needs more decode workers than are pending. */
  readonly needsMoreOrders: (service: string) => boolean;
}

/** A need lasts until there are enough decode workers, and so also while ordered ones are pending. */
interface Need {
  readonly since: number;
  /** Whether decode workers were seen to leave gracefully, so that they will not come back, or recovered ones remain. */
  readonly leftGracefully: boolean;
}

/**
 * How long a need must last before a node acts. Workers that leave gracefully do not come back; workers that vanished may
 * come back; and if no decode worker has been seen yet, the first ones may still be starting.
 */
const needDurationsUs = { leftGracefully: 300_000, vanished: 2_000_000, neverSeen: 6_000_000 } as const;
/** Additional delay per rank, so that seldom more than one control node calls an election. */
const delayPerRankUs = 2_000_000;

/** Creates the needs before any worker list has been seen. */
export function createRecoveryNeeds(world: Pick<World, 'now'>, options: RecoveryNeedsOptions): RecoveryNeeds {
  const needs = new Map<string, Need>();
  const seenWithDecode = new Set<string>();
  const { ordered } = options;

  function missingWorkers(service: string): number {
    return missingDecodeWorkers(workersOf(options.workers(), service), ordered.recovered());
  }

  function needsMoreOrders(service: string): boolean {
    const { prefill } = workersOf(options.workers(), service);
    return missingWorkers(service) > prefill.filter((worker) => ordered.isPending(worker.id)).length;
  }

  function poll(): void {
    const list = options.workers();
    for (const worker of list) if (worker.part === 'decode') seenWithDecode.add(worker.service);
    const withoutOwnDecode = servicesMissingDecode(list, ordered.recovered());
    const served = new Set(withoutOwnDecode.length === 0 ? [] : options.served());
    const needyServices = withoutOwnDecode.filter((service) => served.has(service) && missingWorkers(service) > 0);
    for (const service of needs.keys()) if (!needyServices.includes(service)) needs.delete(service);
    for (const service of needyServices) recordNeed(service);
  }

  function recordNeed(service: string): void {
    const known = needs.get(service);
    const { decode, leavingDecode } = workersOf(options.workers(), service);
    const leftGracefully = known?.leftGracefully === true || leavingDecode > 0 || decode.length > 0;
    needs.set(service, { since: known?.since ?? world.now(), leftGracefully });
  }

  function dueService(): string | undefined {
    const rankDelay = options.rank() * delayPerRankUs;
    for (const [service, need] of needs)
      if (world.now() >= need.since + requiredDuration(service, need) + rankDelay && needsMoreOrders(service))
        return service;
    return undefined;
  }

  function requiredDuration(service: string, { leftGracefully }: Need): number {
    if (leftGracefully) return needDurationsUs.leftGracefully;
    return seenWithDecode.has(service) ? needDurationsUs.vanished : needDurationsUs.neverSeen;
  }

  return { poll, dueService, needsMoreOrders };
}
