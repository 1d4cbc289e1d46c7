/** One request under way: what it asks for and what has been tried for it. */
import type { Route, Service } from '@tansypost/paths';
import type { SseFramer } from './events.js';
import type { IncomingRequest } from './incoming.js';
import type { Rejection, CohortAssignment, ResponseWriter, RunResult } from './ports.js';
import { createRequestTimeline, type RequestTimeline } from './request-timeline.js';
import type { FleetWorker } from './worker-fleet.js';

/** One that was lost is read by one more reader at most. */
const mostReads = 2;

/** The facts of a request that do not change. */
export interface RequestFacts {
  /** As it came. */
  readonly received: IncomingRequest;
  readonly path: Route;
  readonly service: Service;
  readonly reply: ResponseWriter;
  /** Aborted when the requester has left. */
  readonly gone: AbortSignal;
  readonly arrived: number;
  readonly lot: CohortAssignment | undefined;
}

/** A request with the state of its attempts; times are microseconds. */
export interface InFlightRequest extends RequestFacts {
  /** As workers get it: admitted by the tenants known when its last attempt began. */
  request: IncomingRequest;
  /** The moment at which it is given up on. */
  limit: number;
  /** Ends the attempt under way, if there is one. */
  abortAttempt: (() => void) | undefined;
  /** Workers that it went to for its run, or for reads beyond the first. */
  sends: number;
  /** Whether something may have run. */
  ran: 'no' | 'maybe';
  /** Whether an answer has begun to reach the requester. */
  begun: boolean;
  cutter: SseFramer | undefined;
  lastRefused: boolean;
  readonly tried: Set<string>;
  /** The workers of its reads and runs, in turn. */
  readonly workers: string[];
  /** The worker whose connection broke while it ran the request, to be asked once more as it has the prompt. */
  holder: FleetWorker | undefined;
  askedHolder: boolean;
  /** Attempts of which no byte was sent. */
  unsent: number;
  /** Reads begun; any after the first is extra. */
  reads: number;
  /** The row and the moment by which its reader was chosen, until the first piece has come. */
  chosen: { readonly row: Float32Array; readonly at: number } | undefined;
  firstAt: number;
  lastPieceAt: number;
  pieces: number;
  whole: boolean;
  readonly timeline: RequestTimeline;
  /** How it was given up on, if it was. */
  refusal: Rejection | undefined;
  /** The last answer of a worker that failed, to be passed on where nothing better comes. */
  failed: Extract<RunResult, { tag: 'failed' }> | undefined;
}

/** A request for which nothing has been tried yet. */
export function createInFlightRequest(facts: RequestFacts & Pick<InFlightRequest, 'request'>): InFlightRequest {
  return {
    ...facts,
    limit: facts.arrived + Math.min(facts.request.timeout, facts.path.timeout),
    abortAttempt: undefined,
    sends: 0,
    ran: 'no',
    begun: false,
    cutter: undefined,
    lastRefused: false,
    tried: new Set(),
    workers: [],
    holder: undefined,
    askedHolder: false,
    unsent: 0,
    reads: 0,
    chosen: undefined,
    firstAt: 0,
    lastPieceAt: 0,
    pieces: 0,
    whole: false,
    timeline: createRequestTimeline(),
    refusal: undefined,
    failed: undefined,
  };
}

/** Whether one more worker may be asked to read: that and the run after it count among those a request may go to. */
export function mayReadAgain(inFlight: InFlightRequest): boolean {
  return inFlight.reads < mostReads && inFlight.sends + 2 <= inFlight.path.maxAttempts;
}

/** Whether another worker may run it or go on with it, though the present one has it. */
export function mayMove(inFlight: InFlightRequest): boolean {
  return inFlight.path.resumable || (inFlight.path.idempotent && !inFlight.begun);
}

/** Whether it may still go to one more worker. */
export function hasSendLeft(inFlight: InFlightRequest): boolean {
  return inFlight.sends < inFlight.path.maxAttempts;
}
