/**
 * Holds requests that arrive before the router knows its routes and workers.
 *
 * A router that has just started receives both soon. Requests wait for them, since a rejection would send the client
 * to another router, which may be starting as well; but they are rejected early enough to be served in time elsewhere.
 */
import { micros, type World } from '@tansypost/inner-protocol';

/**
 * Maximum wait for a starting router as a share of the route's target latency. A rejection within a quarter of the
 * target costs nothing; the difference is for the network path to the client.
 */
const maxTargetLatencyShare = 1 / 5;
/** Maximum wait while the route, and so its target latency, is unknown. */
const unknownRouteWaitMicros = 150_000;
/** Maximum wait as a share of the client's timeout. */
const maxClientTimeoutShare = 1 / 4;

/** Lets requests wait until the router is ready. */
export interface Readiness {
  /** Routes or workers have become known: waiting requests check again. */
  readonly notifyChanged: () => void;
  /** Resolves when the router is ready, or when the maximum wait since `arrivedAt` is over. */
  readonly wait: (arrivedAt: number, clientTimeout: number, targetLatency: () => number | undefined) => Promise<void>;
}

/** Lets requests wait for `ready`, by the clock of `world`. */
export function createReadiness(world: World, ready: () => boolean): Readiness {
  const waiting = new Set<() => void>();

  function notifyChanged(): void {
    for (const recheck of [...waiting]) recheck();
  }

  function waitForChange(maxWait: number): Promise<void> {
    return new Promise((done) => {
      const cancel = world.after(micros(maxWait), end);
      function end(): void {
        cancel();
        if (waiting.delete(end)) done();
      }
      waiting.add(end);
    });
  }

  async function wait(
    arrivedAt: number,
    clientTimeout: number,
    targetLatency: () => number | undefined,
  ): Promise<void> {
    while (!ready()) {
      const routeTarget = targetLatency();
      const maxWait = Math.min(
        routeTarget === undefined ? unknownRouteWaitMicros : maxTargetLatencyShare * routeTarget,
        maxClientTimeoutShare * clientTimeout,
      );
      const remaining = arrivedAt + maxWait - world.now();
      if (remaining <= 0) return;
      await waitForChange(Math.ceil(remaining));
    }
  }

  return { notifyChanged, wait };
}
