/** The judge of answers, on whole, failed and malformed streams, cut anywhere. */
import { expect, it } from 'vitest';
import { createAnswerReader, type AnswerEnd } from './answer-reader.js';

function textEvent(text: string): string {
  return `data: ${JSON.stringify({ choices: [{ text, finish_reason: null }] })}\n\n`;
}
const done = 'data: [DONE]\n\n';
const error = 'event: error\ndata: {"error":{"kind":"worker_failed"}}\n\n';

/** Pushes the stream in pieces; the last result counts, as a client reads to the end of the body. */
function read(stream: string, length: number): { readonly end: AnswerEnd['tag'] | undefined; readonly text: string } {
  const reader = createAnswerReader();
  const bytes = Buffer.from(stream, 'latin1');
  let end: AnswerEnd | undefined;
  for (let at = 0; at < bytes.length && end?.tag !== 'malformed'; at += length)
    end = reader.push(bytes.subarray(at, at + length));
  return { end: end?.tag, text: reader.text() };
}

it.each([
  ['a whole answer', textEvent('a') + textEvent('b') + done, 'done', 'ab'],
  ['an answer that was cut and says so', textEvent('a') + error, 'error', 'a'],
  ['an answer without an end', textEvent('a'), undefined, 'a'],
  ['foreign bytes first', `%%\n\n${textEvent('a')}${done}`, 'malformed', ''],
  ['foreign bytes between events', `${textEvent('a')}%%\n\n${done}`, 'malformed', 'a'],
  ['an event without text', `${textEvent('a')}data: {}\n\n${done}`, 'malformed', 'a'],
  ['an event of another name', `event: x\n${textEvent('a')}${done}`, 'malformed', ''],
  ['bytes after the end', `${textEvent('a')}${done}%`, 'malformed', 'a'],
  ['an event after the end', `${textEvent('a')}${done}${textEvent('b')}`, 'malformed', 'a'],
] as const)('reads %s', (_kind, stream, end, text) => {
  for (let length = 1; length <= stream.length; length += 1) expect(read(stream, length)).toEqual({ end, text });
});
