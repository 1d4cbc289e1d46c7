/**
 * Requests that come before the router knows its routes and workers.
 *
 * A router that has just started is told both within moments. A request waits for them, since a refusal would send it
 * to the next router, which may be starting as well; but it is answered while its requester can still be served in
 * time elsewhere.
 */
import { micros, type World } from '@tansypost/inner-protocol';

/**
 * The part of a route's aim for which a request may wait for a router that is starting. A refusal costs nothing within
 * a quarter of the aim; the rest is for the way to the requester.
 */
const maxTargetLatencyShare = 1 / 5;
/** The wait, in microseconds, while the route and so its aim are unknown. */
const unknownRouteWaitMicros = 150_000;
/** The wait is never longer than this part of what the requester waits. */
const maxClientTimeoutShare = 1 / 4;

/** Lets requests wait until the router is ready. */
export interface Readiness {
  /** Routes or workers have become known: those who wait look again. */
  readonly notifyChanged: () => void;
  /** Ends when the router is ready, or the longest wait since `arrived` is over. */
  readonly wait: (arrivedAt: number, clientTimeout: number, targetLatency: () => number | undefined) => Promise<void>;
}

/** Waits by the clock of `world` for `ready` to hold. */
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
