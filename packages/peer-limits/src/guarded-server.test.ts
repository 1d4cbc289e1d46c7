/** A guarded server over real sockets on loopback: what it counts, refuses and closes. */
import type http from 'node:http';
import net, { type AddressInfo } from 'node:net';
import { afterEach, expect, it } from 'vitest';
import { createGuardedServer, type GuardedHandler } from './guarded-server.js';
import { createPeerGuards, type PeerGuards } from './peer-guards.js';
import { createPeerLimits } from './port-limits.js';

const stopped: (() => void)[] = [];
afterEach(() => {
  for (const stop of stopped.splice(0)) stop();
});

async function startServer(handle: GuardedHandler): Promise<{ guards: PeerGuards; connect: () => net.Socket }> {
  const guards = createPeerGuards(createPeerLimits({ memoryMb: 350, maxDescriptors: 4096 }), () => undefined);
  const server = createGuardedServer({ guard: guards.clients, handle });
  await new Promise<void>((up) => server.listen(0, '127.0.0.1', up));
  stopped.push(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { guards, connect: () => net.connect(port, '127.0.0.1').on('error', () => undefined) };
}

/** What the server sends until it closes the connection. */
function received(socket: net.Socket): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    socket.on('data', (bytes: Buffer) => (text += bytes.toString('latin1')));
    socket.on('close', () => resolve(text));
  });
}

const request = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';

it('ends each request that waits behind another one when their client disconnects', async () => {
  const closings: Promise<void>[] = [];
  const arrived = new Promise<{ guards: PeerGuards }>((resolve) => {
    const started = startServer((_request, response: http.ServerResponse, connection) => {
      expect(connection.beginRequest(response, 100)).toBe(true);
      closings.push(new Promise((closed) => response.once('close', () => closed())));
      if (closings.length === 3) void started.then(({ guards }) => resolve({ guards }));
    });
    void started.then(({ connect }) => {
      const socket = connect();
      socket.write(request.repeat(3));
      void arrived.then(() => socket.destroy());
    });
  });
  const { guards } = await arrived;
  await Promise.all(closings);
  expect(guards.clients.usage()).toMatchObject({ requests: 0, requestBytes: 0 });
});

it('closes a connection with more open requests than one may have, and runs none of the surplus', async () => {
  let handled = 0;
  const { connect } = await startServer(() => {
    handled += 1;
  });
  const socket = connect();
  const closed = received(socket);
  socket.write(request.repeat(40));
  expect(await closed).toBe('');
  expect(handled).toBe(8);
});

it('answers a head that is too long with 431, and closes', async () => {
  const { connect } = await startServer((_request, response) => response.end());
  const socket = connect();
  const answer = received(socket);
  socket.write(`GET / HTTP/1.1\r\nX-Long: ${'a'.repeat(17_000)}\r\n\r\n`);
  expect(await answer).toMatch(/^HTTP\/1\.1 431 .*Connection: close/s);
});

it.each([
  ['more', ['head', ' and more']],
  ['fewer', ['he']],
])(
  'throws where a handler writes %s bytes than the head states, and sends none of the surplus',
  async (_name, parts) => {
    const codes: unknown[] = [];
    const { connect } = await startServer((_request, response) => {
      response.writeHead(200, ['Content-Length', '4']);
      try {
        for (const part of parts) response.write(part);
        response.end();
      } catch (error) {
        codes.push((error as NodeJS.ErrnoException).code);
        response.destroy();
      }
    });
    const socket = connect();
    const answer = received(socket);
    socket.write(request);
    expect((await answer).split('\r\n\r\n')[1] ?? '').not.toContain('more');
    expect(codes).toEqual(['ERR_HTTP_CONTENT_LENGTH_MISMATCH']);
  },
);

// Guards against answers cut off on Node.js before 20.20, which takes a length stated as text for a wrong one.
it.each<[string, (response: http.ServerResponse) => void]>([
  ['text set before', (response) => response.setHeader('Content-Length', '4')],
  ['a number set before', (response) => response.setHeader('Content-Length', 4)],
  ['text in a record', (response) => response.writeHead(200, { 'content-length': '4' })],
  ['text in a record behind a reason', (response) => response.writeHead(200, 'Fine', { 'Content-Length': '4' })],
  ['text in a list', (response) => response.writeHead(200, ['Content-Type', 'text/plain', 'Content-Length', '4'])],
  ['text in a list behind a reason', (response) => response.writeHead(200, 'Fine', ['Content-Length', '4'])],
])('sends a body whose length is stated as %s', async (_form, stateLength) => {
  const { connect } = await startServer((_request, response) => {
    stateLength(response);
    response.write('bo');
    response.end('dy');
  });
  const socket = connect();
  const answer = received(socket);
  socket.write('GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n');
  expect(await answer).toMatch(/^HTTP\/1\.1 200 .*Content-Length: 4\r\n.*\r\n\r\nbody$/is);
});
