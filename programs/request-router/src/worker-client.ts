/**
 * What the executor asks of the way to the workers. A port never throws: each send ends in one of these
 * results, and `notStarted` is claimed only on proof. Programs pass HTTP, the simulator its own links.
 */
import type { WorkerStateEntry } from '@tansypost/inner-protocol';

export interface WorkerRequest {
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
export interface KvTransferParams {
  readonly remote_engine_id: string;
  readonly remote_block_ids: readonly string[];
  readonly remote_host: string;
  readonly remote_port: number;
  readonly request_id: string;
  readonly prompt_digest: string;
  readonly incarnation: number;
}
export type PrefillResult =
  | { readonly tag: 'done'; readonly handle: KvTransferParams }
  | { readonly tag: 'notStarted'; readonly reason: string }
  | { readonly tag: 'unknown'; readonly reason: string };
export type DecodeResult =
  | { readonly tag: 'done'; readonly finish: string }
  | { readonly tag: 'notStarted'; readonly reason: string }
  | { readonly tag: 'lapsed'; readonly reason: string }
  | { readonly tag: 'unknown'; readonly reason: string };

export interface WorkerClient {
  readonly prefill: (m: WorkerStateEntry, j: WorkerRequest, signal: AbortSignal) => Promise<PrefillResult>;
  readonly decode: (
    m: WorkerStateEntry,
    j: WorkerRequest,
    h: KvTransferParams,
    chunk: (text: string) => void | Promise<void>,
    signal: AbortSignal,
  ) => Promise<DecodeResult>;
}

// The router's end of the hand-over check: the handle must name the request, the prompt and the very
// worker and incarnation that was asked to read it.
export function isHandleFor(h: KvTransferParams, j: WorkerRequest, m: WorkerStateEntry): boolean {
  return (
    h.request_id === j.request &&
    h.prompt_digest === j.digest &&
    h.remote_engine_id === m.worker &&
    h.incarnation === m.incarnation
  );
}
