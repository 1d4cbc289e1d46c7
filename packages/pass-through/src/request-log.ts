/** Logs how each request ended, what its time was spent on, and at which workers. */
import type { HandlerContext } from './handler-context.js';
import type { InFlightRequest } from './in-flight-request.js';
import { lossCauseOf, type RequestOutcome, type TimeParts } from './request-timeline.js';

/** The fields of events 5101 and 5109; times are milliseconds. */
export interface RequestLogFields {
  readonly request: string;
  readonly path: string;
  readonly service: string;
  readonly outcome: RequestOutcome;
  readonly cause: string;
  /** Tokens of the prompt, and those in segments shared with other requests. */
  readonly prompt: number;
  readonly shared: number;
  readonly firstMs: number;
  readonly endMs: number;
  readonly aimMs: number;
  /** Only parts that round to at least 1 ms. */
  readonly parts: Partial<TimeParts>;
  readonly reads: number;
  readonly sends: number;
  /** Workers that the request was sent to, in order. */
  readonly workers: readonly string[];
}

/** How a request ended; a rejection that does not guarantee that nothing ran is counted apart (`given up`). */
export function outcomeOf(inFlight: InFlightRequest, now: number): RequestOutcome {
  const { route, rejection, completed, clientGone, arrivedAt, firstChunkAt, timeline } = inFlight;
  if (rejection !== undefined) return rejection.ran === 'no' ? 'refused' : 'given up';
  if (!completed) return clientGone.aborted ? 'requester left' : inFlight.responseStarted ? 'cut' : 'worker failed';
  const answeredAt = route.streaming ? firstChunkAt : now;
  if (answeredAt - arrivedAt > route.targetLatency) return 'late first piece';
  return route.maxEventGap > 0 && timeline.longestEventGap > route.maxEventGap ? 'late later piece' : 'in time';
}

function milliseconds(micros: number): number {
  return Math.round(micros / 1000);
}

function nonZeroParts(parts: TimeParts): Partial<TimeParts> {
  const above = Object.entries(parts).filter(([, time]) => time >= 500);
  return Object.fromEntries(above.map(([name, time]) => [name, milliseconds(time)]));
}

function sharedTokens(inFlight: InFlightRequest): number {
  return inFlight.request.promptSegments.slice(0, -1).reduce((sum, segment) => sum + segment.tokens, 0);
}

/** Logs a request that has just ended: event 5101 if it was in time, else 5109. */
export function logRequestEnd(context: HandlerContext, inFlight: InFlightRequest): void {
  const now = context.world.now();
  const outcome = outcomeOf(inFlight, now);
  const {
    request,
    route,
    service,
    arrivedAt,
    firstChunkAt,
    chunkCount,
    timeline,
    prefillAttempts: reads,
    attempts: sends,
    workerIds: workers,
  } = inFlight;
  const event: RequestLogFields = {
    request: request.id,
    path: route.name,
    service: service.name,
    outcome,
    cause: lossCauseOf(outcome, timeline),
    prompt: request.promptTokens,
    shared: sharedTokens(inFlight),
    firstMs: chunkCount === 0 ? -1 : milliseconds(firstChunkAt - arrivedAt),
    endMs: milliseconds(now - arrivedAt),
    aimMs: milliseconds(route.targetLatency),
    parts: nonZeroParts(timeline.parts),
    reads,
    sends,
    workers,
  };
  context.world.log(outcome === 'in time' ? 5101 : 5109, { ...event });
}
