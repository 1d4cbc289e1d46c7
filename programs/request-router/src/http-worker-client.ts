/**
 * Calls the workers over HTTP/1.1. A request counts as not started only if no connection was established or the worker
 * answered `started: false`; after any other failure its state is unknown.
 */
import { Agent, request } from 'undici';
import type { WorkerStateEntry } from '@tansypost/inner-protocol';
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

/**
 * Reads a worker's event stream. It is complete only if every event was valid and a finish reason and then [DONE] came.
 * While the client reads slowly nothing is read from the worker, so that TCP applies the backpressure to the worker; the
 * wait ends at the latest when the signal is aborted.
 */
export async function readCompletionStream(
  body: AsyncIterable<Buffer | string>,
  writeChunk: (text: string) => void | Promise<void>,
  signal?: AbortSignal,
): Promise<DecodeResult> {
  // A signal made by `AbortSignal.any` stays in memory as long as it has a listener, so the listener must be removed.
  const stopWaiting: (() => void)[] = [];
  const aborted = new Promise<void>((ok) => stopWaiting.push(ok));
  function stop(): void {
    for (const resolve of stopWaiting) resolve();
  }
  if (signal?.aborted === true) stop();
  signal?.addEventListener('abort', stop);
  try {
    return await readEvents(body, writeChunk, aborted, signal);
  } finally {
    signal?.removeEventListener('abort', stop);
  }
}

async function readEvents(
  body: AsyncIterable<Buffer | string>,
  writeChunk: (text: string) => void | Promise<void>,
  aborted: Promise<void>,
  signal?: AbortSignal,
): Promise<DecodeResult> {
  let buffered = '';
  let finishReason: string | undefined;
  const decoder = new TextDecoder();
  for await (const part of body) {
    buffered += typeof part === 'string' ? part : decoder.decode(part, { stream: true });
    for (let i = buffered.indexOf('\n\n'); i >= 0; i = buffered.indexOf('\n\n')) {
      const frame = buffered.slice(0, i);
      buffered = buffered.slice(i + 2);
      if (!frame.startsWith('data: ')) return { tag: 'unknown', reason: 'line is not a server-sent event' };
      const data = frame.slice(6);
      if (data === '[DONE]')
        return finishReason !== undefined
          ? { tag: 'done', finish: finishReason }
          : { tag: 'unknown', reason: '[DONE] without a finish reason' };
      let event: { choices?: { text?: unknown; finish_reason?: unknown }[] };
      try {
        event = JSON.parse(data) as typeof event;
      } catch {
        return { tag: 'unknown', reason: 'event is not valid JSON' };
      }
      const choice = event.choices?.[0];
      if (choice === undefined || typeof choice.text !== 'string' || finishReason !== undefined)
        return { tag: 'unknown', reason: 'event has no text choice or follows the finish reason' };
      const backpressure = choice.text === '' ? undefined : writeChunk(choice.text);
      if (backpressure !== undefined) await Promise.race([backpressure, aborted]);
      if (signal?.aborted === true) return { tag: 'unknown', reason: 'aborted' };
      if (choice.finish_reason !== null && choice.finish_reason !== undefined)
        finishReason = String(choice.finish_reason);
    }
    if (buffered.length > 1_000_000) return { tag: 'unknown', reason: 'event exceeds 1,000,000 characters' };
  }
  return { tag: 'unknown', reason: 'stream ended before [DONE]' };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  async function* feedOf(text: string, chunkSize: number): AsyncGenerator<string> {
    for (let i = 0; i < text.length; i += chunkSize) yield text.slice(i, i + chunkSize);
  }
  function formatEvent(text: string, end: string | null = null): string {
    return `data: ${JSON.stringify({ choices: [{ text, finish_reason: end }] })}\n\n`;
  }
  const whole = [formatEvent('a'), formatEvent('b'), formatEvent('', 'stop'), 'data: [DONE]\n\n'];
  it('removes its abort listener however the stream ends', async () => {
    const { EventEmitter } = await import('node:events');
    for (const stream of [whole.join(''), whole[0]!, '%%\n\n']) {
      const signal = AbortSignal.any([new AbortController().signal]);
      await readCompletionStream(feedOf(stream, 9), () => undefined, signal);
      expect(EventEmitter.getEventListeners(signal, 'abort').length).toBe(0);
    }
  });
  it('accepts a stream only if it is complete: every truncation and each dropped, altered or moved event is detected', async () => {
    let got = '';
    expect(
      (
        await readCompletionStream(feedOf(whole.join(''), 3), (text) => {
          got += text;
        })
      ).tag,
    ).toBe('done');
    expect(got).toBe('ab');
    for (let cut = 0; cut < whole.join('').length; cut += 1) {
      expect((await readCompletionStream(feedOf(whole.join('').slice(0, cut), 7), () => undefined)).tag).toBe(
        'unknown',
      );
    }
    const bad = [
      [whole[0], whole[3]],
      [whole[0], whole[2], whole[1], whole[3]],
      ['%%\n\n', ...whole],
      ['data: {"x"\n\n', ...whole],
      [formatEvent(5 as never), ...whole],
    ];
    for (const b of bad)
      expect((await readCompletionStream(feedOf(b.join(''), 9), () => undefined)).tag).toBe('unknown');
  });
}
