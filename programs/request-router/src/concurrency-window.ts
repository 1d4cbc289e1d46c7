/**
 * Adaptive limit of the prefills that this router runs concurrently. The window shrinks when a prefill takes longer than
 * the target, and grows while it is full and prefills are fast enough. Under overload requests therefore wait here, where
 * they can be ordered by priority or rejected, and not in the workers' queues.
 */
import type { Micros } from '@tansypost/inner-protocol';

/** The current limit and the prefills in flight. */
export interface ConcurrencyWindow {
  readonly hasRoom: (granted?: number) => boolean;
  /** Counts a prefill; the returned function ends it. Only a successful one changes the limit. */
  readonly beginPrefill: () => (succeeded: boolean) => void;
  readonly isIdle: () => boolean;
  readonly size: () => number;
}

/** Creates a window of `initialSize` that never exceeds `maxSize`; `targetUs` is the target duration of a prefill. */
export function createConcurrencyWindow(
  now: () => Micros,
  targetUs: () => number,
  initialSize = 64,
  maxSize = 512,
): ConcurrencyWindow {
  let size = initialSize;
  let inFlight = 0;
  let shrunkAt = -Infinity;
  function beginPrefill(): (succeeded: boolean) => void {
    const startedAt = now();
    inFlight += 1;
    return function endPrefill(succeeded) {
      inFlight -= 1;
      if (!succeeded) return;
      const durationUs = now() - startedAt;
      if (durationUs > targetUs()) {
        if (now() - shrunkAt < Math.max(200_000, targetUs() / 2)) return;
        shrunkAt = now();
        size = Math.max(2, Math.min(size, inFlight + 1) * 0.7);
      } else if (inFlight + 1 >= 0.8 * size) size = Math.min(maxSize, size + 0.5);
    };
  }
  return {
    hasRoom: (granted = 0) => inFlight + granted < size,
    beginPrefill,
    isIdle: () => inFlight === 0,
    size: () => size,
  };
}
