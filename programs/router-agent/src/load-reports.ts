/**
 * Reports of the workers' load. Each costs a probe, so they are fetched only as fast as the routers' extra
 * budget grants, each worker by one home agent, and shared with the whole fleet. The grants come as
 * running totals, so that a lost message loses nothing.
 */
import {
  every,
  micros,
  rendezvous,
  type Address,
  type WorkerStateEntry,
  type MessageOf,
  type WorkerReport,
  type World,
} from '@tansypost/inner-protocol';

export interface FetchedReport {
  readonly queued: number;
  readonly active: number;
  readonly kv_used: number;
  readonly part: string;
  readonly incarnation: number;
  readonly fence: number;
}
export interface LoadReportsOptions {
  readonly self: Address;
  readonly isZoneLeader: () => boolean;
  readonly zoneLeader: () => Address;
  readonly zoneLeaders: () => Address[];
  readonly subscribers: () => Address[];
  readonly workers: () => WorkerStateEntry[];
  readonly fetchReport: (m: WorkerStateEntry) => Promise<FetchedReport | undefined>;
  readonly onChange: () => void;
}
export interface LoadReports {
  readonly all: () => WorkerReport[];
  readonly receive: (m: MessageOf<'Reports'>) => void;
  readonly receiveDemand: (m: MessageOf<'Demand'>) => void;
  readonly setProbeAllowance: (router: string, first: number, extra: number, allowance: number) => void;
  readonly probes: () => number;
  readonly stop: () => void;
}

// What stands for a report with impossible figures, or for none where one was asked: routers count it against the
// worker's vitals, and so know of a dark worker without each losing a request to it.
export const invalidLoad = { queued: -1, active: -1, kvUsed: 0 };

export function createLoadReports(w: World, o: LoadReportsOptions): LoadReports {
  const held = new Map<string, { r: WorkerReport; at: number }>();
  const asked = new Map<string, number>();
  const totals = new Map<string, number>();
  let own: MessageOf<'Demand'> | undefined;
  let pot = 0;
  let probes = 0;

  function out(r: { r: WorkerReport; at: number }): WorkerReport {
    return { ...r.r, age: Math.max(0, w.now() - r.at) };
  }
  function keep(r: WorkerReport): boolean {
    const at = w.now() - r.age;
    const old = held.get(r.worker);
    if (
      old !== undefined &&
      (old.r.incarnation > r.incarnation || (old.r.incarnation === r.incarnation && old.at >= at))
    )
      return false;
    held.set(r.worker, { r, at });
    return true;
  }
  function take(m: MessageOf<'Reports'>): void {
    const fresh = m.reports.filter(keep);
    if (fresh.length === 0) return;
    o.onChange();
    if (m.relay && o.isZoneLeader())
      for (const a of o.subscribers()) w.send(a, { kind: 'Reports', reports: fresh, relay: false });
  }
  function demand(m: MessageOf<'Demand'>): void {
    const had = totals.get(m.from);
    totals.set(m.from, m.allowance);
    if (had !== undefined && m.allowance > had) pot = Math.min(pot + m.allowance - had, 2);
  }
  function routerGrants(router: string, first: number, extra: number, allowance: number): void {
    own = { kind: 'Demand', from: router, first, extra, allowance };
  }

  function tick(): void {
    if (own !== undefined) {
      if (o.isZoneLeader()) demand(own);
      else w.send(o.zoneLeader(), own);
    }
    if (!o.isZoneLeader()) return;
    const hs = o.zoneLeaders();
    const mine = o.workers().filter((m) => rendezvous(m.worker, hs, (a) => a)[0] === o.self);
    const due = mine
      .filter((m) => (asked.get(m.worker) ?? -Infinity) <= w.now() - 100_000)
      .sort((a, b) => (asked.get(a.worker) ?? 0) - (asked.get(b.worker) ?? 0));
    for (const m of due) {
      if (pot < 1) return;
      pot -= 1;
      probes += 1;
      asked.set(m.worker, w.now());
      void fetchOne(m);
    }
  }

  async function fetchOne(m: WorkerStateEntry): Promise<void> {
    const at = w.now();
    const f = await o.fetchReport(m);
    if (f === undefined)
      return share({ worker: m.worker, incarnation: m.incarnation, ...invalidLoad, part: '', age: 0, fence: 0 });
    if (f.incarnation !== m.incarnation) return;
    const r: WorkerReport = {
      worker: m.worker,
      incarnation: m.incarnation,
      queued: f.queued,
      active: f.active,
      kvUsed: f.kv_used,
      part: f.part,
      age: w.now() - at,
      fence: f.fence,
    };
    const sound =
      Number.isInteger(r.queued) &&
      Number.isInteger(r.active) &&
      Number.isFinite(r.kvUsed) &&
      r.queued >= 0 &&
      r.active >= 0 &&
      r.kvUsed >= 0 &&
      r.kvUsed <= 1;
    if (!sound) {
      w.log(5103, { worker: m.worker, why: 'impossible figures in its report', report: f });
      Object.assign(r, invalidLoad);
    }
    share(r);
  }

  function share(r: WorkerReport): void {
    if (!keep(r)) return;
    o.onChange();
    for (const a of o.subscribers()) w.send(a, { kind: 'Reports', reports: [r], relay: false });
    for (const a of o.zoneLeaders()) if (a !== o.self) w.send(a, { kind: 'Reports', reports: [r], relay: true });
  }

  const stop = every(w, () => micros(100_000), tick);
  return {
    all: () => [...held.values()].map(out),
    receive: take,
    receiveDemand: demand,
    setProbeAllowance: routerGrants,
    probes: () => probes,
    stop,
  };
}
