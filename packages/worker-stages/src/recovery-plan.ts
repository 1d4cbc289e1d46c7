/**
 * How many prefill workers of a service have to become decode workers so that it can serve again.
 *
 * A service without a decode worker serves nothing, however many prompts it can read, and has no traffic on which a change
 * could be rehearsed. So the first worker is changed at once, and is the rehearsal of the rest: more follow only once it
 * runs requests, and at most as many at a time as run by then. A service that has a decode worker of its own is left alone:
 * what would be better there is for an ordinary, rehearsed shift to show.
 */
import type { ListedWorker } from '@tansypost/control-feed';

/** The workers of one service that stay, by their stage. */
export interface ServiceWorkers {
  readonly prefill: readonly ListedWorker[];
  readonly decode: readonly ListedWorker[];
  /** Decode workers that are leaving: they take no new requests. */
  readonly leavingDecode: number;
}

/** After a recovery one of so many workers decodes; that is enough for ordinary shifts to go on from. */
const workersPerDecode = 3;

/** The workers of `service` in the list. */
export function workersOf(list: readonly ListedWorker[], service: string): ServiceWorkers {
  const workers = list.filter((worker) => worker.service === service);
  const staying = workers.filter((worker) => !worker.leaving);
  return {
    prefill: staying.filter((worker) => worker.part === 'prefill'),
    decode: staying.filter((worker) => worker.part === 'decode'),
    leavingDecode: workers.filter((worker) => worker.leaving && worker.part === 'decode').length,
  };
}

/** The services in the list that may need decode workers; most often there are none. */
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

/** How many prefill workers have to become decode workers now; `recovered` are those that were made so before. */
export function missingDecodeWorkers({ prefill, decode }: ServiceWorkers, recovered: ReadonlySet<string>): number {
  if (prefill.length === 0) return 0;
  if (decode.length === 0) return 1;
  if (decode.some((worker) => !recovered.has(worker.id))) return 0;
  const wanted = Math.ceil((prefill.length + decode.length) / workersPerDecode);
  return Math.max(0, Math.min(wanted - decode.length, decode.length));
}
