/**
 * How many readers of a service have to become runners so that it can serve again.
 *
 * A service without a runner serves nothing, however many readers it has, and there is no traffic on which a change
 * could be rehearsed. So the first worker is changed at once, and is the rehearsal of the rest: more follow only once it
 * runs requests, and at most as many at a time as run by then. A service that has a runner of its own is left alone:
 * what would be better there is for an ordinary shift of parts to show.
 */
import type { ListedWorker } from '@tansypost/control-feed';

/** The workers of one service that stay, by their part. */
export interface ServiceWorkers {
  readonly readers: readonly ListedWorker[];
  readonly runners: readonly ListedWorker[];
  /** Runners that are leaving: they take no new requests. */
  readonly leavingRunners: number;
}

/** One of so many workers runs requests after a restoration: fewer than that is not worth more orders. */
const workersPerRunner = 3;

/** The workers of `service` in the list. */
export function workersOf(list: readonly ListedWorker[], service: string): ServiceWorkers {
  const workers = list.filter((worker) => worker.service === service);
  const staying = workers.filter((worker) => !worker.leaving);
  return {
    readers: staying.filter((worker) => worker.part === 'prefill'),
    runners: staying.filter((worker) => worker.part === 'decode'),
    leavingRunners: workers.filter((worker) => worker.leaving && worker.part === 'decode').length,
  };
}

/** The services in the list that need runners; most often there are none. */
export function servicesMissingRunners(list: readonly ListedWorker[], restored: ReadonlySet<string>): string[] {
  const withOwnRunner = new Set<string>();
  const withReader = new Set<string>();
  for (const worker of list) {
    if (worker.leaving) continue;
    if (worker.part === 'prefill') withReader.add(worker.service);
    else if (!restored.has(worker.id)) withOwnRunner.add(worker.service);
  }
  return [...withReader].filter((service) => !withOwnRunner.has(service));
}

/** How many readers have to become runners now; `restored` are the workers that were made runners before. */
export function runnersMissing({ readers, runners }: ServiceWorkers, restored: ReadonlySet<string>): number {
  if (readers.length === 0) return 0;
  if (runners.length === 0) return 1;
  if (runners.some((worker) => !restored.has(worker.id))) return 0;
  const wanted = Math.ceil((readers.length + runners.length) / workersPerRunner);
  return Math.max(0, Math.min(wanted - runners.length, runners.length));
}
