/**
 * Three routers as real processes on loopback that hold the control state beside their traffic. One of them gets SIGTERM
 * while an operator uploads a configuration over a slow line. Waits for conditions; only the line is paced by a timer.
 */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { afterAll, beforeAll, expect, it } from 'vitest';
import { stringify } from 'smol-toml';
import { startPeerProcess, type PeerProcess } from './peer-process.js';
import {
  call,
  callUntil,
  completeAnswer,
  completeHeldAnswers,
  configuration,
  serveWorkerList,
  serveWorkerRequest,
  type Answer,
} from './platform-world.js';

const program = fileURLToPath(new URL('../platform/dist/entry.js', import.meta.url));
const network = `127.79.${10 + (process.pid % 200)}`;
const platformHost = `${network}.9`;
const hosts = [`${network}.1`, `${network}.2`, `${network}.3`] as const;
const [stopped] = hosts;
const ports = { front: 8361, readiness: 8367, control: 8366, inner: 7920, list: 8369, worker: 8280 };
/** A line on which the upload takes 3 s: longer than the control node waits for its calls when it closes. */
const upload = { pieces: 60, pieceBytes: 16_384, pieceIntervalMs: 50 };
/** Calls after the upload, in which a process that takes itself for ended would be gone. */
const callsAfterUpload = 20;

const folder = mkdtempSync(join(tmpdir(), 'upload-'));
const processes = new Map<string, PeerProcess>();
const heldResponses: http.ServerResponse[] = [];
const servers = [
  http.createServer((request, response) => serveWorkerRequest(heldResponses, request, response)),
  http.createServer((_request, response) => serveWorkerList(`${platformHost}:${ports.worker}`, response)),
];

function settings(ip: string): string {
  return stringify({
    node_name: `router-${ip.split('.')[3]!}`,
    role: 'router',
    serves: ['edge', 'control'],
    ip,
    zone: 'a',
    region: 'r',
    port_range: [ports.inner, ports.inner + 15],
    seed_nodes: hosts.map((host) => `${host}:${ports.control}`),
    bootstrap: true,
    counts_as_loss: true,
    data_dir: join(folder, `data-${ip}`),
    zones: { a: 'r' },
    bind_addrs: {
      front_http: `${ip}:${ports.front}`,
      readiness: `${ip}:${ports.readiness}`,
      control_plane: `${ip}:${ports.control}`,
    },
    limits: { cpu_fraction: 1, cpu_cores: 2, memory_mb: 400, max_fds: 4096, link_mbps: 1000, disk_mb: 64 },
    fault_budget: { machine_losses: 1, zones: 0, region_losses: 0 },
    bounds: { grace_s: 20, drain_ms: 3000, retry_ratio: 0.2, retry_slack: 50, retry_window_s: 10 },
    platform_api: { address: `${platformHost}:${ports.list}`, rate_per_s: 47, duties: [], max_lag_ms: 800 },
  });
}

function start(ip: string): void {
  const file = join(folder, `${ip}.toml`);
  writeFileSync(file, settings(ip));
  const environment = { TANSYPOST_NODE_FILE: file };
  processes.set(ip, startPeerProcess({ args: [program, 'router'], environment, logFile: join(folder, `${ip}.log`) }));
}

function ready(ip: string): Promise<Answer> {
  return call({ host: ip, port: ports.readiness, path: '/ready' }).answer;
}

function putConfig(body: string): Promise<Answer> {
  const target = { host: stopped, port: ports.control, path: '/config', method: 'PUT' };
  return call(target, { 'content-type': 'application/json', 'if-match': '0' }, body).answer;
}

/** Uploads a configuration that is none, at the pace of the line; resolves once its connection is closed. */
function uploadSlowly(): Promise<void> {
  const headers = {
    'content-type': 'application/json',
    'content-length': upload.pieces * upload.pieceBytes,
    'if-match': '3',
  };
  const target = { host: stopped, port: ports.control, path: '/config', method: 'PUT' };
  const request = http.request({ ...target, headers, agent: false }, (response) => response.resume());
  let sent = 0;
  const timer = setInterval(() => {
    sent += 1;
    request.write(' '.repeat(upload.pieceBytes));
    if (sent < upload.pieces) return;
    clearInterval(timer);
    request.end();
  }, upload.pieceIntervalMs);
  request.on('error', () => undefined);
  return new Promise((resolve) =>
    request.once('close', () => {
      clearInterval(timer);
      resolve();
    }),
  );
}

beforeAll(async () => {
  for (const [index, port] of [ports.worker, ports.list].entries())
    await new Promise<void>((up) => servers[index]!.listen(port, platformHost, up));
  for (const host of hosts) start(host);
});
afterAll(async () => {
  await Promise.all([...processes.values()].map((each) => each.kill()));
  for (const server of servers) {
    server.closeAllConnections();
    server.close();
  }
  rmSync(folder, { recursive: true });
});

// Guards against a process that ends under its streams, as one of its tasks reports its end twice (review/5).
it('LOST: completes a stream after SIGTERM though an upload to its control port ends before', async () => {
  function isOk({ status }: Answer): boolean {
    return status === 200;
  }
  await callUntil(() => putConfig(configuration(3, ['first'])), isOk);
  await callUntil(() => ready(stopped), isOk);
  const uploaded = uploadSlowly();
  const headers = { host: 'h.example', 'x-attempt-id': 'held', 'x-deadline-ms': '60000', 'x-token-counts': '10,2' };
  const target = { host: stopped, port: ports.front, path: '/first/a', method: 'POST' };
  const held = call(target, { ...headers, 'x-hold': 'yes' }, 'body');
  await held.begun;
  process.kill(processes.get(stopped)!.pid, 'SIGTERM');
  await uploaded;
  for (let calls = 0; calls < callsAfterUpload; calls += 1) expect((await ready(stopped)).status).toBe(503);
  completeHeldAnswers(heldResponses);
  expect(await held.answer).toMatchObject(completeAnswer);
  await processes.get(stopped)!.exited;
  expect(processes.get(stopped)!.exit()).toBe('exit code 0, signal null');
  expect(readFileSync(join(folder, `${stopped}.log`), 'utf8')).toContain('E2012');
});
