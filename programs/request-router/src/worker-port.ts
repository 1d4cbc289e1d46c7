/**
 * What the executor asks of the way to the workers. A port never throws: each send ends in one of these
 * results, and `notStarted` is claimed only on proof. Programs pass HTTP, the simulator its own links.
 */
import type { WorkerStateEntry } from '@tansypost/inner-protocol';

export interface WorkerJob {
  readonly request: string;
  readonly model: string;
  readonly prompt: string;
  readonly digest: string;
  readonly maxTokens: number;
  readonly sampling: Sampling;
}
// Taken from the requester and passed to prefill and decode as it is.
export interface Sampling {
  readonly temperature?: number;
  readonly top_p?: number;
  readonly seed?: number;
  readonly user?: string;
}
export interface HandleParams {
  readonly remote_engine_id: string;
  readonly remote_block_ids: readonly string[];
  readonly remote_host: string;
  readonly remote_port: number;
  readonly request_id: string;
  readonly prompt_digest: string;
  readonly incarnation: number;
}
export type PrefillResult =
  | { readonly tag: 'done'; readonly handle: HandleParams }
  | { readonly tag: 'notStarted'; readonly why: string }
  | { readonly tag: 'unknown'; readonly why: string };
export type DecodeResult =
  | { readonly tag: 'done'; readonly finish: string }
  | { readonly tag: 'notStarted'; readonly why: string }
  | { readonly tag: 'lapsed'; readonly why: string }
  | { readonly tag: 'unknown'; readonly why: string };

export interface WorkerPort {
  readonly prefill: (m: WorkerStateEntry, j: WorkerJob, signal: AbortSignal) => Promise<PrefillResult>;
  readonly decode: (
    m: WorkerStateEntry,
    j: WorkerJob,
    h: HandleParams,
    chunk: (text: string) => void | Promise<void>,
    signal: AbortSignal,
  ) => Promise<DecodeResult>;
}

// The router's end of the hand-over check: the handle must name the request, the prompt and the very
// worker and incarnation that was asked to read it.
export function handleFits(h: HandleParams, j: WorkerJob, m: WorkerStateEntry): boolean {
  return (
    h.request_id === j.request &&
    h.prompt_digest === j.digest &&
    h.remote_engine_id === m.worker &&
    h.incarnation === m.incarnation
  );
}
