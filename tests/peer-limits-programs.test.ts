/**
 * Crowds of peers that do not behave, at the HTTP and inner ports of the product's own programs: the process lives, stays
 * within what its settings allow, and answers a health check while the crowd is there and after it has left.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, expect, it } from 'vitest';
import { programFile } from '../programs/fleet-runner/src/index.js';
import { repeated, startCrowd, type CrowdScript } from './peer-crowd.js';
import { startPeerProcess, type PeerProcess } from './peer-process.js';
import { expectWithinLimits, machineLimits } from './peer-world.js';
import { call, callUntil } from './platform-world.js';

const largePiece = 65_536;
const megabyte = 1024 * 1024;
const httpPort = 8000;
const innerPort = 7000;
const frameBytes = 16 * megabyte;

interface Program {
  readonly name: 'request-router' | 'router-agent' | 'control-node';
  /** The path of a call that takes a body, and the length of the longest. */
  readonly path: string;
  readonly bodyBytes: number;
}
const programs: readonly Program[] = [
  { name: 'request-router', path: '/v1/completions', bodyBytes: megabyte },
  { name: 'router-agent', path: '/desired-state', bodyBytes: 4 * megabyte },
  { name: 'control-node', path: '/vitals', bodyBytes: megabyte },
];

type Crowd = (program: Program) => CrowdScript;
function post({ path }: Program, fields: string): string {
  return `POST ${path} HTTP/1.1\r\nHost: program\r\nContent-Type: application/json\r\n${fields}\r\n\r\n`;
}
function oneByteShort(program: Program): CrowdScript {
  return function* () {
    yield post(program, `Content-Length: ${program.bodyBytes}`);
    yield* repeated('x', program.bodyBytes - 1, largePiece);
  };
}
function tinyChunks(program: Program): CrowdScript {
  return function* () {
    yield post(program, 'Transfer-Encoding: chunked');
    yield* repeated('1\r\nx\r\n', megabyte, largePiece);
  };
}
function nothing(): CrowdScript {
  return function* () {
    yield '';
  };
}
function unfinishedFrame(): CrowdScript {
  return function* () {
    const hello = Buffer.from(JSON.stringify({ tansypost: 1, from: '127.0.0.1:9', fingerprint: 'unknown' }));
    const lengths = [hello.length, frameBytes].map((length) => {
      const header = Buffer.alloc(4);
      header.writeUInt32BE(length);
      return header;
    });
    yield Buffer.concat([lengths[0]!, hello, lengths[1]!]);
    yield* repeated('x', frameBytes - 1, largePiece);
  };
}

const kinds: readonly (readonly [name: string, port: number, members: number, script: Crowd])[] = [
  ['bodies one byte short', httpPort, 300, oneByteShort],
  ['chunks of one byte that do not end', httpPort, 60, tinyChunks],
  ['nothing', httpPort, 700, nothing],
  ['a frame that does not end', innerPort, 30, unfinishedFrame],
];

let running: PeerProcess | undefined;
const folder = mkdtempSync(join(tmpdir(), 'programs-'));
afterEach(async () => {
  await running?.kill();
  running = undefined;
});

let starts = 0;
function start({ name }: Program): string {
  starts += 1;
  const host = `127.${180 + (process.pid % 40)}.${starts % 250}.1`;
  const data = join(folder, `data-${starts}`);
  const seeds = [1, 2, 3].map((index) => `${host}:${innerPort + index}`);
  const common = { member: 'm', zone: 'z', listen: `${host}:${innerPort}`, http: `${host}:${httpPort}` };
  const allowance = { memoryMb: machineLimits.memoryMb, maxDescriptors: machineLimits.maxDescriptors };
  const own = {
    'request-router': { agent: `${host}:7009` },
    'router-agent': { seeds, router: `${host}:7009`, routerHttp: `${host}:8009`, slot: 0 },
    'control-node': { seeds, core: [common.listen, ...seeds.slice(1)], data, slot: 0 },
  }[name];
  const file = join(folder, `${starts}.json`);
  writeFileSync(file, JSON.stringify({ ...common, ...allowance, ...own }));
  running = startPeerProcess({
    args: ['--max-old-space-size=140', '--v8-pool-size=0', programFile(name), '--boot', file],
    environment: {},
    logFile: join(folder, `${starts}.log`),
  });
  return host;
}

async function expectHealthAnswer(host: string): Promise<void> {
  function check(): void {
    if (running!.exit() !== undefined) throw new Error(`the process has ended: ${running!.exit()}`);
  }
  const vitals = { host, port: httpPort, path: '/vitals' };
  const answer = await callUntil(
    () => call(vitals).answer,
    ({ complete }) => complete,
    check,
  );
  expect([200, 503]).toContain(answer.status);
}

it.each(
  programs.flatMap((program) =>
    kinds.map(([kind, port, members, script]) => ({ program, name: program.name, kind, port, members, script })),
  ),
)('a $name stays within its limits beside a crowd that sends $kind', async ({ program, port, members, script }) => {
  const host = start(program);
  await expectHealthAnswer(host);
  const crowd = startCrowd({ host, port, members, script: script(program) });
  await crowd.settled;
  await expectHealthAnswer(host);
  crowd.leave();
  await expectHealthAnswer(host);
  expectWithinLimits(running!);
});

it('names a limit in the settings that is no number', async () => {
  const file = join(folder, 'wrong.json');
  writeFileSync(file, JSON.stringify({ member: 'm', zone: 'z', memoryMb: 'much' }));
  const logFile = join(folder, 'wrong.log');
  const wrong = startPeerProcess({ args: [programFile('request-router'), '--boot', file], environment: {}, logFile });
  await wrong.exited;
  expect(wrong.exit()).toContain('exit code 2');
  rmSync(folder, { recursive: true });
});
