/**
 * What the executor asks of the way to the workers and back to the requester. A port never throws. `refused` and
 * `unsent` are claimed only on proof that nothing ran: the worker said so, or no byte was sent.
 */
import type { Model } from '@tansypost/placement';
import type { IncomingRequest } from './incoming.js';
import type { FleetWorker } from './worker-fleet.js';

export interface ResponseHead {
  readonly status: number;
  // Names and values in turn, to be passed on unchanged.
  readonly headers: readonly string[];
}
export type PrefillResult =
  | { readonly tag: 'read'; readonly kvHandle: string; readonly tokens: number }
  | { readonly tag: 'unsent'; readonly reason: string }
  | { readonly tag: 'refused'; readonly reason: string; readonly misdirected: boolean }
  | { readonly tag: 'unknown'; readonly reason: string };

// `handle` says that the memory named could not be had; `other`, that another worker has the address.
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
  | { readonly tag: 'unknown'; readonly reason: string };

/** The memory of a prompt at the worker that read it. */
export interface KvSource {
  readonly worker: FleetWorker;
  readonly kvHandle: string;
}
export interface RunParameters {
  readonly remainingTime: number;
  readonly kvSource?: KvSource;
  readonly lastEventId?: number;
  readonly urgency?: number;
}
// Takes an answer whose status is a success. `chunk` may give a promise: nothing more is read until it is kept.
export interface ResponseSink {
  readonly head: (h: ResponseHead) => void;
  readonly chunk: (b: Buffer) => void | Promise<void>;
}
export interface WorkerPort {
  readonly prefill: (
    w: FleetWorker,
    q: IncomingRequest,
    left: number,
    urgency: number | undefined,
    gone: AbortSignal,
  ) => Promise<PrefillResult>;
  readonly run: (
    w: FleetWorker,
    q: IncomingRequest,
    t: RunParameters,
    sink: ResponseSink,
    gone: AbortSignal,
  ) => Promise<RunResult>;
  // Whether a connection to it is open and free.
  readonly hasIdleConnection?: (w: FleetWorker) => boolean;
  // Frees memory that nobody will take.
  readonly freeKv: (w: FleetWorker, handle: string) => void;
}

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
// Final. `ran: no` promises that nothing ran nor will; only then is it said when to come back.
export interface Rejection {
  readonly kind: RejectionKind;
  readonly ran: 'no' | 'maybe';
  readonly reason: string;
  readonly retryAfter?: number;
}
// What a request drew when it came: the model that serves it, and who is told how it ended. Times are microseconds, the
// first piece's from arrival.
export interface CohortAssignment {
  readonly model: Model | undefined;
  readonly completed: (x: CompletedRequest) => void;
}
export interface CompletedRequest {
  readonly route: string;
  readonly end: 'whole' | 'left' | 'failed';
  readonly timeout: number;
  readonly timeToFirstChunk: number;
  readonly timePerChunk: number | undefined;
}
export interface ResponseWriter {
  readonly head: (h: ResponseHead) => void;
  readonly chunk: (b: Buffer) => void | Promise<void>;
  readonly end: () => void;
  // Ends an answer that has begun so that it cannot be taken for whole.
  readonly abort: () => void;
  readonly respond: (h: ResponseHead & { readonly body: Buffer }) => void;
  readonly reject: (g: Rejection) => void;
}
