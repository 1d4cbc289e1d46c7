/**
 * How many prefill workers of a service have to become decode workers so that it can serve again.
 *
 * A service without a decode worker serves nothing, however many prompts it can process, and has no traffic on which a
 * change could be tested in a rehearsal. The first worker is therefore switched at once and serves as the test for the
 * rest: more follow only when it runs requests, and at most as many at a time as there are decode workers by then. A
 * service with a decode worker of its own is not changed; an ordinary, rehearsed shift finds a better split there.
 */
import type { ListedWorker } from '@tansypost/control-feed';

/** The workers of one service that are not leaving, by stage. */
export interface ServiceWorkers {
  readonly prefill: readonly ListedWorker[];
  readonly decode: readonly ListedWorker[];
  /** Number of decode workers that are leaving, which accept no new requests. */
  readonly leavingDecode: number;
}

/** After a recovery one worker in this many decodes, which is enough for ordinary shifts to continue from. */
const workersPerDecode = 3;

/** The listed workers of `service`. */
export function workersOf(list: readonly ListedWorker[], service: string): ServiceWorkers {
  const workers = list.filter((worker) => worker.service === service);
  const staying = workers.filter((worker) => !worker.leaving);
  return {
    prefill: staying.filter((worker) => worker.part === 'prefill'),
    decode: staying.filter((worker) => worker.part === 'decode'),
    leavingDecode: workers.filter((worker) => worker.leaving && worker.part === 'decode').length,
  };
}

/** The services with prefill workers but no decode worker of their own; usually there are none. */
export function servicesMissingDecode(list: readonly ListedWorker[], recovered: ReadonlySet<string>): string[] {
  const withOwnDecode = new Set<string>();
  const withPrefill = new Set<string>();
  for (const worker of list) {
    if (worker.leaving) continue;
    if (worker.part === 'prefill') withPrefill.add(worker.service);
    else if (!recovered.has(worker.id)) withOwnDecode.add(worker.service);
  }
  return [...withPrefill].filter((service) => !withOwnDecode.has(service));
}

/** How many prefill workers have to become decode workers now; `recovered` are those that were ordered to do so before. */
export function missingDecodeWorkers({ prefill, decode }: ServiceWorkers, recovered: ReadonlySet<string>): number {
  if (prefill.length === 0) return 0;
  if (decode.length === 0) return 1;
  if (decode.some((worker) => !recovered.has(worker.id))) return 0;
  const target = Math.ceil((prefill.length + decode.length) / workersPerDecode);
  return Math.max(0, Math.min(target - decode.length, decode.length));
}
