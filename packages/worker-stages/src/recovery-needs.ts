/** Which services need decode workers beyond those that have been ordered, and since when, as one control node sees it. */
import type { ListedWorker } from '@tansypost/control-feed';
import type { World } from '@tansypost/inner-protocol';
import type { OrderedWorkers } from './ordered-workers.js';
import { missingDecodeWorkers, servicesMissingDecode, workersOf } from './recovery-plan.js';

/** Where the needs are read from. */
export interface RecoveryNeedsOptions {
  /** The newest list of workers. */
  readonly workers: () => readonly ListedWorker[];
  /** Names of the services that requests are sent to. */
  readonly served: () => readonly string[];
  /** This node's place among the live ones: 0 is the first. */
  readonly rank: () => number;
  readonly ordered: OrderedWorkers;
}

/** The needs as one control node sees them. */
export interface RecoveryNeeds {
  /** Looks at the list. */
  readonly look: () => void;
  /** A service whose need has lasted long enough for this node to act. */
  readonly due: () => string | undefined;
  /** Whether the service needs more than what has been ordered. */
  readonly isMissing: (service: string) => boolean;
}

/** A need lasts until there are decode workers enough, also while ordered ones are waited for. */
interface Need {
  readonly since: number;
  /** Its last decode workers leave in order, so that they are certain not to come back. */
  readonly inOrder: boolean;
}

/**
 * How long a need must last, in microseconds. Workers that leave in order do not come back; those that vanished may; and
 * where no decode worker has been seen yet, they may just be starting.
 */
const patience = { leftInOrder: 300_000, vanished: 2_000_000, neverSeen: 6_000_000 } as const;
/** Each further control node, by its rank, waits so much longer, so that seldom more than one calls an election. */
const patiencePerRank = 2_000_000;

/** Needs of which nothing is known yet. */
export function createRecoveryNeeds(world: Pick<World, 'now'>, options: RecoveryNeedsOptions): RecoveryNeeds {
  const needs = new Map<string, Need>();
  const seenWithDecode = new Set<string>();
  const { ordered } = options;

  function missing(service: string): number {
    return missingDecodeWorkers(workersOf(options.workers(), service), ordered.recovered());
  }

  function isMissing(service: string): boolean {
    const { prefill } = workersOf(options.workers(), service);
    return missing(service) > prefill.filter((worker) => ordered.isWaitedFor(worker.id)).length;
  }

  function look(): void {
    const list = options.workers();
    for (const worker of list) if (worker.part === 'decode') seenWithDecode.add(worker.service);
    const lacking = servicesMissingDecode(list, ordered.recovered());
    const served = new Set(lacking.length === 0 ? [] : options.served());
    const needy = lacking.filter((service) => served.has(service) && missing(service) > 0);
    for (const service of needs.keys()) if (!needy.includes(service)) needs.delete(service);
    for (const service of needy) note(service);
  }

  function note(service: string): void {
    const known = needs.get(service);
    const { decode, leavingDecode } = workersOf(options.workers(), service);
    const inOrder = known?.inOrder === true || leavingDecode > 0 || decode.length > 0;
    needs.set(service, { since: known?.since ?? world.now(), inOrder });
  }

  function due(): string | undefined {
    const later = options.rank() * patiencePerRank;
    for (const [service, need] of needs)
      if (world.now() >= need.since + patienceOf(service, need) + later && isMissing(service)) return service;
    return undefined;
  }

  function patienceOf(service: string, { inOrder }: Need): number {
    if (inOrder) return patience.leftInOrder;
    return seenWithDecode.has(service) ? patience.vanished : patience.neverSeen;
  }

  return { look, due, isMissing };
}
