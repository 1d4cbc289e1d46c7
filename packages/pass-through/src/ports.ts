/**
 * Interfaces between the request handler and the transports to workers and clients. A port never throws. The results
 * `refused` and `unsent` are returned only with proof that nothing ran: the worker said so, or no byte was sent.
 */
import type { Model } from '@tansypost/placement';
import type { IncomingRequest } from './incoming-request.js';
import type { FleetWorker } from './worker-fleet.js';

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  /** Names and values in alternation, forwarded unchanged. */
  readonly headers: readonly string[];
}

/**
 * Result of a prefill. `read`: the prompt is prefilled; `unknown`: the worker may have accepted it. `misdirected` says
 * that another worker has the address (status 421). `malformed` says that the bytes of the response cannot be the work of
 * this request, as `reason` tells.
 */
export type PrefillResult =
  | { readonly tag: 'read'; readonly kvHandle: string; readonly tokens: number }
  | { readonly tag: 'unsent'; readonly reason: string }
  | { readonly tag: 'refused'; readonly reason: string; readonly misdirected: boolean }
  | { readonly tag: 'unknown'; readonly reason: string; readonly malformed?: boolean };

/**
 * Result of a run. `whole`: the response is complete; `failed`: the worker responded with an error; `unknown`: the
 * worker may have run the request in part. `misdirected` says that another worker has the address (status 421).
 * `malformed` says that the bytes of the response cannot be the work of this request, as `reason` tells.
 */
export type RunResult =
  | { readonly tag: 'whole' }
  | { readonly tag: 'unsent'; readonly reason: string }
  | {
      readonly tag: 'refused';
      readonly reason: string;
      readonly misdirected: boolean;
      readonly response: ResponseHead & { readonly body: Buffer };
    }
  | { readonly tag: 'failed'; readonly response: ResponseHead & { readonly body: Buffer } }
  | { readonly tag: 'unknown'; readonly reason: string; readonly malformed?: boolean };

/** The KV cache of a prompt at the worker that prefilled it. */
export interface KvSource {
  readonly worker: FleetWorker;
  readonly kvHandle: string;
}

/** Parameters of one run. */
export interface RunParameters {
  /** Microseconds until the deadline of the request. */
  readonly remainingTime: number;
  /** Where the KV cache of the prompt is fetched from; undefined where the worker prefills the prompt itself. */
  readonly kvSource?: KvSource;
  /** The id of the last event that the client has. */
  readonly lastEventId?: number;
  readonly urgency?: number;
}

/** Receives a response with a success status. When `chunk` returns a promise, no more is read until it resolves. */
export interface ResponseSink {
  readonly head: (head: ResponseHead) => void;
  readonly chunk: (bytes: Buffer) => void | Promise<void>;
}

/** Sends requests to workers. */
export interface WorkerPort {
  readonly prefill: (
    worker: FleetWorker,
    request: IncomingRequest,
    remainingTime: number,
    urgency: number | undefined,
    signal: AbortSignal,
  ) => Promise<PrefillResult>;
  readonly run: (
    worker: FleetWorker,
    request: IncomingRequest,
    parameters: RunParameters,
    sink: ResponseSink,
    signal: AbortSignal,
  ) => Promise<RunResult>;
  /** Whether an open, idle connection to the worker exists. */
  readonly hasIdleConnection?: (worker: FleetWorker) => boolean;
  /** Releases KV cache that no run will fetch. */
  readonly freeKv: (worker: FleetWorker, kvHandle: string) => void;
}

/** Why the router rejects a request. */
export type RejectionKind =
  | 'unknown_path'
  | 'unknown_key'
  | 'not_ready'
  | 'leaving'
  | 'no_workers'
  | 'workers_refused'
  | 'overloaded'
  | 'outcome_unknown'
  | 'budget_spent';

/** A final rejection. `ran: 'no'` guarantees that nothing ran or will run; only then is a time to retry stated. */
export interface Rejection {
  readonly kind: RejectionKind;
  readonly ran: 'no' | 'maybe';
  readonly reason: string;
  readonly retryAfterSeconds?: number;
}

/** The model that serves a request, drawn on arrival, and the callback that is told how the request ended. */
export interface CohortAssignment {
  readonly model: Model | undefined;
  readonly completed: (request: CompletedRequest) => void;
}

/** How a request ended; times are microseconds. */
export interface CompletedRequest {
  readonly route: string;
  readonly end: 'whole' | 'left' | 'failed';
  readonly timeout: number;
  /** From arrival. */
  readonly timeToFirstChunk: number;
  /** Mean time between chunks; undefined where there was at most one. */
  readonly timePerChunk: number | undefined;
}

/**
 * Where the body of a success comes from. `relayed`: the bytes of one run, unchanged. `composed`: the events of one or more
 * runs, so that nothing that a worker states about its whole body (length, digest, range) holds for it.
 */
export type BodySource = 'relayed' | 'composed';

/** Writes the response to the client. */
export interface ResponseWriter {
  readonly head: (head: ResponseHead, body: BodySource) => void;
  readonly chunk: (bytes: Buffer) => void | Promise<void>;
  readonly end: () => void;
  /** Aborts a response that has started, so that the client cannot take it for complete. */
  readonly abort: () => void;
  /** Sends a complete response. */
  readonly respond: (response: ResponseHead & { readonly body: Buffer }) => void;
  readonly reject: (rejection: Rejection) => void;
}
