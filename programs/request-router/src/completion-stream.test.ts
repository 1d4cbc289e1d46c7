/** The stream of a completion: whole, cut, altered, and with bytes that no run made. */
import { EventEmitter } from 'node:events';
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { readCompletionStream } from './completion-stream.js';

const seed = 51;

async function* feedOf(text: string, length: number): AsyncGenerator<Buffer> {
  const bytes = Buffer.from(text, 'latin1');
  for (let at = 0; at < bytes.length; at += length) yield bytes.subarray(at, at + length);
}
function formatEvent(text: unknown, end: string | null = null): string {
  return `data: ${JSON.stringify({ choices: [{ text, finish_reason: end }] })}\n\n`;
}
const whole = [formatEvent('a'), formatEvent('b'), formatEvent('', 'stop'), 'data: [DONE]\n\n'];

async function read(text: string, length = 9): Promise<{ readonly tag: string; readonly text: string }> {
  let received = '';
  const { tag } = await readCompletionStream(feedOf(text, length), (chunk) => void (received += chunk));
  return { tag, text: received };
}

it('removes its abort listener however the stream ends', async () => {
  for (const stream of [whole.join(''), whole[0]!, '%%\n\n']) {
    const signal = AbortSignal.any([new AbortController().signal]);
    await readCompletionStream(feedOf(stream, 9), () => undefined, signal);
    expect(EventEmitter.getEventListeners(signal, 'abort').length).toBe(0);
  }
});

it('accepts a stream only if it is complete, wherever it is cut and wherever it ends', async () => {
  for (let length = 1; length < 60; length += 1)
    expect(await read(whole.join(''), length)).toEqual({ tag: 'done', text: 'ab' });
  for (let cut = 0; cut < whole.join('').length; cut += 1)
    expect((await read(whole.join('').slice(0, cut), 7)).tag).toBe('unknown');
});

it('detects each dropped, altered or moved event', async () => {
  const malformed = [
    [whole[0], whole[3]],
    [whole[0], whole[2], whole[1], whole[3]],
    ['%%\n\n', ...whole],
    ['data: {"x"\n\n', ...whole],
    ['data: null\n\n', ...whole],
    [formatEvent(5), ...whole],
    ['data: x\ndata: y\n\n', ...whole],
  ];
  for (const events of malformed) expect((await read(events.join(''))).tag).toBe('unknown');
});

it('ORDER: passes on nothing from the first foreign byte on', async () => {
  const foreign = fc.uint8Array({ minLength: 1, maxLength: 30 }).map((bytes) => Buffer.from(bytes).toString('latin1'));
  const position = fc.nat(whole.length - 2);
  await fc.assert(
    fc.asyncProperty(foreign, position, fc.integer({ min: 1, max: 40 }), async (bytes, before, length) => {
      const text = [...whole.slice(0, before), bytes, ...whole.slice(before)].join('');
      expect(await read(text, length)).toEqual({ tag: 'unknown', text: 'ab'.slice(0, before) });
    }),
    { seed, numRuns: 500 },
  );
});

it('takes text that is no UTF-8 for no event', async () => {
  expect(await read(`data: {"choices":[{"text":"\u00ff","finish_reason":null}]}\n\n${whole.join('')}`)).toEqual({
    tag: 'unknown',
    text: '',
  });
});
