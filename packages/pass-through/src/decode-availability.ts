/**
 * Logs when a service has no decode worker left, and when it has one again. Without a decode worker no request to the
 * service can be served, however many prefill workers it has.
 */
import type { World } from '@tansypost/inner-protocol';
import type { FleetWorker } from './worker-fleet.js';

/** Monitors the services of all routes. */
export interface DecodeAvailability {
  /** Compares the current workers with the last check and logs changes. */
  readonly check: (services: Iterable<string>, workers: readonly FleetWorker[]) => void;
}

/** Assumes that all services have decode workers until a check shows otherwise. */
export function createDecodeAvailability(world: Pick<World, 'log'>): DecodeAvailability {
  const unavailable = new Set<string>();

  function check(services: Iterable<string>, workers: readonly FleetWorker[]): void {
    for (const service of services)
      checkService(
        service,
        workers.filter((worker) => worker.service === service),
      );
  }

  function checkService(service: string, workers: readonly FleetWorker[]): void {
    const serving = workers.filter((worker) => !worker.leaving);
    const decode = serving.filter((worker) => worker.part === 'decode').length;
    if (decode > 0 === !unavailable.has(service)) return;
    const prefill = serving.length - decode;
    const leaving = workers.length - serving.length;
    if (decode > 0) unavailable.delete(service);
    else unavailable.add(service);
    world.log(decode > 0 ? 5108 : 5107, { service, decode, prefill, leaving });
  }

  return { check };
}
