/** A running fleet: starts it, waits on conditions until it serves, brings faults about, and stops it. */
import { readFileSync, existsSync } from 'node:fs';
import { request } from 'undici';
import type { Deployment } from '@tansypost/requester-stand-in';
import { templates } from '@tansypost/requester-stand-in';
import { planFleet, type Member, type Plan, type PlanOptions } from './plan.js';
import { createProcesses, type Processes } from './processes.js';
import { createRelays } from './relay.js';
import type { Fault } from './schedule.js';

export interface Fleet {
  readonly plan: Plan;
  readonly processes: Processes;
  readonly member: (name: string) => Member;
  readonly routers: () => string[];
  readonly get: <T>(at: string, path: string) => Promise<T | undefined>;
  readonly post: (at: string, path: string, body: unknown) => Promise<{ status: number; body: unknown } | undefined>;
  readonly until: (what: string, f: () => Promise<boolean>, seconds?: number) => Promise<number>;
  readonly serve: () => Promise<void>;
  readonly submit: (worth: number) => Promise<{ answer: string; version?: number; change?: string; ms: number }>;
  readonly fault: (f: Fault) => Promise<void>;
  readonly runs: () => Map<string, { prefill: number; decode: number }>;
  readonly stop: () => Promise<void>;
}

export function createFleet(d: Deployment, o: PlanOptions): Fleet {
  const plan = planFleet(d, o);
  const ps = createProcesses(plan, o.folder);
  const relays = createRelays();
  const incarnations = new Map<string, number>();
  const down = new Set<string>();

  function member(name: string): Member {
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
  function of(program: string): Member[] {
    return plan.members.filter((m) => m.program === program);
  }
  function liveAgent(): Member {
    return of('router-agent').find((m) => ps.alive(m.name) && !down.has(m.name))!;
  }
  async function platform(name: string, state: string): Promise<void> {
    const m = member(name);
    const agents = of('router-agent').filter((x) => ps.alive(x.name) && !down.has(x.name));
    for (let n = 0; n < 20; n += 1) {
      const r = await post(agents[n % agents.length]!.http, '/platform/workers', {
        worker: name,
        incarnation: incarnations.get(name) ?? 1,
        state,
        address: m.relay!.shown,
      });
      if (r?.status === 200) return;
    }
  }

  async function serve(): Promise<void> {
    for (const m of plan.members)
      if (m.relay !== undefined) await relays.add(m.relay.shown, m.relay.real, m.relay.inner);
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
    const r = await post(a, '/desired-state', { base: now?.version ?? 0, state: templates(d, (k) => k.worth + worth) });
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
        await ps.ended(m.name);
        restart(m);
        return;
      case 'restart':
      case 'empty':
        ps.signal(m.name, 'SIGKILL');
        await ps.ended(m.name);
        if (f.do === 'empty') ps.empty(m);
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
        await ps.ended(m.name);
        restart(m);
        await until(`${m.name} is back`, async () => (await get(m.http, '/report')) !== undefined, 20);
        await platform(m.name, 'ready');
        return;
      case 'isolate': {
        const ip = m.ip;
        relays.cut(ip, (from, to) => (from !== undefined && from.startsWith(`${ip}:`)) !== to.startsWith(`${ip}:`));
        return;
      }
      case 'one-way':
        relays.cut(m.ip, (from, to) => from !== undefined && from.startsWith(`${m.ip}:`) && !to.startsWith(`${m.ip}:`));
        return;
      case 'rejoin':
        relays.heal(m.ip);
        return;
      case 'slow':
        relays.slow(m.relay!.shown, 150);
        return;
      case 'fast':
        relays.slow(m.relay!.shown, 0);
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

  function restart(m: Member): void {
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
      const f = w.boot['runsFile'] as string;
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
    until,
    serve,
    submit,
    fault,
    runs,
    stop: async () => {
      await ps.stopAll();
      await relays.close();
    },
    routers: () =>
      of('request-router')
        .filter((m) => !down.has(m.name))
        .map((m) => m.http),
  };
}
