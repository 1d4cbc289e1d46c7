/** Bodies of calls to a guarded application, over real sockets on loopback. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, expect, it } from 'vitest';
import { createPeerGuards, createPeerLimits } from '@tansypost/peer-limits';
import { createGuardedApp, noRoomCode } from './guarded-app.js';

const maxBodyBytes = 1000;
const stopped: (() => Promise<unknown>)[] = [];
afterEach(async () => {
  for (const stop of stopped.splice(0)) await stop();
});

interface Answer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** An application that answers with the body that it got, once `release` has resolved. */
async function startApp(bodies: 'bytes' | 'json', release = Promise.resolve()) {
  const limits = createPeerLimits({ memoryMb: 350, maxDescriptors: 4096 });
  const ports = { ...limits.ports, control: { ...limits.ports.control, maxRequestBytes: 1000 } };
  const guards = createPeerGuards({ ...limits, ports }, () => undefined);
  const app = createGuardedApp({ guard: guards.control, maxBodyBytes, bodies });
  app.post('/echo', async (request) => {
    await release;
    return { got: Buffer.isBuffer(request.body) ? request.body.toString() : request.body };
  });
  await app.listen({ host: '127.0.0.1', port: 0 });
  stopped.push(() => app.close());
  const { port } = app.server.address() as AddressInfo;
  function post(body: string, type = 'application/json'): Promise<Answer> {
    return new Promise((resolve, reject) => {
      const headers = { 'content-type': type };
      const request = http.request({ host: '127.0.0.1', port, path: '/echo', method: 'POST', headers, agent: false });
      request.on('error', reject);
      request.on('response', (response) => {
        let text = '';
        response.on('data', (part: Buffer) => (text += part.toString()));
        response.on('end', () => resolve({ status: response.statusCode!, headers: response.headers, body: text }));
      });
      request.end(body);
    });
  }
  return { post, guards };
}

it('gives handlers the bytes, or the value of a JSON text', async () => {
  const bytes = await startApp('bytes');
  expect(await bytes.post('{"a":', 'text/any')).toMatchObject({ status: 200, body: '{"got":"{\\"a\\":"}' });
  const json = await startApp('json');
  expect(await json.post('{"a":1}')).toMatchObject({ status: 200, body: '{"got":{"a":1}}' });
  expect((await json.post('{"a":')).status).toBe(400);
  expect((await json.post('a', 'text/any')).status).toBe(415);
});

it('refuses a body that is too long with 413, and closes', async () => {
  const { post } = await startApp('bytes');
  expect((await post('x'.repeat(maxBodyBytes))).status).toBe(200);
  expect(await post('x'.repeat(maxBodyBytes + 1))).toMatchObject({ status: 413, headers: { connection: 'close' } });
});

it('refuses a body that does not fit beside the calls in progress with 503 and Retry-After', async () => {
  const resolver: { release?: () => void } = {};
  const released = new Promise<void>((release) => {
    resolver.release = release;
  });
  const { post, guards } = await startApp('bytes', released);
  const first = post('x'.repeat(800));
  while (guards.control.usage().requests === 0) await new Promise((next) => setImmediate(next));
  const refused = await post('x'.repeat(800));
  expect(refused).toMatchObject({ status: 503, headers: { 'retry-after': '1', connection: 'close' } });
  expect(refused.body).toContain(noRoomCode);
  resolver.release!();
  expect((await first).status).toBe(200);
  expect(guards.control.usage()).toMatchObject({ requests: 0, requestBytes: 0 });
});
