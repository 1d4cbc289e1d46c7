/**
 * Says when a service is left without a worker that runs requests, and when it has one again. Without one no request to
 * the service can be served, however many workers read prompts.
 */
import type { World } from '@tansypost/inner-protocol';
import type { FleetWorker } from './worker-fleet.js';

/** Follows the services that routes name, and the workers there are. */
export interface RunnerWatch {
  readonly look: (services: Iterable<string>, workers: readonly FleetWorker[]) => void;
}

/** Takes all services to have runners until a look shows otherwise. */
export function createRunnerWatch(world: Pick<World, 'log'>): RunnerWatch {
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
    const runners = staying.filter((worker) => worker.part === 'decode').length;
    if (runners > 0 === !without.has(service)) return;
    const readers = staying.length - runners;
    const leaving = workers.length - staying.length;
    if (runners > 0) without.delete(service);
    else without.add(service);
    world.log(runners > 0 ? 5108 : 5107, { service, runners, readers, leaving });
  }

  return { look };
}
