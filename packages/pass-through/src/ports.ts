/**
 * What the executor asks of the way to the workers and back to the requester. A port never throws. `refused` and
 * `unsent` are claimed only on proof that nothing ran: the worker said so, or no byte was sent.
 */
import type { Model } from '@tansypost/placement';
import type { Incoming } from './incoming.js';
import type { FleetWorker } from './worker-fleet.js';

export interface AnswerHead {
  readonly status: number;
  // Names and values in turn, to be passed on unchanged.
  readonly head: readonly string[];
}
export type ReadResult =
  | { readonly tag: 'read'; readonly handle: string; readonly tokens: number }
  | { readonly tag: 'unsent'; readonly why: string }
  | { readonly tag: 'refused'; readonly why: string; readonly other: boolean }
  | { readonly tag: 'unknown'; readonly why: string };

// `handle` says that the memory named could not be had; `other`, that another worker has the address.
export type RunResult =
  | { readonly tag: 'whole' }
  | { readonly tag: 'unsent'; readonly why: string }
  | {
      readonly tag: 'refused';
      readonly why: string;
      readonly other: boolean;
      readonly answer: AnswerHead & { readonly body: Buffer };
    }
  | { readonly tag: 'failed'; readonly answer: AnswerHead & { readonly body: Buffer } }
  | { readonly tag: 'unknown'; readonly why: string };

/** The memory of a prompt at the worker that read it. */
export interface MemorySource {
  readonly worker: FleetWorker;
  readonly handle: string;
}
export interface RunTerms {
  readonly left: number;
  readonly from?: MemorySource;
  readonly lastEvent?: number;
  readonly urgency?: number;
}
// Takes an answer whose status is a success. `chunk` may give a promise: nothing more is read until it is kept.
export interface RunSink {
  readonly head: (h: AnswerHead) => void;
  readonly chunk: (b: Buffer) => void | Promise<void>;
}
export interface WorkerPort {
  readonly read: (
    w: FleetWorker,
    q: Incoming,
    left: number,
    urgency: number | undefined,
    gone: AbortSignal,
  ) => Promise<ReadResult>;
  readonly run: (w: FleetWorker, q: Incoming, t: RunTerms, sink: RunSink, gone: AbortSignal) => Promise<RunResult>;
  // Whether a connection to it is open and free.
  readonly warm?: (w: FleetWorker) => boolean;
  // Frees memory that nobody will take.
  readonly free: (w: FleetWorker, handle: string) => void;
}

export type GiveUpKind =
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
export interface GiveUp {
  readonly kind: GiveUpKind;
  readonly ran: 'no' | 'maybe';
  readonly why: string;
  readonly retryAfter?: number;
}
// What a request drew when it came: the model that serves it, and who is told how it ended. Times are microseconds, the
// first piece's from arrival.
export interface Lot {
  readonly model: Model | undefined;
  readonly ended: (x: Answered) => void;
}
export interface Answered {
  readonly path: string;
  readonly end: 'whole' | 'left' | 'failed';
  readonly patience: number;
  readonly first: number;
  readonly perPiece: number | undefined;
}
export interface Reply {
  readonly head: (h: AnswerHead) => void;
  readonly chunk: (b: Buffer) => void | Promise<void>;
  readonly end: () => void;
  // Ends an answer that has begun so that it cannot be taken for whole.
  readonly cut: () => void;
  readonly whole: (h: AnswerHead & { readonly body: Buffer }) => void;
  readonly giveUp: (g: GiveUp) => void;
}
