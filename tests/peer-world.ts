/**
 * A router and a control node of the platform as real processes on loopback, with a worker and a worker list played by the
 * test. Their limits of memory and descriptors are low, so that a small crowd of peers exceeds them if nothing is bounded.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { stringify } from 'smol-toml';
import { expect } from 'vitest';
import { call, callUntil, configuration, serveWorkerList, serveWorkerRequest, type Answer } from './platform-world.js';
import { startPeerProcess, type PeerProcess } from './peer-process.js';

/** What the settings of both processes allow. */
export const machineLimits = { memoryMb: 220, maxDescriptors: 500 } as const;
/** The limits of the configuration in force. */
export const clientLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304 } as const;
/** Ports of both processes. */
export const ports = { front: 8161, readiness: 8167, control: 8166, inner: 7720, list: 8169, worker: 8080 } as const;

const program = fileURLToPath(new URL('../platform/dist/entry.js', import.meta.url));
/** As in the deploy file, where the heap may take about two thirds of the memory. */
const nodeOptions = ['--max-old-space-size=140', '--v8-pool-size=0'];
const routePath = '/first/a';

/** A fleet of one router and one control node. */
export interface PeerWorld {
  readonly hosts: { readonly control: string; readonly edge: string; readonly platform: string };
  readonly router: PeerProcess;
  readonly controlNode: PeerProcess;
  /** The files that the processes log to. */
  readonly logs: Readonly<Record<'router' | 'controlNode', string>>;
  /** One request to the router, on its own connection. */
  readonly request: (body?: Buffer, headers?: Record<string, string>) => Promise<Answer>;
  /** Repeats an ordinary request, as a client does after a refusal, until it is served. */
  readonly served: () => Promise<Answer>;
  readonly ready: () => Promise<Answer>;
  readonly readConfig: () => Promise<Answer>;
  /** Repeats a call until its answer is the expected one; throws once a process has ended. */
  readonly untilExit: (attempt: () => Promise<Answer>, isExpected: (answer: Answer) => boolean) => Promise<Answer>;
  readonly putConfig: (body: string, ifMatch: string) => Promise<Answer>;
  readonly close: () => Promise<void>;
}

let worlds = 0;

function settingsOf(role: 'router' | 'keeper', hosts: PeerWorld['hosts'], folder: string): string {
  const ip = role === 'router' ? hosts.edge : hosts.control;
  const frontend = { front_http: `${ip}:${ports.front}`, readiness: `${ip}:${ports.readiness}` };
  return stringify({
    node_name: `${role}-1`,
    role,
    serves: role === 'router' ? ['edge', 'control'] : ['control'],
    ip,
    zone: 'a',
    region: 'r',
    port_range: [ports.inner, ports.inner + 15],
    seed_nodes: [`${hosts.control}:${ports.control}`],
    bootstrap: true,
    counts_as_loss: role === 'keeper',
    ...(role === 'keeper' ? { data_dir: join(folder, 'data') } : {}),
    zones: { a: 'r' },
    bind_addrs: { control_plane: `${ip}:${ports.control}`, ...(role === 'router' ? frontend : {}) },
    limits: {
      cpu_fraction: 1,
      cpu_cores: 2,
      memory_mb: machineLimits.memoryMb,
      max_fds: machineLimits.maxDescriptors,
      link_mbps: 1000,
      disk_mb: role === 'keeper' ? 128 : 0,
    },
    fault_budget: { machine_losses: 0, zones: 0, region_losses: 0 },
    bounds: { grace_s: 6, drain_ms: 3000, retry_ratio: 0.2, retry_slack: 50, retry_window_s: 10 },
    platform_api: { address: `${hosts.platform}:${ports.list}`, rate_per_s: 47, duties: [], max_lag_ms: 800 },
  });
}

function startRole(role: 'router' | 'keeper', hosts: PeerWorld['hosts'], folder: string): PeerProcess {
  const file = join(folder, `${role}.toml`);
  writeFileSync(file, settingsOf(role, hosts, folder));
  return startPeerProcess({
    args: [...nodeOptions, program, role],
    environment: { TANSYPOST_NODE_FILE: file },
    logFile: join(folder, `${role}.log`),
  });
}

/** Starts fresh processes and waits until an ordinary request is served. */
export async function startPeerWorld(
  respond: (request: http.IncomingMessage, response: http.ServerResponse) => void = (request, response) =>
    serveWorkerRequest([], request, response),
): Promise<PeerWorld> {
  worlds += 1;
  const network = `127.${120 + (process.pid % 60)}.${worlds % 250}`;
  const hosts = { control: `${network}.1`, edge: `${network}.2`, platform: `${network}.3` };
  const folder = mkdtempSync(join(tmpdir(), 'peers-'));
  const servers = [
    http.createServer(respond),
    http.createServer((_request, response) => serveWorkerList(`${hosts.platform}:${ports.worker}`, response)),
  ];
  for (const [index, port] of [ports.worker, ports.list].entries())
    await new Promise<void>((up) => servers[index]!.listen(port, hosts.platform, up));
  const router = startRole('router', hosts, folder);
  const controlNode = startRole('keeper', hosts, folder);

  let requests = 0;
  function request(body = Buffer.from('body'), headers: Record<string, string> = {}): Promise<Answer> {
    requests += 1;
    const ownHeaders = { host: 'h.example', 'x-attempt-id': `ordinary-${requests}`, 'x-deadline-ms': '60000' };
    const target = { host: hosts.edge, port: ports.front, path: routePath, method: 'POST' };
    return call(target, { ...ownHeaders, 'x-token-counts': '10,2', ...headers }, body).answer;
  }
  function readConfig(): Promise<Answer> {
    return call({ host: hosts.control, port: ports.control, path: '/config' }).answer;
  }
  function putConfig(body: string, ifMatch: string): Promise<Answer> {
    const headers = { 'content-type': 'application/json', 'if-match': ifMatch };
    return call({ host: hosts.control, port: ports.control, path: '/config', method: 'PUT' }, headers, body).answer;
  }
  function isServed({ status, complete }: Answer): boolean {
    return status === 200 && complete;
  }
  function untilExit(attempt: () => Promise<Answer>, isExpected: (answer: Answer) => boolean): Promise<Answer> {
    return callUntil(
      attempt,
      (answer) => isExpected(answer),
      () => {
        const exit = router.exit() ?? controlNode.exit();
        if (exit !== undefined) throw new Error(`a process has ended: ${exit}`);
      },
    );
  }
  async function close(): Promise<void> {
    await Promise.all([router.kill(), controlNode.kill()]);
    for (const server of servers) {
      server.closeAllConnections();
      server.close();
    }
    rmSync(folder, { recursive: true });
  }
  const world: PeerWorld = {
    hosts,
    router,
    controlNode,
    logs: { router: join(folder, 'router.log'), controlNode: join(folder, 'keeper.log') },
    request,
    served: () => untilExit(() => request(), isServed),
    ready: () => call({ host: hosts.edge, port: ports.readiness, path: '/ready' }).answer,
    readConfig,
    putConfig,
    untilExit,
    close,
  };
  const first = configuration(3, ['first'])
    .replace('"max_conns":64', '"max_conns":512')
    .replace('"slots":32', '"slots":256');
  await callUntil(() => putConfig(first, '0'), isServed);
  await world.served();
  return world;
}

/** A process still runs, and has never held more than its settings allow. */
export function expectWithinLimits(peer: PeerProcess): void {
  expect(peer.exit()).toBeUndefined();
  const { megabytes, descriptors } = peer.peak();
  expect(megabytes).toBeLessThan(machineLimits.memoryMb);
  expect(descriptors).toBeLessThan(machineLimits.maxDescriptors);
}
