/**
 * The way to the workers over HTTP/1.1. Only a connection that never came about, or the worker's own
 * `started: false`, counts as not started; every other failure is unknown.
 */
import { Agent, request } from 'undici';
import type { WorkerStateEntry } from '@tansypost/inner-protocol';
import type { DecodeResult, KvTransferParams, PrefillResult, WorkerRequest, WorkerClient } from './worker-client.js';

const neverConnected = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

export function createHttpWorkerClient(): WorkerClient & { readonly close: () => Promise<void> } {
  const agent = new Agent({
    connect: { timeout: 1500 },
    connections: 128,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 15_000,
  });

  function post(m: WorkerStateEntry, j: WorkerRequest, body: object, signal: AbortSignal): ReturnType<typeof request> {
    return request(`http://${m.address}/v1/completions`, {
      method: 'POST',
      dispatcher: agent,
      signal,
      headers: {
        'content-type': 'application/json',
        'x-request-id': j.request,
        'x-worker-incarnation': `${m.incarnation}`,
      },
      body: JSON.stringify({ ...j.sampling, model: j.model, prompt: j.prompt, ...body }),
    });
  }
  function broke(e: unknown): { tag: 'notStarted' | 'unknown'; reason: string } {
    const code = (e as { code?: string }).code ?? '';
    return { tag: neverConnected.has(code) ? 'notStarted' : 'unknown', reason: code === '' ? String(e) : code };
  }
  async function refusal(
    text: string,
    status: number,
  ): Promise<{ tag: 'notStarted' | 'unknown' | 'lapsed'; reason: string }> {
    try {
      const x = JSON.parse(text) as { error?: { kind?: string; started?: boolean } };
      const reason = x.error?.kind ?? `status ${status}`;
      if (x.error?.started !== false) return { tag: 'unknown', reason };
      return { tag: reason.startsWith('memory_') ? 'lapsed' : 'notStarted', reason };
    } catch {
      return { tag: 'unknown', reason: `status ${status} without a typed error` };
    }
  }

  async function prefill(m: WorkerStateEntry, j: WorkerRequest, signal: AbortSignal): Promise<PrefillResult> {
    try {
      const r = await post(
        m,
        j,
        { max_tokens: 1, stream: false, kv_transfer_params: { do_remote_decode: true, do_remote_prefill: false } },
        signal,
      );
      const text = await r.body.text();
      if (r.statusCode !== 200) {
        const x = await refusal(text, r.statusCode);
        return x.tag === 'lapsed' ? { tag: 'unknown', reason: x.reason } : { tag: x.tag, reason: x.reason };
      }
      const h = (JSON.parse(text) as { kv_transfer_params?: KvTransferParams }).kv_transfer_params;
      if (h === undefined || !Array.isArray(h.remote_block_ids) || typeof h.remote_host !== 'string')
        return { tag: 'unknown', reason: 'no handle in the answer' };
      return { tag: 'done', handle: h };
    } catch (e) {
      return broke(e);
    }
  }

  async function decode(
    m: WorkerStateEntry,
    j: WorkerRequest,
    h: KvTransferParams,
    chunk: (t: string) => void | Promise<void>,
    signal: AbortSignal,
  ): Promise<DecodeResult> {
    try {
      const r = await post(
        m,
        j,
        {
          max_tokens: j.maxTokens,
          stream: true,
          kv_transfer_params: { ...h, do_remote_prefill: true, do_remote_decode: false },
        },
        signal,
      );
      if (r.statusCode !== 200) return await refusal(await r.body.text(), r.statusCode);
      return await readCompletionStream(r.body, chunk, signal);
    } catch (e) {
      return broke(e);
    }
  }
  return { prefill, decode, close: () => agent.destroy() };
}

// Reads a worker's event stream. It is whole only if every event was sound, a finish reason came, and [DONE]
// after it. While a requester reads slowly nothing is read from the worker, so the stream is held back by TCP; the
// wait ends with the signal at the latest.
export async function readCompletionStream(
  body: AsyncIterable<Buffer | string>,
  chunk: (t: string) => void | Promise<void>,
  signal?: AbortSignal,
): Promise<DecodeResult> {
  // A signal made of others is held in memory for as long as somebody listens to it, so the listener must go.
  const ends: (() => void)[] = [];
  const off = new Promise<void>((ok) => ends.push(ok));
  function stop(): void {
    for (const f of ends) f();
  }
  if (signal?.aborted === true) stop();
  signal?.addEventListener('abort', stop);
  try {
    return await readEvents(body, chunk, off, signal);
  } finally {
    signal?.removeEventListener('abort', stop);
  }
}

async function readEvents(
  body: AsyncIterable<Buffer | string>,
  chunk: (t: string) => void | Promise<void>,
  off: Promise<void>,
  signal?: AbortSignal,
): Promise<DecodeResult> {
  let held = '';
  let finished: string | undefined;
  const d = new TextDecoder();
  for await (const b of body) {
    held += typeof b === 'string' ? b : d.decode(b, { stream: true });
    for (let i = held.indexOf('\n\n'); i >= 0; i = held.indexOf('\n\n')) {
      const line = held.slice(0, i);
      held = held.slice(i + 2);
      if (!line.startsWith('data: ')) return { tag: 'unknown', reason: 'nonsense instead of an event' };
      const data = line.slice(6);
      if (data === '[DONE]')
        return finished !== undefined
          ? { tag: 'done', finish: finished }
          : { tag: 'unknown', reason: '[DONE] without a finish reason' };
      let e: { choices?: { text?: unknown; finish_reason?: unknown }[] };
      try {
        e = JSON.parse(data) as typeof e;
      } catch {
        return { tag: 'unknown', reason: 'an event that is not JSON' };
      }
      const x = e.choices?.[0];
      if (x === undefined || typeof x.text !== 'string' || finished !== undefined)
        return { tag: 'unknown', reason: 'an event without its choice' };
      const slow = x.text === '' ? undefined : chunk(x.text);
      if (slow !== undefined) await Promise.race([slow, off]);
      if (signal?.aborted === true) return { tag: 'unknown', reason: 'aborted' };
      if (x.finish_reason !== null && x.finish_reason !== undefined) finished = String(x.finish_reason);
    }
    if (held.length > 1_000_000) return { tag: 'unknown', reason: 'an event without end' };
  }
  return { tag: 'unknown', reason: 'the stream ended before [DONE]' };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  async function* feedOf(s: string, n: number): AsyncGenerator<string> {
    for (let i = 0; i < s.length; i += n) yield s.slice(i, i + n);
  }
  function ev(text: string, end: string | null = null): string {
    return `data: ${JSON.stringify({ choices: [{ text, finish_reason: end }] })}\n\n`;
  }
  const whole = [ev('a'), ev('b'), ev('', 'stop'), 'data: [DONE]\n\n'];
  it('leaves no listener on its signal, however the stream ends', async () => {
    const { EventEmitter } = await import('node:events');
    for (const s of [whole.join(''), whole[0]!, '%%\n\n']) {
      const signal = AbortSignal.any([new AbortController().signal]);
      await readCompletionStream(feedOf(s, 9), () => undefined, signal);
      expect(EventEmitter.getEventListeners(signal, 'abort').length).toBe(0);
    }
  });
  it('calls a stream whole only if it is, with one event dropped, altered or moved at a time', async () => {
    let got = '';
    expect(
      (
        await readCompletionStream(feedOf(whole.join(''), 3), (t) => {
          got += t;
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
      [ev(5 as never), ...whole],
    ];
    for (const b of bad)
      expect((await readCompletionStream(feedOf(b.join(''), 9), () => undefined)).tag).toBe('unknown');
  });
}
