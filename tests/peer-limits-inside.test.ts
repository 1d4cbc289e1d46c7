/**
 * Crowds of peers that do not behave, at the ports other than that for clients: the operators' port of a control node and
 * of a router, the readiness port, and the inner ports. The process lives, stays within what its settings allow, and
 * answers an ordinary call while the crowd is there and after it has left. Each kind of crowd meets fresh processes.
 */
import { afterEach, expect, it } from 'vitest';
import { repeated, startCrowd, type CrowdScript } from './peer-crowd.js';
import { expectWithinLimits, ports, startPeerWorld, type PeerWorld } from './peer-world.js';
import { completeAnswer } from './platform-world.js';

const largePiece = 65_536;
const megabyte = 1024 * 1024;
/** Far above the length of any configuration that these tests submit. */
const largeBody = 8 * megabyte;

function put(fields: string): string {
  return `PUT /config HTTP/1.1\r\nHost: control\r\nIf-Match: 3\r\nContent-Type: application/json\r\n${fields}\r\n\r\n`;
}
function chunk(bytes: number): string {
  return `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
}

function* oneByteShort(): Generator<Buffer | string> {
  yield put(`Content-Length: ${largeBody}`);
  yield* repeated('x', largeBody - 1, largePiece);
}
function* largeChunks(): Generator<Buffer | string> {
  yield put('Transfer-Encoding: chunked');
  for (let sent = 0; sent + largePiece < largeBody; sent += largePiece) yield chunk(largePiece);
}
function* tinyChunks(): Generator<Buffer | string> {
  yield put('Transfer-Encoding: chunked');
  yield* repeated(chunk(1), megabyte * chunk(1).length, largePiece);
}
/** A whole body whose objects take many times its length. */
function* emptyObjects(): Generator<Buffer | string> {
  yield put(`Content-Length: ${largeBody}`);
  yield '[';
  yield* repeated('{},', largeBody - 2, largePiece);
  yield ']';
}
function* manyFields(): Generator<Buffer | string> {
  yield 'GET /config HTTP/1.1\r\nHost: control\r\n';
  yield* repeated('X-Ab: cd\r\n', largeBody, largePiece);
}
function* nothing(): Generator<Buffer | string> {
  yield '';
}
function* ignoredBody(): Generator<Buffer | string> {
  yield `GET /ready HTTP/1.1\r\nHost: ready\r\nContent-Length: ${largeBody}\r\n\r\n`;
  yield* repeated('x', largeBody - 1, largePiece);
}
/** Calls whose answers are not read. */
function* manyCalls(): Generator<Buffer | string> {
  yield* repeated('GET /config HTTP/1.1\r\nHost: control\r\n\r\n', 2 * megabyte, largePiece);
}

function frame(body: Buffer, length = body.length): Buffer {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(length);
  return Buffer.concat([header, body]);
}
/** The hello of a release whose schemas are not known here. */
const hello = frame(Buffer.from(JSON.stringify({ tansypost: 1, from: '127.0.0.1:9', fingerprint: 'unknown' })));
const frameBytes = 16 * megabyte;

function* unfinishedFrame(): Generator<Buffer | string> {
  yield hello;
  yield frame(Buffer.alloc(0), frameBytes);
  yield* repeated('x', frameBytes - 1, largePiece);
}
function* unfinishedHello(): Generator<Buffer | string> {
  yield frame(Buffer.alloc(0), frameBytes);
  yield* repeated('x', frameBytes - 1, largePiece);
}
/** A whole hello with a list of schemas that takes many times its length. */
function* hugeHello(): Generator<Buffer | string> {
  const start = Buffer.from('{"tansypost":1,"from":"127.0.0.1:9","schemas":[');
  const end = Buffer.from('0]}');
  const schemas = largeBody - start.length - end.length;
  yield frame(start, start.length + schemas - (schemas % 3) + end.length);
  yield* repeated('{},', schemas - (schemas % 3), largePiece);
  yield end;
}
/** Whole frames that wait for schemas that never come. */
function* framesWithoutSchemas(): Generator<Buffer | string> {
  yield hello;
  const small = frame(Buffer.from('ab'));
  yield* repeated(small.toString('latin1'), 4 * megabyte, largePiece);
}

interface Target {
  readonly name: string;
  readonly machine: 'control' | 'edge';
  readonly port: number;
}
const operators: Target = { name: 'operators', machine: 'control', port: ports.control };
const redirect: Target = { name: 'redirected operators', machine: 'edge', port: ports.control };
const readiness: Target = { name: 'readiness checks', machine: 'edge', port: ports.readiness };
const innerControl: Target = { name: 'inner links of a control node', machine: 'control', port: ports.inner };
const innerRouter: Target = { name: 'inner links of a router', machine: 'edge', port: ports.inner };

const kinds: readonly (readonly [target: Target, name: string, members: number, script: CrowdScript])[] = [
  [operators, 'bodies one byte short', 50, oneByteShort],
  [operators, 'large chunks that do not end', 50, largeChunks],
  [operators, 'chunks of one byte that do not end', 40, tinyChunks],
  [operators, 'whole bodies of many objects', 10, emptyObjects],
  [operators, 'heads with endlessly many fields', 100, manyFields],
  [operators, 'calls without reading the answers', 60, manyCalls],
  [operators, 'nothing', 700, nothing],
  [redirect, 'bodies one byte short', 50, oneByteShort],
  [redirect, 'heads with endlessly many fields', 100, manyFields],
  [redirect, 'calls without reading the answers', 60, manyCalls],
  [redirect, 'nothing', 700, nothing],
  [readiness, 'bodies that nobody asked for', 50, ignoredBody],
  [readiness, 'heads with endlessly many fields', 100, manyFields],
  [readiness, 'nothing', 700, nothing],
  [innerControl, 'a frame that does not end', 30, unfinishedFrame],
  [innerControl, 'a hello that does not end', 30, unfinishedHello],
  [innerControl, 'a hello with a huge list of schemas', 10, hugeHello],
  [innerControl, 'frames whose schemas never come', 50, framesWithoutSchemas],
  [innerControl, 'nothing', 700, nothing],
  [innerRouter, 'a frame that does not end', 30, unfinishedFrame],
  [innerRouter, 'a hello with a huge list of schemas', 10, hugeHello],
  [innerRouter, 'frames whose schemas never come', 50, framesWithoutSchemas],
  [innerRouter, 'nothing', 700, nothing],
];

let world: PeerWorld | undefined;
afterEach(async () => {
  await world?.close();
  world = undefined;
});

async function expectOrdinaryAnswers({ untilExit, readConfig, ready, served }: PeerWorld): Promise<void> {
  await untilExit(readConfig, ({ status, complete }) => status === 200 && complete);
  await untilExit(ready, ({ status }) => status === 200);
  expect(await served()).toMatchObject(completeAnswer);
}

it.each(kinds.map(([target, name, members, script]) => ({ target, port: target.name, name, members, script })))(
  'stays within its limits and answers others beside a crowd of $port that sends $name',
  async ({ target, members, script }) => {
    world = await startPeerWorld();
    const reads = script !== manyCalls;
    const crowd = startCrowd({ host: world.hosts[target.machine], port: target.port, members, script, reads });
    await crowd.settled;
    expect(world.router.exit()).toBeUndefined();
    expect(world.controlNode.exit()).toBeUndefined();
    await expectOrdinaryAnswers(world);
    crowd.leave();
    await expectOrdinaryAnswers(world);
    expectWithinLimits(world.router);
    expectWithinLimits(world.controlNode);
  },
);

it('takes a change of some size in calm', async () => {
  world = await startPeerWorld();
  const names = Array.from({ length: 4000 }, (_, index) => ({ name: `tenant-${index}`, api_keys: [`key-${index}`] }));
  const current = JSON.parse((await world.readConfig()).body) as object;
  const larger = JSON.stringify({ ...current, revision: 5, tenants: names });
  expect((await world.putConfig(larger, '3')).status).toBe(200);
  expectWithinLimits(world.controlNode);
});
