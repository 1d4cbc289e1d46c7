/**
 * The router's program as real processes on loopback, where no machine is for control alone: one with a disk whose loss
 * is counted, which holds the control state beside its traffic, and one without, which sends operators on. The test
 * waits on conditions; nothing in it looks at how long anything took.
 */
import { spawn, spawnSync, type ChildProcess } from 'node:child_process';
import {
  closeSync,
  constants,
  mkdtempSync,
  openSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
  writeSync,
} from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { afterAll, beforeAll, expect, it } from 'vitest';
import { stringify } from 'smol-toml';
import {
  call,
  configuration,
  playList,
  playWorker,
  releaseAnswers,
  until,
  whole,
  type Answer,
  type Asked,
} from './platform-world.js';

type Machine = 'holder' | 'gateway' | 'lonely' | 'early';

const program = fileURLToPath(new URL('../platform/dist/entry.js', import.meta.url));
const octet = 10 + (process.pid % 200);
const hosts = {
  holder: `127.78.${octet}.1`,
  gateway: `127.78.${octet}.2`,
  lonely: `127.78.${octet}.3`,
  platform: `127.78.${octet}.4`,
  early: `127.78.${octet}.5`,
};
const ports = { front: 8261, readiness: 8267, control: 8266, inner: 7820, list: 8269, worker: 8180 };
const folder = mkdtempSync(join(tmpdir(), 'shared-'));
const children = new Map<Machine, ChildProcess>();
const heldAnswers: http.ServerResponse[] = [];

function settings(machine: Machine): string {
  const ip = hosts[machine];
  const holds = machine === 'holder';
  return stringify({
    node_name: machine,
    role: 'router',
    serves: ['edge', 'control'],
    ip,
    zone: 'a',
    region: 'r',
    port_range: [ports.inner, ports.inner + 15],
    seed_nodes: [`${machine === 'lonely' ? hosts.lonely : hosts.holder}:${ports.control}`],
    bootstrap: true,
    counts_as_loss: holds,
    ...(holds ? { data_dir: join(folder, 'data') } : {}),
    zones: { a: 'r' },
    bind_addrs: {
      front_http: `${ip}:${ports.front}`,
      readiness: `${ip}:${ports.readiness}`,
      control_plane: `${ip}:${ports.control}`,
    },
    limits: { cpu_fraction: 1, cpu_cores: 2, memory_mb: 400, max_fds: 4096, link_mbps: 1000, disk_mb: holds ? 64 : 0 },
    fault_budget: { machine_losses: 0, zones: 0, region_losses: 0 },
    bounds: { grace_s: 6, drain_ms: 3000, retry_ratio: 0.2, retry_slack: 50, retry_window_s: 10 },
    platform_api: { address: `${hosts.platform}:${ports.list}`, rate_per_s: 47, duties: [], max_lag_ms: 800 },
  });
}

function start(machine: Machine): void {
  const file = join(folder, `${machine}.toml`);
  writeFileSync(file, settings(machine));
  launch(machine, file);
}

function launch(machine: Machine, file: string): void {
  const log = openSync(join(folder, `${machine}.log`), 'a');
  const env = { PATH: process.env['PATH'], TANSYPOST_NODE_FILE: file };
  children.set(machine, spawn(process.execPath, [program, 'router'], { stdio: ['ignore', log, log], env }));
  closeSync(log);
}

function logOf(machine: Machine): string {
  return readFileSync(join(folder, `${machine}.log`), 'utf8');
}

function ended(machine: Machine): Promise<[number | null, string | null]> {
  return new Promise((done) => children.get(machine)!.once('exit', (code, signal) => done([code, signal])));
}

/** Stands for a call that got no answer. */
const nothing: Answer = { status: 0, body: '', complete: false, seal: undefined, location: undefined };

/** Opens a pipe for writing as soon as somebody reads it. */
async function openWhenRead(pipe: string): Promise<number> {
  for (;;) {
    try {
      return openSync(pipe, constants.O_WRONLY | constants.O_NONBLOCK);
    } catch {
      await new Promise((again) => setImmediate(again));
    }
  }
}

let requests = 0;
function ask(machine: Machine, hold = false): Asked {
  requests += 1;
  const headers = {
    host: 'h.example',
    'x-attempt-id': `attempt-${requests}`,
    'x-deadline-ms': '60000',
    'x-token-counts': '10,2',
    ...(hold ? { 'x-hold': 'yes' } : {}),
  };
  return call({ host: hosts[machine], port: ports.front, path: '/first/a', method: 'POST' }, headers, 'body');
}

function operate(machine: Machine, method: string, body = '', match = ''): Promise<Answer> {
  const headers = { 'content-type': 'application/json', 'if-match': match };
  return call({ host: hosts[machine], port: ports.control, path: '/config', method }, headers, body).answer;
}

function ready(machine: Machine): Promise<Answer> {
  return call({ host: hosts[machine], port: ports.readiness, path: '/ready' }).answer;
}

const servers = [
  http.createServer((q, a) => playWorker(heldAnswers, q, a)),
  http.createServer((_q, a) => playList(`${hosts.platform}:${ports.worker}`, a)),
];
beforeAll(async () => {
  for (const [n, port] of [ports.worker, ports.list].entries())
    await new Promise<void>((up) => servers[n]!.listen(port, hosts.platform, up));
  start('gateway');
  start('holder');
  start('lonely');
});
afterAll(() => {
  for (const child of children.values()) child.kill('SIGKILL');
  for (const server of servers) {
    server.closeAllConnections();
    server.close();
  }
  rmSync(folder, { recursive: true });
});

const first = configuration(3, ['first']);

it('takes changes where the state is held, sends operators on from elsewhere, and serves on both', async () => {
  await until(
    () => operate('holder', 'PUT', first, '0'),
    (a) => a.status === 200,
  );
  const sentOn = await until(
    () => operate('gateway', 'GET'),
    (a) => a.status === 307,
  );
  expect(sentOn.location).toBe(`http://${hosts.holder}:${ports.control}/config`);
  expect((await operate('gateway', 'PUT', configuration(9, ['other']), '3')).status).toBe(307);
  expect(await operate('holder', 'GET')).toMatchObject({ status: 200, body: first });
  for (const machine of ['holder', 'gateway'] as const) {
    await until(
      () => ready(machine),
      (a) => a.status === 200,
    );
    expect(await ask(machine).answer).toMatchObject(whole);
  }
});

it('takes a difference by name, and has it again after a kill of the process that also serves traffic', async () => {
  const change = { revision: 5, upsert: { routes: [{ ...JSON.parse(first).routes[0], deadline_ms: 50_000 }] } };
  expect((await operate('holder', 'PATCH', JSON.stringify(change), '3')).status).toBe(200);
  const gone = ended('holder');
  children.get('holder')!.kill('SIGKILL');
  expect(await gone).toEqual([null, 'SIGKILL']);
  expect(await ask('gateway').answer).toMatchObject(whole);
  start('holder');
  const back = await until(
    () => operate('holder', 'GET'),
    (a) => a.status === 200,
  );
  expect(JSON.parse(back.body)).toMatchObject({ revision: 5, routes: [{ name: 'first', deadline_ms: 50_000 }] });
});

it('answers 503 and says so in its log where no machine holds control state', async () => {
  expect((await operate('lonely', 'GET')).status).toBe(503);
  expect((await operate('lonely', 'PUT', first, '0')).status).toBe(503);
  expect((await operate('lonely', 'DELETE')).status).toBe(405);
  await until(
    async () => ({ ...nothing, body: logOf('lonely') }),
    (log) => log.body.includes('E2014'),
  );
  expect(logOf('lonely')).toMatch(/E2014 error .*no control node has been heard/);
});

it('hands control over and lets answers end after SIGTERM, and ends with 0', async () => {
  await until(
    () => ready('holder'),
    (a) => a.status === 200,
  );
  const held = ask('holder', true);
  await held.begun;
  const gone = ended('holder');
  children.get('holder')!.kill('SIGTERM');
  await until(
    () => ready('holder'),
    (a) => a.status === 503,
  );
  releaseAnswers(heldAnswers);
  expect(await held.answer).toMatchObject(whole);
  expect(await gone).toEqual([0, null]);
  expect(logOf('holder')).toContain('E2012');
});

it('lets answers end though SIGTERM comes again and again', async () => {
  start('holder');
  await until(
    () => ready('holder'),
    (a) => a.status === 200,
  );
  const held = ask('holder', true);
  await held.begun;
  const gone = ended('holder');
  for (let signal = 0; signal < 3; signal += 1) {
    children.get('holder')!.kill('SIGTERM');
    await until(
      () => ready('holder'),
      (a) => a.status === 503,
    );
  }
  // The control node hands over once and is closed, while the router goes on with the answer under way.
  await until(
    () => operate('holder', 'GET').catch(() => nothing),
    (a) => a.status === 0,
  );
  for (let look = 0; look < 10; look += 1) expect(await ready('holder')).toMatchObject({ status: 503 });
  releaseAnswers(heldAnswers);
  expect(await held.answer).toMatchObject(whole);
  expect(await gone).toEqual([0, null]);
  expect(logOf('holder').match(/E2012/g)).toHaveLength(2);
});

it('outlives a reload that is asked for while it starts', async () => {
  const pipe = join(folder, 'pipe.toml');
  const file = join(folder, 'early.toml');
  writeFileSync(file, settings('early'));
  spawnSync('mkfifo', [pipe]);
  launch('early', pipe);
  const ending = ended('early');
  // The pipe opens for writing without waiting as soon as the process has opened it to read its settings.
  const settingsPipe = await openWhenRead(pipe);
  children.get('early')!.kill('SIGHUP');
  writeSync(settingsPipe, settings('early'));
  renameSync(file, pipe);
  closeSync(settingsPipe);
  await until(
    async () => ({ ...nothing, body: logOf('early') }),
    (seen) => seen.body.includes('E1001'),
  );
  children.get('early')!.kill('SIGTERM');
  expect(await ending).toEqual([0, null]);
});
