/**
 * The platform's two programs as real processes on loopback, with a worker and a list of workers that the test plays:
 * signals, changed settings and configurations end nothing that is under way, what was taken is taken again, and a kill
 * of the control process loses nothing. It waits on conditions; nothing in it looks at how long anything took.
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
  playList,
  playWorker,
  releaseAnswers,
  until,
  whole,
  type Answer,
  type Asked,
} from './platform-world.js';

const program = fileURLToPath(new URL('../platform/dist/entry.js', import.meta.url));
const octet = 10 + (process.pid % 200);
const hosts = { control: `127.77.${octet}.1`, edge: `127.77.${octet}.2`, platform: `127.77.${octet}.3` };
const ports = { front: 8161, readiness: 8167, control: 8166, inner: 7720, list: 8169, worker: 8080 };
const folder = mkdtempSync(join(tmpdir(), 'platform-'));
const children = new Map<string, ChildProcess>();
const heldAnswers: http.ServerResponse[] = [];

function settings(role: 'router' | 'keeper', over: Record<string, unknown> = {}): string {
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
    ...over,
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
function ended(role: string): Promise<[number | null, string | null]> {
  return new Promise((done) => children.get(role)!.once('exit', (code, signal) => done([code, signal])));
}

/** A call of a duty, as the platform took it. */
interface DutyCall {
  readonly path: string;
  readonly holder: unknown;
  readonly fence: number;
  readonly body: string;
}
const dutyCalls: DutyCall[] = [];

/** The platform's API: the list of workers, and the calls of duties, which it takes. */
function playPlatform(request: http.IncomingMessage, answer: http.ServerResponse): void {
  if (request.method === 'GET') return playList(`${hosts.platform}:${ports.worker}`, answer);
  const parts: Buffer[] = [];
  request.on('data', (part: Buffer) => parts.push(part));
  request.on('end', () => {
    const { 'x-duty-holder': holder, 'x-fence': fence } = request.headers;
    dutyCalls.push({ path: request.url!, holder, fence: Number(fence), body: Buffer.concat(parts).toString() });
    answer.end();
  });
}

let requests = 0;
function ask(path: string, hold = false, more: Record<string, string> = {}): Asked {
  requests += 1;
  const headers = {
    host: 'h.example',
    'x-attempt-id': `attempt-${requests}`,
    'x-deadline-ms': '60000',
    'x-token-counts': '10,2',
    ...(hold ? { 'x-hold': 'yes' } : {}),
    ...more,
  };
  return call({ host: hosts.edge, port: ports.front, path, method: 'POST' }, headers, 'body');
}
function ready(): Promise<Answer> {
  return call({ host: hosts.edge, port: ports.readiness, path: '/ready' }).answer;
}
function put(body: string, match: string): Promise<Answer> {
  const headers = { 'content-type': 'application/json', 'if-match': match };
  return call({ host: hosts.control, port: ports.control, path: '/config', method: 'PUT' }, headers, body).answer;
}
function readBack(): Promise<Answer> {
  return call({ host: hosts.control, port: ports.control, path: '/config' }).answer;
}
const servers = [http.createServer((q, a) => playWorker(heldAnswers, q, a)), http.createServer(playPlatform)];
beforeAll(async () => {
  for (const [n, port] of [ports.worker, ports.list].entries())
    await new Promise<void>((up) => servers[n]!.listen(port, hosts.platform, up));
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

it('cuts nothing under SIGHUP, changed settings and changed routes, and serves 20 of 20 on a route added later', async () => {
  const first = configuration(3, ['first']);
  await until(
    () => put(first, '0'),
    (a) => a.status === 200,
  );
  await until(ready, (a) => a.status === 200);
  const held = Array.from({ length: 5 }, () => ask('/first/a', true));
  await Promise.all(held.map((h) => h.begun));

  for (const role of ['router', 'keeper'] as const) {
    writeFileSync(join(folder, `${role}.toml`), settings(role, { duties: [], new_field: 1 }));
    children.get(role)!.kill('SIGHUP');
  }
  const second = configuration(7, ['later']);
  expect((await put(second, '3')).status).toBe(200);
  await until(
    () => ask('/later/a').answer,
    (a) => a.status === 200,
  );
  const later = await Promise.all(Array.from({ length: 20 }, () => ask('/later/a').answer));
  expect(later.map((a) => ({ status: a.status, body: a.body, complete: a.complete }))).toEqual(Array(20).fill(whole));
  expect((await ask('/first/a').answer).status).toBe(404);

  releaseAnswers(heldAnswers);
  const answers = await Promise.all(held.map((h) => h.answer));
  for (const a of answers) expect(a).toMatchObject(whole);
  expect(new Set(answers.map((a) => a.seal)).size).toBe(5);
});

it('acknowledges again what was acknowledged, and never takes a malformed If-Match', async () => {
  const second = configuration(7, ['later']);
  expect((await put(second, '3')).status).toBe(200);
  expect((await put(configuration(3, ['first']), '0')).status).toBe(200);
  for (const match of ['W/"7"', '7, 9', '-7', ''])
    expect((await put(configuration(9, ['bad']), match)).status).toBe(400);
  expect((await put(configuration(9, ['bad']), '3')).status).toBe(412);
  expect(await readBack()).toMatchObject({ status: 200, body: second });
});

it('has what was acknowledged after a kill, and serves on meanwhile', async () => {
  const gone = ended('keeper');
  children.get('keeper')!.kill('SIGKILL');
  expect(await gone).toEqual([null, 'SIGKILL']);
  expect(await ask('/later/a').answer).toMatchObject(whole);
  start('keeper');
  const answer = await until(readBack, (a) => a.status === 200);
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
/** Asks so often with the tenant's key, and waits until so many in all have been reported. */
async function askAndAwaitReports(times: number, reported: number): Promise<void> {
  const authorization = 'Bearer key-of-a-tenant';
  for (let n = 0; n < times; n += 1)
    expect(await ask('/later/a', false, { authorization }).answer).toMatchObject(whole);
  function total(): number {
    return usageReports().reduce((sum, { counts }) => sum + (counts['a-tenant'] ?? 0), 0);
  }
  await until(readBack, () => total() >= reported);
  expect(total()).toBe(reported);
}

it('reports each request of a tenant once, in one content a window and under rising fences, also after a kill', async () => {
  const document = JSON.parse(configuration(11, ['later'])) as { backends: object[] };
  const scaling = { min_count: 1, max_count: 3, boot_time_s: 2 };
  const tenants = [{ name: 'a-tenant', api_keys: ['key-of-a-tenant'] }];
  const backends = [{ ...document.backends[0]!, scaling }];
  expect((await put(JSON.stringify({ ...document, backends, tenants }), '7')).status).toBe(200);
  await until(
    () => ask('/later/a').answer,
    (a) => a.status === 401,
  );
  await askAndAwaitReports(6, 6);
  const gone = ended('keeper');
  children.get('keeper')!.kill('SIGKILL');
  await gone;
  start('keeper');
  await askAndAwaitReports(4, 10);
  const windows = usageReports().map((report) => report.window_id);
  expect(new Set(windows).size).toBe(windows.length);
  const fences = dutyCalls.filter(({ path }) => path === '/usage').map(({ fence }) => fence);
  expect(fences).toEqual([...fences].sort((a, b) => a - b));
  expect(new Set(fences).size).toBe(2);
  const orders = dutyCalls.filter(({ path }) => path === '/scale').map(({ body }) => body);
  expect(new Set(orders)).toEqual(new Set(['{"backend":"s","zone":"a","desired":1}']));
  const first = configuration(13, ['later']);
  expect((await put(first, '11')).status).toBe(200);
  await until(
    () => ask('/later/a').answer,
    (a) => a.status === 200,
  );
});

it('lets what is under way end whole after SIGTERM, shows that it is not ready, and ends with 0', async () => {
  await until(ready, (a) => a.status === 200);
  const held = ask('/later/a', true);
  await held.begun;
  const gone = ended('router');
  children.get('router')!.kill('SIGTERM');
  await until(ready, (a) => a.status === 503);
  expect(await ask('/later/a').answer).toMatchObject(whole);
  releaseAnswers(heldAnswers);
  expect(await held.answer).toMatchObject(whole);
  expect(await gone).toEqual([0, null]);
  const log = readFileSync(join(folder, 'router.log'), 'utf8');
  expect(log).not.toMatch(/unforeseen|Error/);
});
