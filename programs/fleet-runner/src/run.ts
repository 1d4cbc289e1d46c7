/** One whole run: fleet, traffic, faults, checks, and the report of what was served. */
import { Agent } from 'undici';
import {
  createTraffic,
  runLoad,
  steadyMix,
  summarizeTraffic,
  oscillatingMix,
  type Deployment,
  type Outcome,
  type TrafficSummary,
} from '@tansypost/requester-stand-in';
import { createFleet, type Fleet } from './fleet.js';
import type { PlanOptions } from './plan.js';
import type { Fault } from './schedule.js';

export interface RunOptions extends PlanOptions {
  readonly deployment: Deployment;
  readonly seconds: number;
  readonly rate: number;
  readonly seed: number;
  readonly mixPeriodSeconds: number | undefined;
  readonly faults: readonly Fault[];
  readonly log: (s: string) => void;
  readonly whileRunning?: (f: Fleet) => Promise<void>;
}
export interface FaultRecord {
  readonly at: number;
  readonly fault: string;
  readonly backAfterMs: number | undefined;
}
export interface RunReport {
  readonly deployment: string;
  readonly seed: number;
  readonly served: TrafficSummary;
  readonly ranTwice: readonly string[];
  readonly ranAfterRefusal: readonly string[];
  readonly extraOverTen: number;
  readonly faults: readonly FaultRecord[];
  readonly submissions: readonly { answer: string; version?: number; ms: number }[];
  readonly readBack: { version: number; whole: boolean };
  readonly placement: Record<string, number>;
  readonly rehearsals: readonly { id: string; outcome?: string; why?: string }[];
  readonly live: unknown;
}

interface Totals {
  readonly at: number;
  first: number;
  extra: number;
}

async function totals(f: Fleet, last: Map<string, number>, sum: { first: number; extra: number }): Promise<Totals> {
  function add(k: string, v: number, to: 'first' | 'extra'): void {
    const had = last.get(k) ?? 0;
    sum[to] += v >= had ? v - had : v;
    last.set(k, v);
  }
  await Promise.all(
    f.plan.members.map(async (m) => {
      if (m.program === 'request-router') {
        const x = await f.get<{ first: number; extra: number }>(m.http, '/figures');
        if (x !== undefined) {
          add(`${m.name}f`, x.first, 'first');
          add(`${m.name}e`, x.extra, 'extra');
        }
      } else if (m.program === 'router-agent') {
        const x = await f.get<{ probes: number }>(m.http, '/vitals');
        if (x !== undefined) add(m.name, x.probes, 'extra');
      }
    }),
  );
  return { at: performance.now(), ...sum };
}

export async function runFleet(o: RunOptions): Promise<RunReport> {
  const f = createFleet(o.deployment, o);
  const agent = new Agent({ connections: 512, pipelining: 1 });
  const submissions: { answer: string; version?: number; ms: number }[] = [];
  const seen: FaultRecord[] = [];
  let rate = o.rate;
  let over = false;
  try {
    o.log(`starting ${f.plan.members.length} processes`);
    await f.startAndWait();
    o.log('the fleet serves');
    const outcomes: Outcome[] = [];
    const last = new Map<string, number>();
    const sum = { first: 0, extra: 0 };
    const series: Totals[] = [];
    const poll = (async () => {
      while (!over) {
        series.push(await totals(f, last, sum));
        await new Promise((ok) => setTimeout(ok, 1000));
      }
    })();
    const from = performance.now();
    const faults = (async () => {
      for (const x of o.faults) {
        const wait = from + x.at * 1000 - performance.now();
        if (wait > 0) await new Promise((ok) => setTimeout(ok, wait));
        if (over) return;
        o.log(`${x.at} s: ${x.do} ${x.who ?? ''}`);
        const at = performance.now();
        if (x.do === 'crowd') rate = o.rate * 2;
        else if (x.do === 'calm') rate = o.rate;
        else if (x.do === 'submit')
          void f.submitDesiredState(1 + submissions.length).then((s) => {
            submissions.push(s);
          });
        else void f.injectFault(x).catch((e: unknown) => o.log(String(e)));
        seen.push({ at: at - from, fault: `${x.do} ${x.who ?? ''}`.trim(), backAfterMs: undefined });
      }
    })();
    const traffic = createTraffic(
      o.deployment,
      o.seed,
      o.mixPeriodSeconds === undefined ? steadyMix : oscillatingMix(o.mixPeriodSeconds),
    );
    await Promise.all([
      runLoad({
        traffic,
        rate: () => rate,
        seconds: o.seconds,
        seed: o.seed,
        routers: f.reachableRouters,
        agent,
        onOutcome: (x) => outcomes.push(x),
      }),
      o.whileRunning?.(f),
    ]);
    over = true;
    await Promise.all([poll, faults]);
    const back = await readBack(f);
    const runs = f.executionCounts();
    const bad = outcomes.filter((x) => !x.request.repeatable);
    const ranTwice = bad
      .filter((x) => {
        const r = runs.get(x.request.id);
        return r !== undefined && (r.prefill > 1 || r.decode > 1);
      })
      .map((x) => x.request.id);
    const ranAfterRefusal = outcomes
      .filter((x) => x.ended === 'refused' && runs.has(x.request.id))
      .map((x) => `${x.request.id} ${x.kind}`);
    const placement: Record<string, number> = {};
    for (const r of f.plan.members.filter((m) => m.program === 'request-router')) {
      const x = await f.get<{ placement: Record<string, number> }>(r.http, '/figures');
      for (const [k, n] of Object.entries(x?.placement ?? {})) placement[k] = (placement[k] ?? 0) + n;
    }
    const a = f.plan.members.find((m) => m.program === 'router-agent' && f.processes.isRunning(m.name))!;
    const rec = await f.get<{
      live?: { version: unknown };
      running?: { id: string };
      ended: { id: string; outcome?: string; measured?: { why: string } }[];
    }>(a.http, '/rehearsals');
    return {
      deployment: o.deployment.name,
      seed: o.seed,
      served: summarizeTraffic(outcomes),
      ranTwice,
      ranAfterRefusal,
      extraOverTen: worstRatio(series),
      faults: seen.map((x, i) => ({
        ...x,
        at: Math.round(x.at),
        backAfterMs: backAfter(outcomes, from + x.at, from + (seen[i + 1]?.at ?? Infinity)),
      })),
      submissions,
      readBack: back,
      placement,
      rehearsals: [
        ...(rec?.running === undefined ? [] : [{ id: rec.running.id, outcome: 'running' }]),
        ...(rec?.ended ?? []).map((e) => ({ id: e.id, outcome: e.outcome, why: e.measured?.why })),
      ],
      live: rec?.live?.version ?? null,
    };
  } finally {
    over = true;
    await agent.destroy();
    await f.stop();
  }
}

// The last moment after a fault, before the next one and within half a minute, at which a request was begun that
// then failed.
function backAfter(os: readonly Outcome[], at: number, next: number): number | undefined {
  const bad = os.filter((o) => o.at >= at && o.at < Math.min(next, at + 30_000) && o.ended !== 'whole');
  return bad.length === 0 ? 0 : Math.round(Math.max(...bad.map((o) => o.at)) - at);
}

function worstRatio(ts: readonly Totals[]): number {
  let worst = 0;
  for (const t of ts) {
    const past = [...ts].reverse().find((x) => x.at <= t.at - 10_000);
    if (past === undefined || t.first - past.first < 50) continue;
    worst = Math.max(worst, (t.extra - past.extra) / (t.first - past.first));
  }
  return Math.round(worst * 1000) / 1000;
}

async function readBack(f: Fleet): Promise<{ version: number; whole: boolean }> {
  for (const a of f.plan.members.filter((m) => m.program === 'router-agent' && f.processes.isRunning(m.name))) {
    const r = await f.get<{ version: number; state: { templates: unknown[] } | null }>(a.http, '/desired-state');
    if (r !== undefined)
      return { version: r.version, whole: r.state?.templates.length === f.plan.deployment.tenants.length };
  }
  return { version: 0, whole: false };
}
