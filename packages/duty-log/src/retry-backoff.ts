/** Exponential backoff with jitter, for each subject, between attempts of a call that had no definite outcome. */
import type { World } from '@tansypost/inner-protocol';

/** The backoff state of one duty. */
export interface RetryBackoff {
  /** Whether a call for the subject may be made now. */
  readonly isElapsed: (subject: string) => boolean;
  /** Records a call without a definite outcome. */
  readonly recordFailure: (subject: string) => void;
  /** Ends the backoff of a subject after a call with a definite outcome. */
  readonly reset: (subject: string) => void;
  readonly clear: () => void;
  /** Calls without a definite outcome since the last one that had one. */
  readonly failures: (subject: string) => number;
}

interface Backoff {
  readonly failures: number;
  readonly until: number;
}

const growthFactor = 2;
const maxDelayUs = 4_000_000;
const jitter = 0.5;

/** Creates a backoff whose first delay is `initialDelay`, in microseconds. */
export function createRetryBackoff(world: Pick<World, 'now' | 'random'>, initialDelay: number): RetryBackoff {
  const backoffs = new Map<string, Backoff>();

  function recordFailure(subject: string): void {
    const failures = (backoffs.get(subject)?.failures ?? 0) + 1;
    const delay = Math.max(initialDelay, Math.min(maxDelayUs, initialDelay * growthFactor ** (failures - 1)));
    backoffs.set(subject, { failures, until: world.now() + delay * (1 + jitter * world.random()) });
  }

  return {
    isElapsed: (subject) => world.now() >= (backoffs.get(subject)?.until ?? -Infinity),
    recordFailure,
    reset: (subject) => void backoffs.delete(subject),
    clear: () => backoffs.clear(),
    failures: (subject) => backoffs.get(subject)?.failures ?? 0,
  };
}
