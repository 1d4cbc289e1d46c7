/**
 * Where the time of one request went. The parts are added up as its attempts end; of a request that did not end in time,
 * the largest part that need not have been there is its cause, so that an operator can count what worth was lost to.
 * Times are microseconds.
 */

/** What a request's time was spent on until its first piece. */
export interface TimeParts {
  /** Until the router was ready and the route known. */
  ready: number;
  /** At prefill workers that did not read it: refused, silent, unreachable. */
  lostRead: number;
  /** At the prefill worker that read it, beyond the time that its prompt takes to read. */
  prefillQueue: number;
  prefill: number;
  /** From the read to the first piece of a run from memory: the move and the wait at the decode worker. */
  move: number;
  /** At a decode worker that read for itself, beyond the time that its prompt takes to read. */
  decodeQueue: number;
  decodePrefill: number;
  /** At decode workers that gave no piece. */
  lostRun: number;
}

/** How a request ended; `in time` is all that its operator wished. */
export type RequestOutcome =
  | 'in time'
  | 'late first piece'
  | 'late later piece'
  | 'worker failed'
  | 'refused'
  | 'given up'
  | 'cut'
  | 'requester left';

/** The part to which most of the lost time went, or what made a whole answer late. */
export type LossCause = keyof TimeParts | 'pause' | 'size' | 'none';

/** The timeline of one request. */
export interface RequestTimeline {
  readonly parts: TimeParts;
  /** The longest time between two pieces of the answer. */
  longestEventGap: number;
}

/** A timeline on which nothing has been spent. */
export function createRequestTimeline(): RequestTimeline {
  return {
    parts: {
      ready: 0,
      lostRead: 0,
      prefillQueue: 0,
      prefill: 0,
      move: 0,
      decodeQueue: 0,
      decodePrefill: 0,
      lostRun: 0,
    },
    longestEventGap: 0,
  };
}

/** Splits the time at a worker that read the prompt into the reading itself and the wait before it. */
export function splitPrefillTime(
  took: number,
  serviceTime: number,
): { readonly queue: number; readonly prefill: number } {
  const prefill = Math.min(took, serviceTime);
  return { queue: took - prefill, prefill };
}

/** Parts that a larger prompt makes longer by itself; where one of them is the largest, the size is the cause. */
const sizeDependentParts: readonly (keyof TimeParts)[] = ['prefill', 'decodePrefill'];

/** The cause of a request that did not end in time. */
export function lossCauseOf(outcome: RequestOutcome, { parts }: RequestTimeline): LossCause {
  if (outcome === 'in time' || outcome === 'worker failed') return 'none';
  if (outcome === 'late later piece') return 'pause';
  const [largest, time] = Object.entries(parts).reduce((most, part) => (part[1] > most[1] ? part : most)) as [
    keyof TimeParts,
    number,
  ];
  if (time === 0) return 'none';
  return sizeDependentParts.includes(largest) ? 'size' : largest;
}
