/**
 * Load reports of the workers. Each costs a probe, so they are fetched only as fast as the routers' retry budgets allow,
 * each worker by one zone leader, and shared with the whole fleet. Routers send their allowances as running totals, so that
 * a lost message loses nothing.
 */
import {
  every,
  micros,
  rendezvous,
  runInBackground,
  type Address,
  type WorkerStateEntry,
  type MessageOf,
  type WorkerReport,
  type World,
} from '@tansypost/inner-protocol';
import type { FetchedReport } from './fetched-report.js';

/** Settings of the load reports. */
export interface LoadReportsOptions {
  readonly self: Address;
  readonly isZoneLeader: () => boolean;
  readonly zoneLeader: () => Address;
  readonly zoneLeaders: () => Address[];
  readonly subscribers: () => Address[];
  readonly workers: () => WorkerStateEntry[];
  readonly fetchReport: (worker: WorkerStateEntry) => Promise<FetchedReport | undefined>;
  readonly onChange: () => void;
}
/** The latest report of each worker. */
export interface LoadReports {
  readonly all: () => WorkerReport[];
  readonly receive: (message: MessageOf<'Reports'>) => void;
  readonly receiveDemand: (message: MessageOf<'Demand'>) => void;
  readonly setProbeAllowance: (router: string, first: number, extra: number, allowance: number) => void;
  readonly probes: () => number;
  readonly stop: () => void;
}

/**
 * Replaces a report with impossible values and the report of a worker that did not answer. Routers count it as a failure of
 * the worker, so that an unresponsive worker becomes known without a failed request at each router.
 */
export const invalidLoad = { queued: -1, active: -1, kvUsed: 0 };

function isPlausibleLoad({ queued, active, kvUsed }: Pick<WorkerReport, 'queued' | 'active' | 'kvUsed'>): boolean {
  const areCounts = [queued, active].every((count) => Number.isSafeInteger(count) && count >= 0);
  return areCounts && kvUsed >= 0 && kvUsed <= 1;
}

/** Starts the reports; a zone leader probes each of its workers at most every 100 ms. */
export function createLoadReports(world: World, options: LoadReportsOptions): LoadReports {
  const reports = new Map<string, { report: WorkerReport; at: number }>();
  const lastProbedAt = new Map<string, number>();
  const allowances = new Map<string, number>();
  let ownDemand: MessageOf<'Demand'> | undefined;
  let probeCredits = 0;
  let probes = 0;

  function withAge(held: { report: WorkerReport; at: number }): WorkerReport {
    return { ...held.report, age: Math.max(0, world.now() - held.at) };
  }
  function mergeReport(report: WorkerReport): boolean {
    const measuredAt = world.now() - report.age;
    const previous = reports.get(report.worker);
    if (
      previous !== undefined &&
      (previous.report.incarnation > report.incarnation ||
        (previous.report.incarnation === report.incarnation && previous.at >= measuredAt))
    )
      return false;
    reports.set(report.worker, { report, at: measuredAt });
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
      .filter((worker) => rendezvous(worker.worker, leaders, (address) => address)[0] === options.self);
    const due = ownWorkers
      .filter((worker) => (lastProbedAt.get(worker.worker) ?? -Infinity) <= world.now() - 100_000)
      .sort((a, b) => (lastProbedAt.get(a.worker) ?? 0) - (lastProbedAt.get(b.worker) ?? 0));
    for (const worker of due) {
      if (probeCredits < 1) return;
      probeCredits -= 1;
      probes += 1;
      lastProbedAt.set(worker.worker, world.now());
      runInBackground(world.log, 'fetch of a report', fetchOne(worker));
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
    const load = { queued: fetched.queued, active: fetched.active, kvUsed: fetched.kv_used };
    const plausible = isPlausibleLoad(load);
    if (!plausible)
      world.log(5103, { worker: worker.worker, why: 'load report has impossible values', report: fetched });
    share({
      worker: worker.worker,
      incarnation: worker.incarnation,
      ...(plausible ? load : invalidLoad),
      part: fetched.part,
      age: world.now() - sentAt,
      fence: Math.round(fetched.fence),
    });
  }

  function share(report: WorkerReport): void {
    if (!mergeReport(report)) return;
    options.onChange();
    for (const address of options.subscribers())
      world.send(address, { kind: 'Reports', reports: [report], relay: false });
    for (const address of options.zoneLeaders())
      if (address !== options.self) world.send(address, { kind: 'Reports', reports: [report], relay: true });
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
