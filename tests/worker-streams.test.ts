/**
 * A router as a real process and workers whose event streams cannot be the work of one run, at each phase of a response:
 * clients receive only events that the run made, such a response ends at once and never as complete, the router stays
 * within its memory, and an ordinary request is served afterwards.
 */
import type http from 'node:http';
import { readFileSync } from 'node:fs';
import { afterEach, expect, it } from 'vitest';
import { expectWithinLimits, machineLimits, ports, startPeerWorld, type PeerWorld } from './peer-world.js';
import { call, completeAnswer, serveWorkerRequest } from './platform-world.js';

const first = 'id: 1\ndata: one\n\n';
const second = 'id: 2\ndata: two\n\n';
const kindHeader = 'x-kind';

/** What a worker does after the last of its bytes. */
type Ending = 'end' | 'reset' | 'silence';

interface MalformedStream {
  readonly pieces: readonly string[];
  readonly ending: Ending;
  /** The events that the run made and that a client may receive. */
  readonly sound: string;
}

function malformedStream(pieces: readonly string[], sound: string, ending: Ending = 'end'): MalformedStream {
  return { pieces, sound, ending };
}

const binary = '\u0000\u00ff\u0001\u0080';
const malformedStreams: Readonly<Record<string, MalformedStream>> = {
  'no event at all': malformedStream([], ''),
  'foreign bytes before the first event': malformedStream(['%%%%\n\n', first, second], ''),
  'an event that is not the first one': malformedStream(['id: 7\ndata: x\n\n', second], ''),
  'foreign bytes between events, then more events': malformedStream([first, '%%%%\n\n', second], first),
  'foreign bytes between events, then a reset': malformedStream([first, '%%%%\n\n'], first, 'reset'),
  'foreign bytes between events, then silence': malformedStream([first, '%%%%\n\n'], first, 'silence'),
  'an event without an id': malformedStream([first, 'data: x\n\n', second], first),
  'an id without data': malformedStream([first, 'id: 2\n\n'], first),
  'a comment between events': malformedStream([first, ': x\n\n', second], first),
  'an empty line between events': malformedStream([first, '\n', second], first),
  'an id that skips events': malformedStream([first, 'id: 3\ndata: x\n\n'], first),
  'an id that comes twice': malformedStream([first, 'id: 1\ndata: x\n\n', second], first),
  'an id that is no number': malformedStream([first, 'id: two\ndata: x\n\n'], first),
  'two ids in one event': malformedStream([first, 'id: 2\nid: 2\ndata: x\n\n'], first),
  'foreign bytes inside an event': malformedStream([first, `id: 2\n${binary}\ndata: x\n\n`], first),
  'foreign bytes inside an event, then silence': malformedStream([first, `id: 2\n${binary}`], first, 'silence'),
  'foreign bytes inside a data line': malformedStream([first, `id: 2\ndata: ${binary}\n\n`], first),
  'a response inside the stream, then silence': malformedStream([first, 'HTTP/1.1 200 OK\r\n'], first, 'silence'),
  'a normal end inside an event': malformedStream([first, 'id: 2\ndata: tw'], first),
  'a reset inside an event': malformedStream([first, 'id: 2\ndata: tw'], first, 'reset'),
  'foreign bytes after the last event': malformedStream([first, second, '%%%%'], first + second),
  'foreign bytes after the last event that look like one': malformedStream([first, second, '%%\n\n'], first + second),
};

function endResponse(response: http.ServerResponse, ending: Ending): void {
  if (ending === 'end') response.end();
  else if (ending === 'reset') response.socket?.resetAndDestroy();
}

function startStream(request: http.IncomingMessage, response: http.ServerResponse): void {
  const id = request.headers['x-attempt-id'] as string;
  response.writeHead(200, {
    'Content-Type': 'text/event-stream',
    'X-Attempt-Id': id,
    'X-Server-Seal': `seal of ${id}`,
  });
  response.flushHeaders();
}

/** Writes each piece after the one before it has left the process, so that they arrive apart. */
function writePieces(response: http.ServerResponse, pieces: readonly string[], done: () => void): void {
  const [piece, ...others] = pieces;
  if (piece === undefined) return done();
  response.write(piece, 'latin1', () => setImmediate(writePieces, response, others, done));
}

function respond(request: http.IncomingMessage, response: http.ServerResponse): void {
  const stream = malformedStreams[request.headers[kindHeader] as string];
  if (stream === undefined) return serveWorkerRequest([], request, response);
  request.resume();
  request.on('end', () => {
    startStream(request, response);
    writePieces(response, stream.pieces, () => endResponse(response, stream.ending));
  });
}

let world: PeerWorld | undefined;
afterEach(async () => {
  await world?.close();
  world = undefined;
});

it('ORDER: a client receives no piece that no run made, whatever a worker writes into its stream', async () => {
  world = await startPeerWorld(respond);
  const { request } = world;
  const received = await Promise.all(
    Object.keys(malformedStreams).map(async (kind) => {
      const { status, body, complete } = await request(undefined, { [kindHeader]: kind });
      return [kind, { status, body, complete }] as const;
    }),
  );
  const expected = Object.entries(malformedStreams).map(([kind, { sound }]) => {
    return [kind, { status: 200, body: sound, complete: false }];
  });
  expect(Object.fromEntries(received)).toEqual(Object.fromEntries(expected));
  expect(await world.served()).toMatchObject(completeAnswer);
  expectWithinLimits(world.router);
  expect(readFileSync(world.logs.router, 'utf8')).toContain('E5111');
});

const endlessStreams = 100;
const endlessBytes = 3 * 1024 * 1024;

/** Begins an event and never ends it; `done` is called once the router has read all of it, or has closed the connection. */
function writeEndlessEvent(request: http.IncomingMessage, response: http.ServerResponse, done: () => void): void {
  request.resume();
  request.on('end', () => {
    startStream(request, response);
    response.on('error', () => undefined);
    response.on('close', done);
    response.write(`${first}id: 2\ndata: `);
    response.write('x'.repeat(endlessBytes), done);
  });
}

it('FAULT: streams without an event boundary do not take a router over its memory', async () => {
  const flooded: Promise<void>[] = [];
  const { hosts, router, served } = (world = await startPeerWorld((request, response) => {
    if (request.headers[kindHeader] !== 'endless') return serveWorkerRequest([], request, response);
    flooded.push(new Promise((resolve) => writeEndlessEvent(request, response, resolve)));
  }));
  for (let index = 0; index < endlessStreams; index += 1) {
    const headers = { host: 'h.example', 'x-attempt-id': `endless-${index}`, 'x-deadline-ms': '60000' };
    const target = { host: hosts.edge, port: ports.front, path: '/first/a', method: 'POST' };
    await call(target, { ...headers, 'x-token-counts': '10,2', [kindHeader]: 'endless' }, 'body').begun;
  }
  await Promise.all(flooded);
  expect(await served()).toMatchObject(completeAnswer);
  expectWithinLimits(router);
  expect(router.peak().megabytes).toBeLessThan(machineLimits.memoryMb);
});
