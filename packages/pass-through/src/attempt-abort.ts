/** Aborts an attempt when the deadline of its request passes, the client disconnects, or the worker is abandoned. */
import { micros, type World } from '@tansypost/inner-protocol';
import type { InFlightRequest } from './in-flight-request.js';

/** Aborts one attempt; `dispose` removes the timer and the listener. */
export interface AttemptAbort {
  readonly signal: AbortSignal;
  readonly abort: () => void;
  readonly dispose: () => void;
}

/** Aborts at the deadline of the request, and when its client disconnects. */
export function createAttemptAbort(world: World, inFlight: InFlightRequest): AttemptAbort {
  const controller = new AbortController();
  function abort(): void {
    controller.abort();
  }
  const cancelDeadline = world.after(micros(Math.max(0, inFlight.deadline - world.now())), abort);
  inFlight.clientGone.addEventListener('abort', abort, { once: true });
  inFlight.abortAttempt = abort;
  return {
    signal: controller.signal,
    abort,
    dispose: () => {
      cancelDeadline();
      inFlight.abortAttempt = undefined;
      inFlight.clientGone.removeEventListener('abort', abort);
    },
  };
}
