/**
 * Reads the event stream of a worker's completion. It is complete only if every event was valid and a finish reason and then
 * [DONE] came; from the first byte that cannot be part of it on, nothing is passed on.
 */
import { createEventStreamParser, type EventVisitor } from '@tansypost/event-stream';
import type { DecodeResult } from './worker-client.js';

type WriteChunk = (text: string) => void | Promise<void>;

/** The longest event of a worker, in bytes. */
const maxEventBytes = 1_000_000;
const endMark = '[DONE]';

interface CompletionEvent {
  readonly text: string;
  readonly finishReason: string | undefined;
}

function unknown(reason: string): DecodeResult {
  return { tag: 'unknown', reason };
}

function parseEvent(data: string): CompletionEvent | undefined {
  try {
    const event = JSON.parse(data) as { choices?: { text?: unknown; finish_reason?: unknown }[] } | null;
    const choice = event?.choices?.[0];
    if (typeof choice?.text !== 'string') return undefined;
    const reason = choice.finish_reason ?? undefined;
    return { text: choice.text, finishReason: reason === undefined ? undefined : String(reason) };
  } catch {
    return undefined;
  }
}

/** Collects the data of complete events, each of which has one line. */
function collectData(complete: string[]): EventVisitor {
  let data = '';
  return {
    fieldNames: ['data'],
    field: (_name, value, index) => {
      data = value.toString();
      return index > 0 ? 'invalid field' : undefined;
    },
    event: () => {
      complete.push(data);
      return 'drop';
    },
  };
}

/**
 * Reads the stream and writes its text. While the client reads slowly nothing is read from the worker, so that TCP applies
 * the backpressure to the worker; the wait ends at the latest when the signal is aborted.
 */
export async function readCompletionStream(
  body: AsyncIterable<Buffer | string>,
  writeChunk: WriteChunk,
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
  writeChunk: WriteChunk,
  aborted: Promise<void>,
  signal?: AbortSignal,
): Promise<DecodeResult> {
  const complete: string[] = [];
  const parser = createEventStreamParser(collectData(complete), maxEventBytes);
  let finishReason: string | undefined;
  for await (const part of body) {
    const { fault } = parser.push(typeof part === 'string' ? Buffer.from(part) : part);
    for (const data of complete.splice(0)) {
      if (data === endMark)
        return finishReason === undefined
          ? unknown('[DONE] without a finish reason')
          : { tag: 'done', finish: finishReason };
      const event = parseEvent(data);
      if (event === undefined || finishReason !== undefined)
        return unknown('event has no text choice or follows the finish reason');
      const backpressure = event.text === '' ? undefined : writeChunk(event.text);
      if (backpressure !== undefined) await Promise.race([backpressure, aborted]);
      if (signal?.aborted === true) return unknown('aborted');
      finishReason = event.finishReason;
    }
    if (fault !== undefined) return unknown(fault);
  }
  return unknown('stream ended before [DONE]');
}
