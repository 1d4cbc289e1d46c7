/** Ends an attempt when its request's time is over, when the requester leaves, or when the worker is left. */
import { micros, type World } from '@tansypost/inner-protocol';
import type { InFlightRequest } from './in-flight-request.js';

/** Aborts one attempt; `end` takes back timer and listener. */
export interface AttemptAbort {
  readonly signal: AbortSignal;
  readonly abort: () => void;
  readonly end: () => void;
}

/** Aborts at the limit of the request, and when its requester leaves. */
export function createAttemptAbort(world: World, inFlight: InFlightRequest): AttemptAbort {
  const controller = new AbortController();
  function abort(): void {
    controller.abort();
  }
  const cancelLimit = world.after(micros(Math.max(0, inFlight.limit - world.now())), abort);
  inFlight.gone.addEventListener('abort', abort, { once: true });
  inFlight.abortAttempt = abort;
  return {
    signal: controller.signal,
    abort,
    end: () => {
      cancelLimit();
      inFlight.abortAttempt = undefined;
      inFlight.gone.removeEventListener('abort', abort);
    },
  };
}
