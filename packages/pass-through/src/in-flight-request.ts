/** One request under way: what it asks for and what has been tried for it. */
import type { Route, Service } from '@tansypost/paths';
import type { SseFramer } from './sse-framer.js';
import type { IncomingRequest } from './incoming-request.js';
import type { Rejection, CohortAssignment, ResponseWriter, RunResult } from './ports.js';
import { createRequestTimeline, type RequestTimeline } from './request-timeline.js';
import type { FleetWorker } from './worker-fleet.js';

/** One that was lost is read by one more reader at most. */
const maxPrefillAttempts = 2;

/** The facts of a request that do not change. */
export interface FixedRequestState {
  /** As it came. */
  readonly receivedRequest: IncomingRequest;
  readonly route: Route;
  readonly service: Service;
  readonly response: ResponseWriter;
  /** Aborted when the requester has left. */
  readonly clientGone: AbortSignal;
  readonly arrivedAt: number;
  readonly cohort: CohortAssignment | undefined;
}

/** A request with the state of its attempts; times are microseconds. */
export interface InFlightRequest extends FixedRequestState {
  /** As workers get it: admitted by the tenants known when its last attempt began. */
  request: IncomingRequest;
  /** The moment at which it is given up on. */
  deadline: number;
  /** Ends the attempt under way, if there is one. */
  abortAttempt: (() => void) | undefined;
  /** Workers that it went to for its run, or for reads beyond the first. */
  attempts: number;
  /** Whether something may have run. */
  ran: 'no' | 'maybe';
  /** Whether an answer has begun to reach the requester. */
  responseStarted: boolean;
  framer: SseFramer | undefined;
  lastRefused: boolean;
  readonly triedWorkers: Set<string>;
  /** The workers of its reads and runs, in turn. */
  readonly workerIds: string[];
  /** The worker whose connection broke while it ran the request, to be asked once more as it has the prompt. */
  sameWorkerRetry: FleetWorker | undefined;
  sameWorkerRetried: boolean;
  /** Attempts of which no byte was sent. */
  unsentAttempts: number;
  /** Reads begun; any after the first is extra. */
  prefillAttempts: number;
  /** The row and the moment by which its reader was chosen, until the first piece has come. */
  placementSample: { readonly features: Float32Array; readonly chosenAt: number } | undefined;
  firstChunkAt: number;
  lastChunkAt: number;
  chunkCount: number;
  completed: boolean;
  readonly timeline: RequestTimeline;
  /** How it was given up on, if it was. */
  rejection: Rejection | undefined;
  /** The last answer of a worker that failed, to be passed on where nothing better comes. */
  lastFailure: Extract<RunResult, { tag: 'failed' }> | undefined;
}

/** A request for which nothing has been tried yet. */
export function createInFlightRequest(fixed: FixedRequestState & Pick<InFlightRequest, 'request'>): InFlightRequest {
  return {
    ...fixed,
    deadline: fixed.arrivedAt + Math.min(fixed.request.timeout, fixed.route.timeout),
    abortAttempt: undefined,
    attempts: 0,
    ran: 'no',
    responseStarted: false,
    framer: undefined,
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

/** Whether one more worker may be asked to read: that and the run after it count among those a request may go to. */
export function mayPrefillAgain(inFlight: InFlightRequest): boolean {
  return inFlight.prefillAttempts < maxPrefillAttempts && inFlight.attempts + 2 <= inFlight.route.maxAttempts;
}

/** Whether another worker may run it or go on with it, though the present one has it. */
export function mayReassign(inFlight: InFlightRequest): boolean {
  return inFlight.route.resumable || (inFlight.route.idempotent && !inFlight.responseStarted);
}

/** Whether it may still go to one more worker. */
export function hasAttemptLeft(inFlight: InFlightRequest): boolean {
  return inFlight.attempts < inFlight.route.maxAttempts;
}
