/** A fleet of real processes: starts it, waits until it is ready, injects faults, and stops it. */
import { readFileSync, existsSync } from 'node:fs';
import { request } from 'undici';
import type { Deployment } from '@tansypost/requester-stand-in';
import { buildDesiredState } from '@tansypost/requester-stand-in';
import { planFleet, type FleetMember, type FleetPlan, type PlanOptions } from './plan.js';
import { createProcesses, type Processes } from './processes.js';
import { createRelays } from './relay.js';
import type { Fault } from './schedule.js';

/** `waitUntil` returns the milliseconds it waited; `executionCounts` counts prefills and decodes by request id. */
export interface Fleet {
  readonly plan: FleetPlan;
  readonly processes: Processes;
  readonly member: (name: string) => FleetMember;
  readonly reachableRouters: () => string[];
  readonly get: <T>(address: string, path: string) => Promise<T | undefined>;
  readonly post: (
    address: string,
    path: string,
    body: unknown,
  ) => Promise<{ status: number; body: unknown } | undefined>;
  readonly waitUntil: (what: string, condition: () => Promise<boolean>, seconds?: number) => Promise<number>;
  readonly startAndWait: () => Promise<void>;
  readonly submitDesiredState: (
    priorityOffset: number,
  ) => Promise<{ answer: string; version?: number; change?: string; ms: number }>;
  readonly injectFault: (fault: Fault) => Promise<void>;
  readonly executionCounts: () => Map<string, { prefill: number; decode: number }>;
  readonly stop: () => Promise<void>;
}

/** Plans the fleet; no process runs before `startAndWait`. */
export function createFleet(deployment: Deployment, options: PlanOptions): Fleet {
  const plan = planFleet(deployment, options);
  const processes = createProcesses(plan, options.folder);
  const relays = createRelays();
  const incarnations = new Map<string, number>();
  const unreachable = new Set<string>();

  function member(name: string): FleetMember {
    return plan.members.find((candidate) => candidate.name === name)!;
  }
  async function get<T>(address: string, path: string): Promise<T | undefined> {
    try {
      const response = await request(`http://${address}${path}`, { headersTimeout: 1500, bodyTimeout: 1500 });
      const body = (await response.body.json()) as T;
      return response.statusCode === 200 ? body : undefined;
    } catch {
      return undefined;
    }
  }
  async function post(
    address: string,
    path: string,
    body: unknown,
  ): Promise<{ status: number; body: unknown } | undefined> {
    try {
      const response = await request(`http://${address}${path}`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        headersTimeout: 40_000,
      });
      return { status: response.statusCode, body: await response.body.json() };
    } catch {
      return undefined;
    }
  }
  async function waitUntil(what: string, condition: () => Promise<boolean>, seconds = 60): Promise<number> {
    const startedAt = performance.now();
    for (;;) {
      if (await condition()) return performance.now() - startedAt;
      if (performance.now() - startedAt > seconds * 1000)
        throw new Error(`timed out after ${seconds} s waiting until ${what}; see the logs in ${options.folder}`);
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
  }
  function membersOf(program: string): FleetMember[] {
    return plan.members.filter((candidate) => candidate.program === program);
  }
  function liveAgent(): FleetMember {
    return membersOf('router-agent').find((agent) => processes.isRunning(agent.name) && !unreachable.has(agent.name))!;
  }
  async function reportWorkerState(name: string, state: string): Promise<void> {
    const worker = member(name);
    const agents = membersOf('router-agent').filter(
      (agent) => processes.isRunning(agent.name) && !unreachable.has(agent.name),
    );
    for (let attempt = 0; attempt < 20; attempt += 1) {
      const response = await post(agents[attempt % agents.length]!.http, '/platform/workers', {
        worker: name,
        incarnation: incarnations.get(name) ?? 1,
        state,
        address: worker.relay!.advertised,
      });
      if (response?.status === 200) return;
    }
  }

  async function startAndWait(): Promise<void> {
    for (const planned of plan.members)
      if (planned.relay !== undefined)
        await relays.open(planned.relay.advertised, planned.relay.target, planned.relay.isInternalLink);
    for (const planned of plan.members) processes.start(planned);
    await waitUntil('the control nodes are ready', async () =>
      (await Promise.all(membersOf('control-node').map((node) => get(node.http, '/vitals')))).every(
        (health) => health !== undefined,
      ),
    );
    await waitUntil('the agents have discovered each other', async () =>
      (await Promise.all(membersOf('router-agent').map((agent) => get<unknown[]>(agent.http, '/members')))).every(
        (known) => (known?.length ?? 0) >= deployment.machines - 1,
      ),
    );
    await waitUntil('the workers respond', async () =>
      (await Promise.all(membersOf('worker-stand-in').map((worker) => get(worker.http, '/report')))).every(
        (report) => report !== undefined,
      ),
    );
    await Promise.all(membersOf('worker-stand-in').map((worker) => reportWorkerState(worker.name, 'ready')));
    const result = await submitDesiredState(0);
    if (result.answer !== 'acknowledged')
      throw new Error(`the first desired state was not acknowledged: ${result.answer}`);
    await waitUntil('every router has the desired state and knows the workers', async () =>
      (
        await Promise.all(
          membersOf('request-router').map(async (router) => {
            const health = await get<{ desiredVersion: number }>(router.http, '/vitals');
            const metrics = await get<{ workers: unknown[] }>(router.http, '/figures');
            return health !== undefined && health.desiredVersion >= 1 && metrics?.workers.length === deployment.workers;
          }),
        )
      ).every((isReady) => isReady),
    );
  }

  async function submitDesiredState(
    priorityOffset: number,
  ): Promise<{ answer: string; version?: number; change?: string; ms: number }> {
    const startedAt = performance.now();
    const agent = liveAgent().http;
    const current = await get<{ version: number }>(agent, '/desired-state');
    const response = await post(agent, '/desired-state', {
      base: current?.version ?? 0,
      state: buildDesiredState(deployment, (kind) => kind.worth + priorityOffset),
    });
    const body = (response?.body ?? { answer: 'agent out of reach' }) as {
      answer: string;
      version?: number;
      change?: string;
    };
    return { ...body, ms: performance.now() - startedAt };
  }

  async function injectFault(fault: Fault): Promise<void> {
    const target = fault.who === undefined ? undefined : member(fault.who);
    if (target === undefined) return;
    switch (fault.do) {
      case 'kill':
        unreachable.add(target.name);
        processes.signal(target.name, 'SIGKILL');
        return;
      case 'freeze':
        unreachable.add(target.name);
        processes.signal(target.name, 'SIGSTOP');
        return;
      case 'wake':
        processes.signal(target.name, 'SIGCONT');
        unreachable.delete(target.name);
        return;
      case 'drain':
        processes.signal(target.name, 'SIGTERM');
        await processes.waitForExit(target.name);
        restart(target);
        return;
      case 'restart':
      case 'empty':
        processes.signal(target.name, 'SIGKILL');
        await processes.waitForExit(target.name);
        if (fault.do === 'empty') processes.deleteData(target);
        restart(target);
        if (target.program === 'worker-stand-in') await reportWorkerState(target.name, 'ready');
        return;
      case 'leave':
        await reportWorkerState(target.name, 'leaving');
        return;
      case 'release':
        await reportWorkerState(target.name, 'leaving');
        await waitUntil(
          `${target.name} is idle`,
          async () => (await get<{ active: number; queued: number }>(target.http, '/idle'))?.active === 0,
          40,
        );
        processes.signal(target.name, 'SIGTERM');
        await processes.waitForExit(target.name);
        restart(target);
        await waitUntil(
          `${target.name} has restarted`,
          async () => (await get(target.http, '/report')) !== undefined,
          20,
        );
        await reportWorkerState(target.name, 'ready');
        return;
      case 'isolate': {
        const ip = target.ip;
        relays.block(ip, (from, to) => (from !== undefined && from.startsWith(`${ip}:`)) !== to.startsWith(`${ip}:`));
        return;
      }
      case 'one-way':
        relays.block(
          target.ip,
          (from, to) => from !== undefined && from.startsWith(`${target.ip}:`) && !to.startsWith(`${target.ip}:`),
        );
        return;
      case 'rejoin':
        relays.heal(target.ip);
        return;
      case 'slow':
        relays.setDelay(target.relay!.advertised, 150);
        return;
      case 'fast':
        relays.setDelay(target.relay!.advertised, 0);
        return;
      case 'dark':
        await post(target.http, '/fault', { dark: true });
        return;
      case 'light':
        await post(target.http, '/fault', { dark: false });
        return;
      case 'lapse':
        await post(target.http, '/fault', { lapse: true });
        return;
      default:
        return;
    }
  }

  function restart(target: FleetMember): void {
    if (target.program === 'worker-stand-in') {
      const incarnation = (incarnations.get(target.name) ?? 1) + 1;
      incarnations.set(target.name, incarnation);
      processes.start(target, { incarnation: incarnation });
    } else processes.start(target);
    unreachable.delete(target.name);
  }

  function executionCounts(): Map<string, { prefill: number; decode: number }> {
    const counts = new Map<string, { prefill: number; decode: number }>();
    for (const worker of membersOf('worker-stand-in')) {
      const file = worker.settings['runsFile'] as string;
      if (!existsSync(file)) continue;
      for (const line of readFileSync(file, 'utf8').split('\n')) {
        const [requestId, stage] = line.split(' ') as [string, 'prefill' | 'decode' | undefined];
        if (stage === undefined) continue;
        const count = counts.get(requestId) ?? { prefill: 0, decode: 0 };
        count[stage] += 1;
        counts.set(requestId, count);
      }
    }
    return counts;
  }

  return {
    plan,
    processes: processes,
    member,
    get,
    post,
    waitUntil: waitUntil,
    startAndWait: startAndWait,
    submitDesiredState: submitDesiredState,
    injectFault: injectFault,
    executionCounts: executionCounts,
    stop: async () => {
      await processes.stopAll();
      await relays.close();
    },
    reachableRouters: () =>
      membersOf('request-router')
        .filter((router) => !unreachable.has(router.name))
        .map((router) => router.http),
  };
}
