/** Tells the operator's log of requests: how each ended, what its time went to, and where. */
import type { HandlerContext } from './course-context.js';
import type { InFlightRequest } from './in-flight-request.js';
import { causeOf, type RequestOutcome, type TimeParts } from './request-timeline.js';

/** The fields of events 5101 and 5109, times in milliseconds. */
export interface RequestLogFields {
  readonly request: string;
  readonly path: string;
  readonly service: string;
  readonly outcome: RequestOutcome;
  readonly cause: string;
  /** Tokens of its prompt, and those that others share. */
  readonly prompt: number;
  readonly shared: number;
  readonly firstMs: number;
  readonly endMs: number;
  readonly aimMs: number;
  /** Only parts above 0. */
  readonly parts: Partial<TimeParts>;
  readonly reads: number;
  readonly sends: number;
  /** Workers that it went to, the last one last. */
  readonly workers: readonly string[];
}

/** How a request ended; what is given up on without a promise that nothing ran counts apart from a refusal. */
export function outcomeOf(inFlight: InFlightRequest, now: number): RequestOutcome {
  const { path, refusal, whole, gone, arrived, firstAt, timeline } = inFlight;
  if (refusal !== undefined) return refusal.ran === 'no' ? 'refused' : 'given up';
  if (!whole) return gone.aborted ? 'requester left' : inFlight.begun ? 'cut' : 'worker failed';
  const answeredAt = path.streaming ? firstAt : now;
  if (answeredAt - arrived > path.targetLatency) return 'late first piece';
  return path.maxEventGap > 0 && timeline.longestPause > path.maxEventGap ? 'late later piece' : 'in time';
}

function milliseconds(micros: number): number {
  return Math.round(micros / 1000);
}

function spent(parts: TimeParts): Partial<TimeParts> {
  const above = Object.entries(parts).filter(([, time]) => time >= 500);
  return Object.fromEntries(above.map(([name, time]) => [name, milliseconds(time)]));
}

function sharedTokens(inFlight: InFlightRequest): number {
  return inFlight.request.promptSegments.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}

/** Logs the request, which has just ended: as lost if it did not end in time, else as answered. */
export function logEnd(context: HandlerContext, inFlight: InFlightRequest): void {
  const now = context.world.now();
  const outcome = outcomeOf(inFlight, now);
  const { request, path, service, arrived, firstAt, pieces, timeline, reads, sends, workers } = inFlight;
  const event: RequestLogFields = {
    request: request.id,
    path: path.name,
    service: service.name,
    outcome,
    cause: causeOf(outcome, timeline),
    prompt: request.promptTokens,
    shared: sharedTokens(inFlight),
    firstMs: pieces === 0 ? -1 : milliseconds(firstAt - arrived),
    endMs: milliseconds(now - arrived),
    aimMs: milliseconds(path.targetLatency),
    parts: spent(timeline.parts),
    reads,
    sends,
    workers,
  };
  context.world.log(outcome === 'in time' ? 5101 : 5109, { ...event });
}
