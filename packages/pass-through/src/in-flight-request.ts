/** State of one request in flight: what it asks for and which attempts were made. */
import type { NumberedStream } from '@tansypost/event-stream';
import type { Route, Service } from '@tansypost/paths';
import type { IncomingRequest } from './incoming-request.js';
import type { Rejection, CohortAssignment, ResponseWriter, RunResult } from './ports.js';
import { createRequestTimeline, type RequestTimeline } from './request-timeline.js';
import type { FleetWorker } from './worker-fleet.js';

/** A prompt whose first prefill failed is sent to at most one more prefill worker. */
const maxPrefillAttempts = 2;

/** The part of a request's state that does not change. */
export interface FixedRequestState {
  /** The request as received. */
  readonly receivedRequest: IncomingRequest;
  readonly route: Route;
  readonly service: Service;
  readonly response: ResponseWriter;
  /** Aborted when the client has disconnected. */
  readonly clientGone: AbortSignal;
  readonly arrivedAt: number;
  readonly cohort: CohortAssignment | undefined;
}

/** A request with the state of its attempts; times are microseconds. */
export interface InFlightRequest extends FixedRequestState {
  /** The request as workers receive it, admitted by the tenants known when its last attempt started. */
  request: IncomingRequest;
  /** The time at which the request is rejected or its response aborted. */
  deadline: number;
  /** Aborts the current attempt, if there is one. */
  abortAttempt: (() => void) | undefined;
  /** Workers that the request was sent to for a run, or for a prefill after the first. */
  attempts: number;
  /** Whether a worker may have run the request. */
  ran: 'no' | 'maybe';
  /** Whether a response to the client has started. */
  responseStarted: boolean;
  /** The events of all runs; undefined before the response has started, and where the route does not stream. */
  eventStream: NumberedStream | undefined;
  lastRefused: boolean;
  readonly triedWorkers: Set<string>;
  /** The workers of its prefills and runs, in order. */
  readonly workerIds: string[];
  /** A worker whose connection broke during the run; it is retried once, as it has the prompt in its KV cache. */
  sameWorkerRetry: FleetWorker | undefined;
  sameWorkerRetried: boolean;
  /** Attempts for which no byte was sent. */
  unsentAttempts: number;
  /** Prefills started; any after the first counts against the retry budget. */
  prefillAttempts: number;
  /** The feature row and the time of the choice of the prefill worker, until the first chunk has come. */
  placementSample: { readonly features: Float32Array; readonly chosenAt: number } | undefined;
  firstChunkAt: number;
  lastChunkAt: number;
  chunkCount: number;
  completed: boolean;
  readonly timeline: RequestTimeline;
  /** How the request was rejected, if it was. */
  rejection: Rejection | undefined;
  /** The last error response of a worker, forwarded if no attempt succeeds. */
  lastFailure: Extract<RunResult, { tag: 'failed' }> | undefined;
}

/** A request for which no attempt was made yet. */
export function createInFlightRequest(fixed: FixedRequestState & Pick<InFlightRequest, 'request'>): InFlightRequest {
  return {
    ...fixed,
    deadline: fixed.arrivedAt + Math.min(fixed.request.timeout, fixed.route.timeout),
    abortAttempt: undefined,
    attempts: 0,
    ran: 'no',
    responseStarted: false,
    eventStream: undefined,
    lastRefused: false,
    triedWorkers: new Set(),
    workerIds: [],
    sameWorkerRetry: undefined,
    sameWorkerRetried: false,
    unsentAttempts: 0,
    prefillAttempts: 0,
    placementSample: undefined,
    firstChunkAt: 0,
    lastChunkAt: 0,
    chunkCount: 0,
    completed: false,
    timeline: createRequestTimeline(),
    rejection: undefined,
    lastFailure: undefined,
  };
}

/** Whether one more prefill is allowed: it and the run after it both count against the attempts of the route. */
export function mayPrefillAgain(inFlight: InFlightRequest): boolean {
  return inFlight.prefillAttempts < maxPrefillAttempts && inFlight.attempts + 2 <= inFlight.route.maxAttempts;
}

/** Whether another worker may run or resume the request although the current worker may have run it. */
export function mayReassign(inFlight: InFlightRequest): boolean {
  return inFlight.route.resumable || (inFlight.route.idempotent && !inFlight.responseStarted);
}

/** Whether the route allows one more attempt. */
export function hasAttemptLeft(inFlight: InFlightRequest): boolean {
  return inFlight.attempts < inFlight.route.maxAttempts;
}
