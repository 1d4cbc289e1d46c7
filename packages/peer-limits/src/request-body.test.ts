/** Bodies of requests, without sockets. */
import type http from 'node:http';
import { PassThrough } from 'node:stream';
import { expect, it } from 'vitest';
import { readRequestBody, type RequestBody } from './request-body.js';

const limit = 1000;

function read(pieces: readonly string[], hasRoom: boolean): { body: Promise<RequestBody>; asked: number[] } {
  const request = new PassThrough();
  const asked: number[] = [];
  const body = readRequestBody(request as unknown as http.IncomingMessage, limit, undefined, (bytes) => {
    asked.push(bytes);
    return hasRoom;
  });
  for (const piece of pieces) request.write(piece);
  request.end();
  return { body, asked };
}

it('asks for room once, with the length of the whole body, and gives its bytes only where there is room', async () => {
  const fitting = read(['one ', 'two'], true);
  expect(await fitting.body).toEqual({ tag: 'whole', bytes: Buffer.from('one two') });
  expect(fitting.asked).toEqual([7]);
  const refused = read(['one ', 'two'], false);
  expect(await refused.body).toEqual({ tag: 'refused' });
  expect(refused.asked).toEqual([7]);
});

it('asks for no room for a body that is too long', async () => {
  const long = read(['x'.repeat(limit), 'x'], true);
  expect(await long.body).toEqual({ tag: 'long' });
  expect(long.asked).toEqual([]);
});
