/**
 * The platform's two roles, the router and the control node (role `keeper`), as real processes on loopback, with a worker
 * and a worker list served by the test: signals and changed settings or configurations end no request in progress, a
 * repeated change is acknowledged again, and a kill of the control process loses nothing. The
 * tests wait for conditions and measure no durations.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
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
  completeAnswer,
  type Answer,
  type PendingCall,
} from './platform-world.js';

const program = fileURLToPath(new URL('../platform/dist/entry.js', import.meta.url));
const octet = 10 + (process.pid % 200);
const hosts = { control: `127.77.${octet}.1`, edge: `127.77.${octet}.2`, platform: `127.77.${octet}.3` };
const ports = { front: 8161, readiness: 8167, control: 8166, inner: 7720, list: 8169, worker: 8080 };
const folder = mkdtempSync(join(tmpdir(), 'platform-'));
const children = new Map<string, ChildProcess>();
const heldResponses: http.ServerResponse[] = [];

function settings(role: 'router' | 'keeper', overrides: Record<string, unknown> = {}): string {
  const ip = role === 'router' ? hosts.edge : hosts.control;
  return stringify({
    node_name: `${role}-1`,
    role,
    serves: [role === 'router' ? 'edge' : 'control'],
    ip,
    zone: 'a',
    region: 'r',
    port_range: [ports.inner, ports.inner + 15],
    seed_nodes: [`${hosts.control}:${ports.control}`],
    bootstrap: true,
    counts_as_loss: role === 'keeper',
    ...(role === 'keeper' ? { data_dir: join(folder, 'data') } : {}),
    zones: { a: 'r' },
    bind_addrs:
      role === 'router'
        ? { front_http: `${ip}:${ports.front}`, readiness: `${ip}:${ports.readiness}` }
        : { control_plane: `${ip}:${ports.control}` },
    limits: { cpu_fraction: 1, cpu_cores: 2, memory_mb: 400, max_fds: 4096, link_mbps: 1000, disk_mb: 128 },
    fault_budget: { machine_losses: 0, zones: 0, region_losses: 0 },
    bounds: {
      grace_s: 6,
      drain_ms: 3000,
      retry_ratio: 0.2,
      retry_slack: 50,
      retry_window_s: 10,
      usage_window_s: 1,
      usage_delay_s: 4,
    },
    platform_api: {
      address: `${hosts.platform}:${ports.list}`,
      rate_per_s: 47,
      duties: ['usage_report', 'autoscale'],
      max_lag_ms: 800,
      duty_per_s: 20,
    },
    ...overrides,
  });
}

function start(role: 'router' | 'keeper'): void {
  const file = join(folder, `${role}.toml`);
  writeFileSync(file, settings(role));
  const log = openSync(join(folder, `${role}.log`), 'a');
  const env = { PATH: process.env['PATH'], TANSYPOST_NODE_FILE: file };
  children.set(role, spawn(process.execPath, [program, role], { stdio: ['ignore', log, log], env }));
  closeSync(log);
}
function exitOf(role: string): Promise<[number | null, string | null]> {
  return new Promise((done) => children.get(role)!.once('exit', (code, signal) => done([code, signal])));
}

/** A duty call as the platform received it. */
interface DutyCall {
  readonly path: string;
  readonly holder: unknown;
  readonly fence: number;
  readonly body: string;
}
const dutyCalls: DutyCall[] = [];

/** The platform API: serves the worker list to a GET and records any other call as a duty call. */
function servePlatformApi(request: http.IncomingMessage, answer: http.ServerResponse): void {
  if (request.method === 'GET') return serveWorkerList(`${hosts.platform}:${ports.worker}`, answer);
  const chunks: Buffer[] = [];
  request.on('data', (chunk: Buffer) => chunks.push(chunk));
  request.on('end', () => {
    const { 'x-duty-holder': holder, 'x-fence': fence } = request.headers;
    dutyCalls.push({ path: request.url!, holder, fence: Number(fence), body: Buffer.concat(chunks).toString() });
    answer.end();
  });
}

let requests = 0;
function send(path: string, isHeld = false, extraHeaders: Record<string, string> = {}): PendingCall {
  requests += 1;
  const headers = {
    host: 'h.example',
    'x-attempt-id': `attempt-${requests}`,
    'x-deadline-ms': '60000',
    'x-token-counts': '10,2',
    ...(isHeld ? { 'x-hold': 'yes' } : {}),
    ...extraHeaders,
  };
  return call({ host: hosts.edge, port: ports.front, path, method: 'POST' }, headers, 'body');
}
function ready(): Promise<Answer> {
  return call({ host: hosts.edge, port: ports.readiness, path: '/ready' }).answer;
}
function put(body: string, ifMatch: string): Promise<Answer> {
  const headers = { 'content-type': 'application/json', 'if-match': ifMatch };
  return call({ host: hosts.control, port: ports.control, path: '/config', method: 'PUT' }, headers, body).answer;
}
function readConfig(): Promise<Answer> {
  return call({ host: hosts.control, port: ports.control, path: '/config' }).answer;
}
const servers = [
  http.createServer((request, response) => serveWorkerRequest(heldResponses, request, response)),
  http.createServer(servePlatformApi),
];
beforeAll(async () => {
  for (const [index, port] of [ports.worker, ports.list].entries())
    await new Promise<void>((up) => servers[index]!.listen(port, hosts.platform, up));
  start('router');
  start('keeper');
});
afterAll(() => {
  for (const child of children.values()) child.kill('SIGKILL');
  for (const server of servers) {
    server.closeAllConnections();
    server.close();
  }
  rmSync(folder, { recursive: true });
});

it('cuts off no request on SIGHUP, settings with unknown fields and changed routes, and serves 20 of 20 on a route added later', async () => {
  const first = configuration(3, ['first']);
  await callUntil(
    () => put(first, '0'),
    (answer) => answer.status === 200,
  );
  await callUntil(ready, (answer) => answer.status === 200);
  const heldRequests = Array.from({ length: 5 }, () => send('/first/a', true));
  await Promise.all(heldRequests.map((held) => held.begun));

  for (const role of ['router', 'keeper'] as const) {
    // Both fields are unknown: the known `duties` is in `platform_api`. The known settings stay as they are.
    writeFileSync(join(folder, `${role}.toml`), settings(role, { duties: [], new_field: 1 }));
    children.get(role)!.kill('SIGHUP');
  }
  const second = configuration(7, ['later']);
  expect((await put(second, '3')).status).toBe(200);
  await callUntil(
    () => send('/later/a').answer,
    (answer) => answer.status === 200,
  );
  const laterAnswers = await Promise.all(Array.from({ length: 20 }, () => send('/later/a').answer));
  expect(
    laterAnswers.map((answer) => ({ status: answer.status, body: answer.body, complete: answer.complete })),
  ).toEqual(Array(20).fill(completeAnswer));
  expect((await send('/first/a').answer).status).toBe(404);

  completeHeldAnswers(heldResponses);
  const answers = await Promise.all(heldRequests.map((held) => held.answer));
  for (const answer of answers) expect(answer).toMatchObject(completeAnswer);
  expect(new Set(answers.map((answer) => answer.seal)).size).toBe(5);
});

it('acknowledges a repeated change again, and never accepts a malformed If-Match', async () => {
  const second = configuration(7, ['later']);
  expect((await put(second, '3')).status).toBe(200);
  expect((await put(configuration(3, ['first']), '0')).status).toBe(200);
  for (const ifMatch of ['W/"7"', '7, 9', '-7', ''])
    expect((await put(configuration(9, ['bad']), ifMatch)).status).toBe(400);
  expect((await put(configuration(9, ['bad']), '3')).status).toBe(412);
  expect(await readConfig()).toMatchObject({ status: 200, body: second });
});

it('keeps acknowledged changes through a kill of the control process, and serves in the meantime', async () => {
  const exit = exitOf('keeper');
  children.get('keeper')!.kill('SIGKILL');
  expect(await exit).toEqual([null, 'SIGKILL']);
  expect(await send('/later/a').answer).toMatchObject(completeAnswer);
  start('keeper');
  const answer = await callUntil(readConfig, (answer) => answer.status === 200);
  expect(answer.body).toBe(configuration(7, ['later']));
});

interface UsageReport {
  readonly window_id: number;
  readonly counts: Readonly<Record<string, number>>;
}
function usageReports(): UsageReport[] {
  const bodies = dutyCalls.filter(({ path }) => path === '/usage').map(({ body }) => body);
  return [...new Set(bodies)].map((body) => JSON.parse(body) as UsageReport);
}
/** Sends `count` requests with the tenant's key, and waits until `expectedTotal` requests have been reported in total. */
async function sendAndAwaitReports(count: number, expectedTotal: number): Promise<void> {
  const authorization = 'Bearer key-of-a-tenant';
  for (let index = 0; index < count; index += 1)
    expect(await send('/later/a', false, { authorization }).answer).toMatchObject(completeAnswer);
  function total(): number {
    return usageReports().reduce((sum, { counts }) => sum + (counts['a-tenant'] ?? 0), 0);
  }
  await callUntil(readConfig, () => total() >= expectedTotal);
  expect(total()).toBe(expectedTotal);
}

it('reports each request of a tenant once, with one content per window, one scale order, and one fencing token per leader, never falling, also after a kill', async () => {
  const document = JSON.parse(configuration(11, ['later'])) as { backends: object[] };
  const scaling = { min_count: 1, max_count: 3, boot_time_s: 2 };
  const tenants = [{ name: 'a-tenant', api_keys: ['key-of-a-tenant'] }];
  const backends = [{ ...document.backends[0]!, scaling }];
  expect((await put(JSON.stringify({ ...document, backends, tenants }), '7')).status).toBe(200);
  await callUntil(
    () => send('/later/a').answer,
    (answer) => answer.status === 401,
  );
  await sendAndAwaitReports(6, 6);
  const exit = exitOf('keeper');
  children.get('keeper')!.kill('SIGKILL');
  await exit;
  start('keeper');
  await sendAndAwaitReports(4, 10);
  const windows = usageReports().map((report) => report.window_id);
  expect(new Set(windows).size).toBe(windows.length);
  const fences = dutyCalls.filter(({ path }) => path === '/usage').map(({ fence }) => fence);
  expect(fences).toEqual([...fences].sort((a, b) => a - b));
  expect(new Set(fences).size).toBe(2);
  const orders = dutyCalls.filter(({ path }) => path === '/scale').map(({ body }) => body);
  expect(new Set(orders)).toEqual(new Set(['{"backend":"s","zone":"a","desired":1}']));
  // The last configuration of this file, without tenants.
  const first = configuration(13, ['later']);
  expect((await put(first, '11')).status).toBe(200);
  await callUntil(
    () => send('/later/a').answer,
    (answer) => answer.status === 200,
  );
});

it('completes requests in progress and serves new ones after SIGTERM, reports not ready, and exits with 0', async () => {
  await callUntil(ready, (answer) => answer.status === 200);
  const held = send('/later/a', true);
  await held.begun;
  const exit = exitOf('router');
  children.get('router')!.kill('SIGTERM');
  await callUntil(ready, (answer) => answer.status === 503);
  expect(await send('/later/a').answer).toMatchObject(completeAnswer);
  completeHeldAnswers(heldResponses);
  expect(await held.answer).toMatchObject(completeAnswer);
  expect(await exit).toEqual([0, null]);
  const log = readFileSync(join(folder, 'router.log'), 'utf8');
  expect(log).not.toMatch(/unexpected error|Error/);
});
