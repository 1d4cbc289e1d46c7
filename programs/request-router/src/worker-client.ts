/**
 * The interface through which the router calls workers. A client never throws: each call ends in one of these results, and
 * `notStarted` is returned only on proof. Programs use HTTP, the simulator its own links.
 */
import type { WorkerStateEntry } from '@tansypost/inner-protocol';

/** A completion request as workers get it. */
export interface WorkerRequest {
  readonly request: string;
  readonly model: string;
  readonly prompt: string;
  readonly digest: string;
  readonly maxTokens: number;
  readonly sampling: Sampling;
}
/** Sampling parameters of the client, passed unchanged to prefill and decode. */
export interface Sampling {
  readonly temperature?: number;
  readonly top_p?: number;
  readonly seed?: number;
  readonly user?: string;
}
/** The prefill worker's handle of the KV cache, which the decode worker fetches it by. */
export interface KvTransferParams {
  readonly remote_engine_id: string;
  readonly remote_block_ids: readonly string[];
  readonly remote_host: string;
  readonly remote_port: number;
  readonly request_id: string;
  readonly prompt_digest: string;
  readonly incarnation: number;
}
/** How a prefill ended. */
export type PrefillResult =
  | { readonly tag: 'done'; readonly handle: KvTransferParams }
  | { readonly tag: 'notStarted'; readonly reason: string }
  | { readonly tag: 'unknown'; readonly reason: string };
/** How a decode ended; `lapsed` means that the prefill worker no longer had the KV cache. */
export type DecodeResult =
  | { readonly tag: 'done'; readonly finish: string }
  | { readonly tag: 'notStarted'; readonly reason: string }
  | { readonly tag: 'lapsed'; readonly reason: string }
  | { readonly tag: 'unknown'; readonly reason: string };

/** Calls one worker for one request; chunks of the decode are passed on as they come. */
export interface WorkerClient {
  readonly prefill: (worker: WorkerStateEntry, request: WorkerRequest, signal: AbortSignal) => Promise<PrefillResult>;
  readonly decode: (
    worker: WorkerStateEntry,
    request: WorkerRequest,
    kvTransferParams: KvTransferParams,
    writeChunk: (text: string) => void | Promise<void>,
    signal: AbortSignal,
  ) => Promise<DecodeResult>;
}

/**
 * The router's check of the KV transfer: the handle must name the request, its prompt, and the worker and incarnation that
 * were asked for the prefill.
 */
export function isHandleFor(handle: KvTransferParams, request: WorkerRequest, worker: WorkerStateEntry): boolean {
  return (
    handle.request_id === request.request &&
    handle.prompt_digest === request.digest &&
    handle.remote_engine_id === worker.worker &&
    handle.incarnation === worker.incarnation
  );
}
