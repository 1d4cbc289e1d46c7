/** Limits the rate of calls of all duties of a leader by spacing them out evenly. */
import { micros, type World } from '@tansypost/inner-protocol';

/** The rate limit that all duties share. */
export interface CallRateLimiter {
  /** Returns whether a call may be made now, and if so uses up the permit. If not, `onAvailable` is called later. */
  readonly tryAcquire: () => boolean;
  readonly stop: () => void;
}

const microsPerSecond = 1_000_000;

/** Creates a limiter that calls `onAvailable` as soon as a call may be made again after one was denied. */
export function createCallRateLimiter(world: World, callsPerSecond: number, onAvailable: () => void): CallRateLimiter {
  const spacing = microsPerSecond / callsPerSecond;
  let nextAt = -Infinity;
  let cancel: (() => void) | undefined;

  function notifyAvailable(): void {
    cancel = undefined;
    onAvailable();
  }

  function tryAcquire(): boolean {
    if (world.now() >= nextAt) {
      nextAt = world.now() + spacing;
      return true;
    }
    cancel ??= world.after(micros(Math.ceil(nextAt - world.now())), notifyAvailable);
    return false;
  }

  return { tryAcquire, stop: () => cancel?.() };
}
