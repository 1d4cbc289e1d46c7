/**
 * Says when a service is left without a decode worker, and when it has one again. Without one no request to the service
 * can be served, however many workers read prompts.
 */
import type { World } from '@tansypost/inner-protocol';
import type { FleetWorker } from './worker-fleet.js';

/** Follows the services that routes name, and the workers there are. */
export interface DecodeWatch {
  readonly look: (services: Iterable<string>, workers: readonly FleetWorker[]) => void;
}

/** Takes all services to have decode workers until a look shows otherwise. */
export function createDecodeWatch(world: Pick<World, 'log'>): DecodeWatch {
  const without = new Set<string>();

  function look(services: Iterable<string>, workers: readonly FleetWorker[]): void {
    for (const service of services)
      lookAt(
        service,
        workers.filter((worker) => worker.service === service),
      );
  }

  function lookAt(service: string, workers: readonly FleetWorker[]): void {
    const staying = workers.filter((worker) => !worker.leaving);
    const decode = staying.filter((worker) => worker.part === 'decode').length;
    if (decode > 0 === !without.has(service)) return;
    const prefill = staying.length - decode;
    const leaving = workers.length - staying.length;
    if (decode > 0) without.delete(service);
    else without.add(service);
    world.log(decode > 0 ? 5108 : 5107, { service, decode, prefill, leaving });
  }

  return { look };
}
