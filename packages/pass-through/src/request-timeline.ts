/**
 * What the time of one request was spent on. The parts are summed up as its attempts end. The largest avoidable part is
 * the cause of a request that did not end in time, so that an operator can count requests by cause. Times are
 * microseconds.
 */

/** What a request's time was spent on until its first chunk; the names are written to the log. */
export interface TimeParts {
  /** Waiting until the router was ready and the route known. */
  ready: number;
  /** At prefill workers that did not prefill the prompt: refused, unresponsive or unreachable. */
  lostRead: number;
  /** At the prefill worker, beyond the time that the prefill itself takes. */
  prefillQueue: number;
  /** The prefill itself. */
  prefill: number;
  /** From the prefill to the first chunk of a run with transferred KV cache: transfer and wait at the decode worker. */
  move: number;
  /** At a decode worker that prefilled the prompt itself, beyond the time that the prefill takes. */
  decodeQueue: number;
  /** The prefill at a decode worker. */
  decodePrefill: number;
  /** At decode workers that returned no chunk. */
  lostRun: number;
}

/** How a request ended; `in time` is the only outcome within the targets of its route. */
export type RequestOutcome =
  | 'in time'
  | 'late first piece'
  | 'late later piece'
  | 'worker failed'
  | 'refused'
  | 'given up'
  | 'cut'
  | 'requester left';

/** The part that most of the time was spent on, or what made a complete response late. */
export type LossCause = keyof TimeParts | 'pause' | 'size' | 'none';

/** The timeline of one request. */
export interface RequestTimeline {
  readonly parts: TimeParts;
  /** The longest time between two chunks of the response. */
  longestEventGap: number;
}

/** Creates a timeline without any time spent. */
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

/** Splits the time at a worker that prefilled the prompt into the prefill itself and the wait before it. */
export function splitPrefillTime(
  took: number,
  serviceTime: number,
): { readonly queue: number; readonly prefill: number } {
  const prefill = Math.min(took, serviceTime);
  return { queue: took - prefill, prefill };
}

/** Parts that grow with the prompt; where one of them is the largest, the prompt size is the cause. */
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
