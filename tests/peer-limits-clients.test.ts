/**
 * Crowds of clients that do not behave, at the port for clients of a real router: the process lives, its memory (unread
 * bytes included) and its descriptors stay under what its settings allow, and an ordinary request is answered while the
 * crowd is there and after it has left. Each kind of crowd meets a fresh process. No durations are measured.
 */
import type http from 'node:http';
import { afterEach, expect, it } from 'vitest';
import { repeated, startCrowd, type CrowdOptions, type CrowdScript } from './peer-crowd.js';
import { clientLimits, expectWithinLimits, ports, startPeerWorld, type PeerWorld } from './peer-world.js';
import { completeAnswer, serveWorkerRequest } from './platform-world.js';

const oneShort = clientLimits.maxBodyBytes - 1;
const requestLine = 'POST /first/a HTTP/1.1\r\n';
const largePiece = 65_536;
/** About the size of one packet. */
const smallPiece = 1400;

function headOf(member: number, fields: string): string {
  return `${requestLine}Host: h.example\r\nX-Attempt-Id: crowd-${member}\r\nX-Deadline-Ms: 60000\r\n${fields}\r\n\r\n`;
}
function sized(member: number, bytes = clientLimits.maxBodyBytes): string {
  return headOf(member, `Content-Length: ${bytes}`);
}
function chunked(member: number): string {
  return headOf(member, 'Transfer-Encoding: chunked');
}
function chunk(bytes: number): string {
  return `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
}

function* wholeBodies(member: number): Generator<Buffer | string> {
  yield sized(member);
  yield* repeated('x', clientLimits.maxBodyBytes, largePiece);
}
function* oneByteShort(member: number): Generator<Buffer | string> {
  yield sized(member);
  yield* repeated('x', oneShort, largePiece);
}
function* pieceByPiece(member: number): Generator<Buffer | string> {
  yield sized(member);
  yield* repeated('x', oneShort, smallPiece);
}
function* largeChunks(member: number): Generator<Buffer | string> {
  yield chunked(member);
  for (let sent = 0; sent + largePiece < clientLimits.maxBodyBytes; sent += largePiece) yield chunk(largePiece);
}
/** A quarter of a body in chunks of one byte each. */
function* tinyChunks(member: number): Generator<Buffer | string> {
  yield chunked(member);
  yield* repeated(chunk(1), (clientLimits.maxBodyBytes / 4) * chunk(1).length, largePiece);
}
function* longHeads(member: number): Generator<Buffer | string> {
  yield `${requestLine}Host: h.example\r\nX-Attempt-Id: crowd-${member}\r\nX-Long: `;
  yield* repeated('y', clientLimits.maxBodyBytes - largePiece, largePiece);
}
function* manyFields(member: number): Generator<Buffer | string> {
  yield `${requestLine}Host: h.example\r\nX-Attempt-Id: crowd-${member}\r\n`;
  yield* repeated('X-Ab: cd\r\n', clientLimits.maxBodyBytes, largePiece);
}
function* longTargets(): Generator<Buffer | string> {
  yield 'POST /first/';
  yield* repeated('z', clientLimits.maxBodyBytes - largePiece, largePiece);
}
function* longTrailers(member: number): Generator<Buffer | string> {
  yield `${chunked(member)}${chunk(1)}0\r\n`;
  yield* repeated('X-Ab: cd\r\n', clientLimits.maxBodyBytes, largePiece);
}
function* longChunkExtensions(member: number): Generator<Buffer | string> {
  yield `${chunked(member)}1;`;
  yield* repeated('e', clientLimits.maxBodyBytes, largePiece);
}
/** Requests one after the other without waiting for an answer. */
function* pipelined(member: number): Generator<Buffer | string> {
  const body = 'x'.repeat(largePiece);
  for (let index = 0; index < 64; index += 1) yield `${sized(member * 1000 + index, largePiece)}${body}`;
}
function* nothing(): Generator<Buffer | string> {
  yield '';
}

const kinds: readonly (readonly [
  name: string,
  members: number,
  script: CrowdScript,
  options?: Partial<CrowdOptions>,
])[] = [
  ['whole bodies', 100, wholeBodies],
  ['bodies one byte short', 100, oneByteShort],
  ['bodies piece by piece, one byte short', 100, pieceByPiece],
  ['large chunks that do not end', 100, largeChunks],
  ['chunks of one byte that do not end', 40, tinyChunks],
  ['a head with one endless field', 100, longHeads],
  ['a head with endlessly many fields', 100, manyFields],
  ['an endless request target', 100, longTargets],
  ['endless trailers', 100, longTrailers],
  ['endless extensions of a chunk', 100, longChunkExtensions],
  ['requests without waiting for answers', 100, pipelined],
  ['connections on which nothing is sent', 700, nothing],
];

let world: PeerWorld | undefined;
afterEach(async () => {
  await world?.close();
  world = undefined;
});

it.each(kinds)('stays within its limits and serves others beside a crowd that sends %s', async (...kind) => {
  const [, members, script, options] = kind;
  world = await startPeerWorld();
  const crowd = startCrowd({ host: world.hosts.edge, port: ports.front, members, script, ...options });
  await crowd.settled;
  expect(world.router.exit()).toBeUndefined();
  expect(await world.served()).toMatchObject(completeAnswer);
  crowd.leave();
  expect(await world.served()).toMatchObject(completeAnswer);
  expectWithinLimits(world.router);
});

it('answers an ordinary request at the first try beside 80 bodies in chunks of one byte', async () => {
  world = await startPeerWorld();
  const { hosts, router, request } = world;
  const crowd = startCrowd({ host: hosts.edge, port: ports.front, members: 80, script: tinyChunks, returns: 0 });
  await crowd.settled;
  expect(await request()).toMatchObject(completeAnswer);
  await crowd.allClosed();
  expect(await request()).toMatchObject(completeAnswer);
  expectWithinLimits(router);
});

it('stays within its limits beside clients that read no answers', async () => {
  const answerBytes = 4 * clientLimits.maxBodyBytes;
  function respond(request: http.IncomingMessage, response: http.ServerResponse): void {
    const id = request.headers['x-attempt-id'];
    if (typeof id !== 'string' || !id.startsWith('crowd')) return serveWorkerRequest([], request, response);
    request.resume();
    response.writeHead(200, { 'Content-Type': 'text/event-stream', 'X-Attempt-Id': id, 'X-Server-Seal': 'seal' });
    for (let event = 1, sent = 0; sent < answerBytes;) {
      let piece = '';
      for (; piece.length < largePiece; event += 1) piece += `id: ${event}\ndata: x\n\n`;
      response.write(piece);
      sent += piece.length;
    }
    response.end();
  }
  world = await startPeerWorld(respond);
  function* oneRequest(member: number): Generator<string> {
    yield `${sized(member, 1)}x`;
  }
  const crowd = startCrowd({
    host: world.hosts.edge,
    port: ports.front,
    members: 100,
    script: oneRequest,
    reads: false,
  });
  await crowd.settled;
  expect(await world.served()).toMatchObject(completeAnswer);
  crowd.leave();
  expect(await world.served()).toMatchObject(completeAnswer);
  expectWithinLimits(world.router);
});

it.each([
  ['before the first request', ''],
  ['between requests', `${sized(1, 1)}x`],
])('closes a connection on which empty lines without end are sent %s', async (_phase, before) => {
  world = await startPeerWorld();
  function* emptyLines(): Generator<string> {
    if (before !== '') yield before;
    for (;;) yield '\r\n';
  }
  const crowd = startCrowd({ host: world.hosts.edge, port: ports.front, members: 20, script: emptyLines, returns: 0 });
  expect(await world.served()).toMatchObject(completeAnswer);
  await crowd.allClosed();
  expect(await world.served()).toMatchObject(completeAnswer);
  expectWithinLimits(world.router);
});

it('serves single requests at the limits of the configuration in calm', async () => {
  world = await startPeerWorld();
  const longest = await world.request(Buffer.alloc(clientLimits.maxBodyBytes, 'x'));
  expect(longest).toMatchObject(completeAnswer);
  const largeHead = { 'x-long': 'y'.repeat(clientLimits.maxHeaderBytes - 500) };
  expect(await world.request(undefined, largeHead)).toMatchObject(completeAnswer);
  expect(await world.request(Buffer.alloc(clientLimits.maxBodyBytes + 1, 'x'))).toMatchObject({ status: 413 });
  expectWithinLimits(world.router);
});
