/**
 * Routers as real processes on loopback without dedicated control machines. `holder` has a disk that counts in the fault
 * budget and holds the control state beside its traffic; `gateway` has none and redirects operators; `lonely` finds no
 * machine with control state; `early` gets a SIGHUP during start-up. The tests wait for conditions and measure no
 * durations.
 */
import { spawn, spawnSync, type ChildProcess } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, readFileSync, renameSync, rmSync, writeFileSync, writeSync } from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { afterAll, beforeAll, expect, it } from 'vitest';
import { stringify } from 'smol-toml';
import {
  call,
  configuration,
  serveWorkerList,
  serveWorkerRequest,
  completeHeldAnswers,
  callUntil,
  openWhenRead,
  completeAnswer,
  type Answer,
  type PendingCall,
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
const heldResponses: http.ServerResponse[] = [];

function settings(machine: Machine): string {
  const ip = hosts[machine];
  const holdsState = machine === 'holder';
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
    counts_as_loss: holdsState,
    ...(holdsState ? { data_dir: join(folder, 'data') } : {}),
    zones: { a: 'r' },
    bind_addrs: {
      front_http: `${ip}:${ports.front}`,
      readiness: `${ip}:${ports.readiness}`,
      control_plane: `${ip}:${ports.control}`,
    },
    limits: {
      cpu_fraction: 1,
      cpu_cores: 2,
      memory_mb: 400,
      max_fds: 4096,
      link_mbps: 1000,
      disk_mb: holdsState ? 64 : 0,
    },
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

function exitOf(machine: Machine): Promise<[number | null, string | null]> {
  return new Promise((done) => children.get(machine)!.once('exit', (code, signal) => done([code, signal])));
}

/** The result of a call without a response; also the frame in which `callUntil` gets the text of a log. */
const noAnswer: Answer = { status: 0, body: '', complete: false, seal: undefined, location: undefined };

let requests = 0;
function send(machine: Machine, isHeld = false): PendingCall {
  requests += 1;
  const headers = {
    host: 'h.example',
    'x-attempt-id': `attempt-${requests}`,
    'x-deadline-ms': '60000',
    'x-token-counts': '10,2',
    ...(isHeld ? { 'x-hold': 'yes' } : {}),
  };
  return call({ host: hosts[machine], port: ports.front, path: '/first/a', method: 'POST' }, headers, 'body');
}

function callOperatorApi(machine: Machine, method: string, body = '', ifMatch = ''): Promise<Answer> {
  const headers = { 'content-type': 'application/json', 'if-match': ifMatch };
  return call({ host: hosts[machine], port: ports.control, path: '/config', method }, headers, body).answer;
}

function ready(machine: Machine): Promise<Answer> {
  return call({ host: hosts[machine], port: ports.readiness, path: '/ready' }).answer;
}

const servers = [
  http.createServer((request, response) => serveWorkerRequest(heldResponses, request, response)),
  http.createServer((_request, response) => serveWorkerList(`${hosts.platform}:${ports.worker}`, response)),
];
beforeAll(async () => {
  for (const [index, port] of [ports.worker, ports.list].entries())
    await new Promise<void>((up) => servers[index]!.listen(port, hosts.platform, up));
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

it('accepts changes where the state is held, redirects operators elsewhere, and serves on both', async () => {
  await callUntil(
    () => callOperatorApi('holder', 'PUT', first, '0'),
    (answer) => answer.status === 200,
  );
  const redirect = await callUntil(
    () => callOperatorApi('gateway', 'GET'),
    (answer) => answer.status === 307,
  );
  expect(redirect.location).toBe(`http://${hosts.holder}:${ports.control}/config`);
  expect((await callOperatorApi('gateway', 'PUT', configuration(9, ['other']), '3')).status).toBe(307);
  expect(await callOperatorApi('holder', 'GET')).toMatchObject({ status: 200, body: first });
  for (const machine of ['holder', 'gateway'] as const) {
    await callUntil(
      () => ready(machine),
      (answer) => answer.status === 200,
    );
    expect(await send(machine).answer).toMatchObject(completeAnswer);
  }
});

it('accepts a patch, and keeps it through a kill of the process that also serves traffic', async () => {
  const change = { revision: 5, upsert: { routes: [{ ...JSON.parse(first).routes[0], deadline_ms: 50_000 }] } };
  // 503 says that the outcome was not known in time, as on a busy disk; an operator sends the same order again.
  const statuses: number[] = [];
  while (statuses.at(-1) !== 200) {
    statuses.push((await callOperatorApi('holder', 'PATCH', JSON.stringify(change), '3')).status);
    expect([200, 503]).toContain(statuses.at(-1));
  }
  expect((await callOperatorApi('holder', 'PATCH', JSON.stringify(change), '3')).status).toBe(200);
  const exit = exitOf('holder');
  children.get('holder')!.kill('SIGKILL');
  expect(await exit).toEqual([null, 'SIGKILL']);
  expect(await send('gateway').answer).toMatchObject(completeAnswer);
  start('holder');
  const configAfterRestart = await callUntil(
    () => callOperatorApi('holder', 'GET'),
    (answer) => answer.status === 200,
  );
  expect(JSON.parse(configAfterRestart.body)).toMatchObject({
    revision: 5,
    routes: [{ name: 'first', deadline_ms: 50_000 }],
  });
});

it('answers 503 and logs it if no machine holds control state, and 405 to DELETE', async () => {
  expect((await callOperatorApi('lonely', 'GET')).status).toBe(503);
  expect((await callOperatorApi('lonely', 'PUT', first, '0')).status).toBe(503);
  expect((await callOperatorApi('lonely', 'DELETE')).status).toBe(405);
  await callUntil(
    async () => ({ ...noAnswer, body: logOf('lonely') }),
    (log) => log.body.includes('E2014'),
  );
  expect(logOf('lonely')).toMatch(/E2014 error .*no contact with any control node/);
});

it('hands over control and completes answers after SIGTERM, and exits with 0', async () => {
  await callUntil(
    () => ready('holder'),
    (answer) => answer.status === 200,
  );
  const held = send('holder', true);
  await held.begun;
  const exit = exitOf('holder');
  children.get('holder')!.kill('SIGTERM');
  await callUntil(
    () => ready('holder'),
    (answer) => answer.status === 503,
  );
  completeHeldAnswers(heldResponses);
  expect(await held.answer).toMatchObject(completeAnswer);
  expect(await exit).toEqual([0, null]);
  expect(logOf('holder')).toContain('E2012');
});

it('completes responses in progress even if SIGTERM is repeated', async () => {
  start('holder');
  await callUntil(
    () => ready('holder'),
    (answer) => answer.status === 200,
  );
  const held = send('holder', true);
  await held.begun;
  const exit = exitOf('holder');
  for (let signal = 0; signal < 3; signal += 1) {
    children.get('holder')!.kill('SIGTERM');
    await callUntil(
      () => ready('holder'),
      (answer) => answer.status === 503,
    );
  }
  // The control node hands over once and closes, until its API refuses connections (status 0), while the router continues
  // the response in progress.
  await callUntil(
    () => callOperatorApi('holder', 'GET').catch(() => noAnswer),
    (answer) => answer.status === 0,
  );
  for (let check = 0; check < 10; check += 1) expect(await ready('holder')).toMatchObject({ status: 503 });
  completeHeldAnswers(heldResponses);
  expect(await held.answer).toMatchObject(completeAnswer);
  expect(await exit).toEqual([0, null]);
  // The log still has the event of the hand-over in the previous test.
  expect(logOf('holder').match(/E2012/g)).toHaveLength(2);
});

it('survives a SIGHUP during start-up', async () => {
  const pipe = join(folder, 'pipe.toml');
  const file = join(folder, 'early.toml');
  writeFileSync(file, settings('early'));
  spawnSync('mkfifo', [pipe]);
  launch('early', pipe);
  const exit = exitOf('early');
  // A non-blocking open for writing succeeds as soon as the process has opened the pipe to read its settings.
  const settingsPipe = await openWhenRead(pipe);
  children.get('early')!.kill('SIGHUP');
  writeSync(settingsPipe, settings('early'));
  // The SIGHUP makes the process read its settings again, now from a regular file.
  renameSync(file, pipe);
  closeSync(settingsPipe);
  await callUntil(
    async () => ({ ...noAnswer, body: logOf('early') }),
    (log) => log.body.includes('E1001'),
  );
  children.get('early')!.kill('SIGTERM');
  expect(await exit).toEqual([0, null]);
});
