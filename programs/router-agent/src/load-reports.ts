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

export function createLoadReports(world: World, options: LoadReportsOptions): LoadReports {
  const reports = new Map<string, { r: WorkerReport; at: number }>();
  const lastProbedAt = new Map<string, number>();
  const allowances = new Map<string, number>();
  let ownDemand: MessageOf<'Demand'> | undefined;
  let probeCredits = 0;
  let probes = 0;

  function withAge(held: { r: WorkerReport; at: number }): WorkerReport {
    return { ...held.r, age: Math.max(0, world.now() - held.at) };
  }
  function mergeReport(report: WorkerReport): boolean {
    const measuredAt = world.now() - report.age;
    const previous = reports.get(report.worker);
    if (
      previous !== undefined &&
      (previous.r.incarnation > report.incarnation ||
        (previous.r.incarnation === report.incarnation && previous.at >= measuredAt))
    )
      return false;
    reports.set(report.worker, { r: report, at: measuredAt });
    return true;
  }
  function receive(message: MessageOf<'Reports'>): void {
    const fresh = message.reports.filter(mergeReport);
    if (fresh.length === 0) return;
    options.onChange();
    if (message.relay && options.isZoneLeader())
      for (const address of options.subscribers())
        world.send(address, { kind: 'Reports', reports: fresh, relay: false });
  }
  function receiveDemand(message: MessageOf<'Demand'>): void {
    const previousAllowance = allowances.get(message.from);
    allowances.set(message.from, message.allowance);
    if (previousAllowance !== undefined && message.allowance > previousAllowance)
      probeCredits = Math.min(probeCredits + message.allowance - previousAllowance, 2);
  }
  function setProbeAllowance(router: string, first: number, extra: number, allowance: number): void {
    ownDemand = { kind: 'Demand', from: router, first, extra, allowance };
  }

  function tick(): void {
    if (ownDemand !== undefined) {
      if (options.isZoneLeader()) receiveDemand(ownDemand);
      else world.send(options.zoneLeader(), ownDemand);
    }
    if (!options.isZoneLeader()) return;
    const leaders = options.zoneLeaders();
    const ownWorkers = options
      .workers()
      .filter((worker) => rendezvous(worker.worker, leaders, (a) => a)[0] === options.self);
    const due = ownWorkers
      .filter((m) => (lastProbedAt.get(m.worker) ?? -Infinity) <= world.now() - 100_000)
      .sort((a, b) => (lastProbedAt.get(a.worker) ?? 0) - (lastProbedAt.get(b.worker) ?? 0));
    for (const m of due) {
      if (probeCredits < 1) return;
      probeCredits -= 1;
      probes += 1;
      lastProbedAt.set(m.worker, world.now());
      void fetchOne(m);
    }
  }

  async function fetchOne(worker: WorkerStateEntry): Promise<void> {
    const sentAt = world.now();
    const fetched = await options.fetchReport(worker);
    if (fetched === undefined)
      return share({
        worker: worker.worker,
        incarnation: worker.incarnation,
        ...invalidLoad,
        part: '',
        age: 0,
        fence: 0,
      });
    if (fetched.incarnation !== worker.incarnation) return;
    const report: WorkerReport = {
      worker: worker.worker,
      incarnation: worker.incarnation,
      queued: fetched.queued,
      active: fetched.active,
      kvUsed: fetched.kv_used,
      part: fetched.part,
      age: world.now() - sentAt,
      fence: fetched.fence,
    };
    const isPlausible =
      Number.isInteger(report.queued) &&
      Number.isInteger(report.active) &&
      Number.isFinite(report.kvUsed) &&
      report.queued >= 0 &&
      report.active >= 0 &&
      report.kvUsed >= 0 &&
      report.kvUsed <= 1;
    if (!isPlausible) {
      world.log(5103, { worker: worker.worker, why: 'impossible figures in its report', report: fetched });
      Object.assign(report, invalidLoad);
    }
    share(report);
  }

  function share(report: WorkerReport): void {
    if (!mergeReport(report)) return;
    options.onChange();
    for (const address of options.subscribers())
      world.send(address, { kind: 'Reports', reports: [report], relay: false });
    for (const a of options.zoneLeaders())
      if (a !== options.self) world.send(a, { kind: 'Reports', reports: [report], relay: true });
  }

  const stop = every(world, () => micros(100_000), tick);
  return {
    all: () => [...reports.values()].map(withAge),
    receive,
    receiveDemand,
    setProbeAllowance,
    probes: () => probes,
    stop,
  };
}
