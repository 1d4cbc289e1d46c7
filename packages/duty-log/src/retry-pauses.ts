/** How long a call that got no clear answer waits for its repetition: pauses that grow, with jitter, by subject. */
import type { World } from '@tansypost/inner-protocol';

/** The pauses of one duty. */
export interface RetryPauses {
  /** Whether a call for the subject may be made now. */
  readonly isOver: (subject: string) => boolean;
  /** Notes a call without a clear answer. */
  readonly grow: (subject: string) => void;
  /** Notes a call that ended. */
  readonly end: (subject: string) => void;
  readonly clear: () => void;
  /** Calls without a clear answer since the last that ended. */
  readonly failures: (subject: string) => number;
}

interface Pause {
  readonly failures: number;
  readonly until: number;
}

const growth = 2;
/** In microseconds. */
const longest = 4_000_000;
const jitter = 0.5;

/** Pauses that begin with `first`, in microseconds. */
export function createRetryPauses(world: Pick<World, 'now' | 'random'>, first: number): RetryPauses {
  const pauses = new Map<string, Pause>();

  function grow(subject: string): void {
    const failures = (pauses.get(subject)?.failures ?? 0) + 1;
    const pause = Math.max(first, Math.min(longest, first * growth ** (failures - 1)));
    pauses.set(subject, { failures, until: world.now() + pause * (1 + jitter * world.random()) });
  }

  return {
    isOver: (subject) => world.now() >= (pauses.get(subject)?.until ?? -Infinity),
    grow,
    end: (subject) => void pauses.delete(subject),
    clear: () => pauses.clear(),
    failures: (subject) => pauses.get(subject)?.failures ?? 0,
  };
}
