/**
 * Calls the workers over HTTP/1.1. A request counts as not started only if no connection was established or the worker
 * answered `started: false`; after any other failure its state is unknown.
 */
import { Agent, request } from 'undici';
import type { WorkerStateEntry } from '@tansypost/inner-protocol';
import { readCompletionStream } from './completion-stream.js';
import type { DecodeResult, KvTransferParams, PrefillResult, WorkerRequest, WorkerClient } from './worker-client.js';

const notConnectedCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Creates a client with its own connection pool; `close` ends all connections. */
export function createHttpWorkerClient(): WorkerClient & { readonly close: () => Promise<void> } {
  const agent = new Agent({
    connect: { timeout: 1500 },
    connections: 128,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 15_000,
  });

  function post(
    worker: WorkerStateEntry,
    job: WorkerRequest,
    body: object,
    signal: AbortSignal,
  ): ReturnType<typeof request> {
    return request(`http://${worker.address}/v1/completions`, {
      method: 'POST',
      dispatcher: agent,
      signal,
      headers: {
        'content-type': 'application/json',
        'x-request-id': job.request,
        'x-worker-incarnation': `${worker.incarnation}`,
      },
      body: JSON.stringify({ ...job.sampling, model: job.model, prompt: job.prompt, ...body }),
    });
  }
  function connectionError(error: unknown): { tag: 'notStarted' | 'unknown'; reason: string } {
    const code = (error as { code?: string }).code ?? '';
    return { tag: notConnectedCodes.has(code) ? 'notStarted' : 'unknown', reason: code === '' ? String(error) : code };
  }
  async function parseRejection(
    text: string,
    status: number,
  ): Promise<{ tag: 'notStarted' | 'unknown' | 'lapsed'; reason: string }> {
    try {
      const body = JSON.parse(text) as { error?: { kind?: string; started?: boolean } };
      const reason = body.error?.kind ?? `status ${status}`;
      if (body.error?.started !== false) return { tag: 'unknown', reason };
      return { tag: reason.startsWith('memory_') ? 'lapsed' : 'notStarted', reason };
    } catch {
      return { tag: 'unknown', reason: `status ${status} without a typed error` };
    }
  }

  async function prefill(worker: WorkerStateEntry, job: WorkerRequest, signal: AbortSignal): Promise<PrefillResult> {
    try {
      const response = await post(
        worker,
        job,
        { max_tokens: 1, stream: false, kv_transfer_params: { do_remote_decode: true, do_remote_prefill: false } },
        signal,
      );
      const text = await response.body.text();
      if (response.statusCode !== 200) {
        const rejection = await parseRejection(text, response.statusCode);
        return rejection.tag === 'lapsed'
          ? { tag: 'unknown', reason: rejection.reason }
          : { tag: rejection.tag, reason: rejection.reason };
      }
      const kvTransferParams = (JSON.parse(text) as { kv_transfer_params?: KvTransferParams }).kv_transfer_params;
      if (
        kvTransferParams === undefined ||
        !Array.isArray(kvTransferParams.remote_block_ids) ||
        typeof kvTransferParams.remote_host !== 'string'
      )
        return { tag: 'unknown', reason: 'no KV handle in the response' };
      return { tag: 'done', handle: kvTransferParams };
    } catch (error) {
      return connectionError(error);
    }
  }

  async function decode(
    worker: WorkerStateEntry,
    job: WorkerRequest,
    kvTransferParams: KvTransferParams,
    writeChunk: (text: string) => void | Promise<void>,
    signal: AbortSignal,
  ): Promise<DecodeResult> {
    try {
      const response = await post(
        worker,
        job,
        {
          max_tokens: job.maxTokens,
          stream: true,
          kv_transfer_params: { ...kvTransferParams, do_remote_prefill: true, do_remote_decode: false },
        },
        signal,
      );
      if (response.statusCode !== 200) return await parseRejection(await response.body.text(), response.statusCode);
      return await readCompletionStream(response.body, writeChunk, signal);
    } catch (error) {
      return connectionError(error);
    }
  }
  return { prefill, decode, close: () => agent.destroy() };
}
