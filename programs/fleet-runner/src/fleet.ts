/** A running fleet: starts it, waits on conditions until it serves, brings faults about, and stops it. */
import { readFileSync, existsSync } from 'node:fs';
import { request } from 'undici';
import type { Deployment } from '@tansypost/requester-stand-in';
import { buildDesiredState } from '@tansypost/requester-stand-in';
import { planFleet, type FleetMember, type FleetPlan, type PlanOptions } from './plan.js';
import { createProcesses, type Processes } from './processes.js';
import { createRelays } from './relay.js';
import type { Fault } from './schedule.js';

export interface Fleet {
  readonly plan: FleetPlan;
  readonly processes: Processes;
  readonly member: (name: string) => FleetMember;
  readonly reachableRouters: () => string[];
  readonly get: <T>(at: string, path: string) => Promise<T | undefined>;
  readonly post: (at: string, path: string, body: unknown) => Promise<{ status: number; body: unknown } | undefined>;
  readonly waitUntil: (what: string, f: () => Promise<boolean>, seconds?: number) => Promise<number>;
  readonly startAndWait: () => Promise<void>;
  readonly submitDesiredState: (
    worth: number,
  ) => Promise<{ answer: string; version?: number; change?: string; ms: number }>;
  readonly injectFault: (f: Fault) => Promise<void>;
  readonly executionCounts: () => Map<string, { prefill: number; decode: number }>;
  readonly stop: () => Promise<void>;
}

export function createFleet(d: Deployment, o: PlanOptions): Fleet {
  const plan = planFleet(d, o);
  const ps = createProcesses(plan, o.folder);
  const relays = createRelays();
  const incarnations = new Map<string, number>();
  const down = new Set<string>();

  function member(name: string): FleetMember {
    return plan.members.find((m) => m.name === name)!;
  }
  async function get<T>(at: string, path: string): Promise<T | undefined> {
    try {
      const r = await request(`http://${at}${path}`, { headersTimeout: 1500, bodyTimeout: 1500 });
      const t = (await r.body.json()) as T;
      return r.statusCode === 200 ? t : undefined;
    } catch {
      return undefined;
    }
  }
  async function post(at: string, path: string, body: unknown): Promise<{ status: number; body: unknown } | undefined> {
    try {
      const r = await request(`http://${at}${path}`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        headersTimeout: 40_000,
      });
      return { status: r.statusCode, body: await r.body.json() };
    } catch {
      return undefined;
    }
  }
  async function until(what: string, f: () => Promise<boolean>, seconds = 60): Promise<number> {
    const from = performance.now();
    for (;;) {
      if (await f()) return performance.now() - from;
      if (performance.now() - from > seconds * 1000)
        throw new Error(`waited ${seconds} s in vain until ${what}; see the logs in ${o.folder}`);
      await new Promise((ok) => setTimeout(ok, 100));
    }
  }
  function of(program: string): FleetMember[] {
    return plan.members.filter((m) => m.program === program);
  }
  function liveAgent(): FleetMember {
    return of('router-agent').find((m) => ps.isRunning(m.name) && !down.has(m.name))!;
  }
  async function platform(name: string, state: string): Promise<void> {
    const m = member(name);
    const agents = of('router-agent').filter((x) => ps.isRunning(x.name) && !down.has(x.name));
    for (let n = 0; n < 20; n += 1) {
      const r = await post(agents[n % agents.length]!.http, '/platform/workers', {
        worker: name,
        incarnation: incarnations.get(name) ?? 1,
        state,
        address: m.relay!.advertised,
      });
      if (r?.status === 200) return;
    }
  }

  async function serve(): Promise<void> {
    for (const m of plan.members)
      if (m.relay !== undefined) await relays.add(m.relay.advertised, m.relay.target, m.relay.isInternalLink);
    for (const m of plan.members) ps.start(m);
    await until('the core votes', async () =>
      (await Promise.all(of('control-node').map((k) => get(k.http, '/vitals')))).every((v) => v !== undefined),
    );
    await until('agents know each other', async () =>
      (await Promise.all(of('router-agent').map((a) => get<unknown[]>(a.http, '/members')))).every(
        (v) => (v?.length ?? 0) >= d.machines - 1,
      ),
    );
    await until('workers answer', async () =>
      (await Promise.all(of('worker-stand-in').map((w) => get(w.http, '/report')))).every((v) => v !== undefined),
    );
    await Promise.all(of('worker-stand-in').map((w) => platform(w.name, 'ready')));
    const s = await submit(0);
    if (s.answer !== 'acknowledged') throw new Error(`the first desired state was answered with ${s.answer}`);
    await until('every router serves and knows the workers', async () =>
      (
        await Promise.all(
          of('request-router').map(async (r) => {
            const v = await get<{ desiredVersion: number }>(r.http, '/vitals');
            const f = await get<{ workers: unknown[] }>(r.http, '/figures');
            return v !== undefined && v.desiredVersion >= 1 && f?.workers.length === d.workers;
          }),
        )
      ).every((x) => x),
    );
  }

  async function submit(worth: number): Promise<{ answer: string; version?: number; change?: string; ms: number }> {
    const from = performance.now();
    const a = liveAgent().http;
    const now = await get<{ version: number }>(a, '/desired-state');
    const r = await post(a, '/desired-state', {
      base: now?.version ?? 0,
      state: buildDesiredState(d, (k) => k.worth + worth),
    });
    const b = (r?.body ?? { answer: 'agent out of reach' }) as { answer: string; version?: number; change?: string };
    return { ...b, ms: performance.now() - from };
  }

  async function fault(f: Fault): Promise<void> {
    const m = f.who === undefined ? undefined : member(f.who);
    if (m === undefined) return;
    switch (f.do) {
      case 'kill':
        down.add(m.name);
        ps.signal(m.name, 'SIGKILL');
        return;
      case 'freeze':
        down.add(m.name);
        ps.signal(m.name, 'SIGSTOP');
        return;
      case 'wake':
        ps.signal(m.name, 'SIGCONT');
        down.delete(m.name);
        return;
      case 'drain':
        ps.signal(m.name, 'SIGTERM');
        await ps.waitForExit(m.name);
        restart(m);
        return;
      case 'restart':
      case 'empty':
        ps.signal(m.name, 'SIGKILL');
        await ps.waitForExit(m.name);
        if (f.do === 'empty') ps.deleteData(m);
        restart(m);
        if (m.program === 'worker-stand-in') await platform(m.name, 'ready');
        return;
      case 'leave':
        await platform(m.name, 'leaving');
        return;
      case 'release':
        await platform(m.name, 'leaving');
        await until(
          `${m.name} is idle`,
          async () => (await get<{ active: number; queued: number }>(m.http, '/idle'))?.active === 0,
          40,
        );
        ps.signal(m.name, 'SIGTERM');
        await ps.waitForExit(m.name);
        restart(m);
        await until(`${m.name} is back`, async () => (await get(m.http, '/report')) !== undefined, 20);
        await platform(m.name, 'ready');
        return;
      case 'isolate': {
        const ip = m.ip;
        relays.block(ip, (from, to) => (from !== undefined && from.startsWith(`${ip}:`)) !== to.startsWith(`${ip}:`));
        return;
      }
      case 'one-way':
        relays.block(
          m.ip,
          (from, to) => from !== undefined && from.startsWith(`${m.ip}:`) && !to.startsWith(`${m.ip}:`),
        );
        return;
      case 'rejoin':
        relays.heal(m.ip);
        return;
      case 'slow':
        relays.setDelay(m.relay!.advertised, 150);
        return;
      case 'fast':
        relays.setDelay(m.relay!.advertised, 0);
        return;
      case 'dark':
        await post(m.http, '/fault', { dark: true });
        return;
      case 'light':
        await post(m.http, '/fault', { dark: false });
        return;
      case 'lapse':
        await post(m.http, '/fault', { lapse: true });
        return;
      default:
        return;
    }
  }

  function restart(m: FleetMember): void {
    if (m.program === 'worker-stand-in') {
      const n = (incarnations.get(m.name) ?? 1) + 1;
      incarnations.set(m.name, n);
      ps.start(m, { incarnation: n });
    } else ps.start(m);
    down.delete(m.name);
  }

  function runs(): Map<string, { prefill: number; decode: number }> {
    const out = new Map<string, { prefill: number; decode: number }>();
    for (const w of of('worker-stand-in')) {
      const f = w.settings['runsFile'] as string;
      if (!existsSync(f)) continue;
      for (const l of readFileSync(f, 'utf8').split('\n')) {
        const [q, what] = l.split(' ') as [string, 'prefill' | 'decode' | undefined];
        if (what === undefined) continue;
        const r = out.get(q) ?? { prefill: 0, decode: 0 };
        r[what] += 1;
        out.set(q, r);
      }
    }
    return out;
  }

  return {
    plan,
    processes: ps,
    member,
    get,
    post,
    waitUntil: until,
    startAndWait: serve,
    submitDesiredState: submit,
    injectFault: fault,
    executionCounts: runs,
    stop: async () => {
      await ps.stopAll();
      await relays.close();
    },
    reachableRouters: () =>
      of('request-router')
        .filter((m) => !down.has(m.name))
        .map((m) => m.http),
  };
}
