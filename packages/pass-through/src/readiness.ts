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
const shareOfAim = 1 / 5;
/** The wait, in microseconds, while the route and so its aim are unknown. */
const routeUnknownWait = 150_000;
/** The wait is never longer than this part of what the requester waits. */
const shareOfPatience = 1 / 4;

/** Lets requests wait until the router is ready. */
export interface Readiness {
  /** Routes or workers have become known: those who wait look again. */
  readonly changed: () => void;
  /** Ends when the router is ready, or the longest wait since `arrived` is over. */
  readonly wait: (arrived: number, patience: number, aim: () => number | undefined) => Promise<void>;
}

/** Waits by the clock of `world` for `ready` to hold. */
export function createReadiness(world: World, ready: () => boolean): Readiness {
  const waiting = new Set<() => void>();

  function changed(): void {
    for (const lookAgain of [...waiting]) lookAgain();
  }

  function changeWithin(longest: number): Promise<void> {
    return new Promise((done) => {
      const cancel = world.after(micros(longest), end);
      function end(): void {
        cancel();
        if (waiting.delete(end)) done();
      }
      waiting.add(end);
    });
  }

  async function wait(arrived: number, patience: number, aim: () => number | undefined): Promise<void> {
    while (!ready()) {
      const known = aim();
      const longest = Math.min(known === undefined ? routeUnknownWait : shareOfAim * known, shareOfPatience * patience);
      const left = arrived + longest - world.now();
      if (left <= 0) return;
      await changeWithin(Math.ceil(left));
    }
  }

  return { changed, wait };
}
