/**
 * The router's table of workers: their states from the feed, the last load report corrected by what this router has
 * started and ended since, its own tokens in flight, and recent failures. It alone decides which workers are candidates:
 * never one that is leaving or gone, and one that is ejected after failures only if no other is left.
 */
import type { WorkerStateEntry, Micros, WorkerReport, WorkerId } from '@tansypost/inner-protocol';
import type { Candidate, ThroughputTracker } from '@tansypost/placement';
import type { WorkerStage } from '@tansypost/rehearsal';

// A request that this router started (+1) or ended (-1).
interface LoadChange {
  readonly at: number;
  readonly delta: number;
  readonly kv: number;
}
interface Row {
  state: WorkerStateEntry;
  report: { report: WorkerReport; at: number } | undefined;
  loadChanges: LoadChange[];
  running: number;
  prefillTokens: number;
  decodeTokens: number;
  failures: number;
  ejectedUntil: number;
  failedAt: number;
  invalidReportAt?: number;
}
/** The known workers. */
export interface WorkerTable {
  /** Applies worker states; returns the workers that are known under a new incarnation. */
  readonly mergeStates: (entries: readonly WorkerStateEntry[]) => string[];
  readonly mergeReports: (reports: readonly WorkerReport[]) => void;
  /** Counts a request at a worker; the returned function ends it. */
  readonly beginRequest: (worker: WorkerId, phase: 'prefill' | 'decode', tokens: number) => () => void;
  readonly recordFailure: (worker: WorkerId) => void;
  readonly recordSuccess: (worker: WorkerId) => void;
  readonly workerState: (worker: WorkerId) => WorkerStateEntry | undefined;
  readonly reportedStage: (worker: WorkerId) => WorkerStage | undefined;
  readonly candidates: (
    phase: 'prefill' | 'decode',
    stageOf: (entry: WorkerStateEntry, reportedStage: WorkerStage | undefined) => WorkerStage,
    excluded: ReadonlySet<string>,
  ) => Candidate[];
  /** The table for operators. */
  readonly snapshot: () => object[];
}

/** Whether the figures of a report are possible at all. */
export function isPlausibleReport(report: WorkerReport): boolean {
  return (
    report.queued >= 0 &&
    report.active >= 0 &&
    report.queued < 1e6 &&
    report.active < 1e6 &&
    report.kvUsed >= 0 &&
    report.kvUsed <= 1
  );
}

/** Creates an empty table; `paces` gives the workers' measured speed. */
export function createWorkerTable(now: () => Micros, paces: ThroughputTracker): WorkerTable {
  const rows = new Map<string, Row>();

  function mergeStates(entries: readonly WorkerStateEntry[]): string[] {
    const restarted: string[] = [];
    for (const entry of entries) {
      const row = rows.get(entry.worker);
      if (row === undefined || entry.incarnation > row.state.incarnation) {
        rows.set(entry.worker, {
          state: entry,
          report: undefined,
          loadChanges: [],
          running: 0,
          prefillTokens: 0,
          decodeTokens: 0,
          failures: 0,
          ejectedUntil: 0,
          failedAt: -Infinity,
        });
        if (row !== undefined) restarted.push(entry.worker);
      } else if (entry.incarnation === row.state.incarnation && entry.state > row.state.state) row.state = entry;
    }
    return restarted;
  }

  function mergeReports(incoming: readonly WorkerReport[]): void {
    for (const report of incoming) {
      const row = rows.get(report.worker);
      const measuredAt = now() - report.age;
      if (
        row === undefined ||
        report.incarnation !== row.state.incarnation ||
        (row.report !== undefined && measuredAt <= row.report.at)
      )
        continue;
      if (!isPlausibleReport(report)) {
        if (measuredAt > (row.invalidReportAt ?? -Infinity)) recordFailure(report.worker as WorkerId);
        row.invalidReportAt = measuredAt;
        continue;
      }
      row.report = { report, at: measuredAt };
      row.loadChanges = row.loadChanges.filter((change) => change.at > measuredAt);
    }
  }

  function beginRequest(worker: WorkerId, phase: 'prefill' | 'decode', tokens: number): () => void {
    const row = rows.get(worker);
    if (row === undefined) return () => undefined;
    row.running += 1;
    if (phase === 'prefill') row.prefillTokens += tokens;
    else row.decodeTokens += tokens;
    recordLoadChange(row, 1);
    let ended = false;
    return function end() {
      if (ended) return;
      ended = true;
      row.running -= 1;
      if (phase === 'prefill') row.prefillTokens -= tokens;
      else row.decodeTokens -= tokens;
      recordLoadChange(row, -1);
    };
  }
  function recordLoadChange(row: Row, delta: number): void {
    if (row.loadChanges.length > 4000) row.loadChanges.shift();
    row.loadChanges.push({ at: now(), delta, kv: 0 });
  }

  function recordFailure(worker: WorkerId): void {
    const row = rows.get(worker);
    if (row === undefined) return;
    row.failures += 1;
    row.failedAt = now();
    row.ejectedUntil = now() + Math.min(8_000_000, 500_000 * 2 ** Math.min(4, row.failures - 1));
  }
  function recordSuccess(worker: WorkerId): void {
    const row = rows.get(worker);
    if (row !== undefined) row.failures = 0;
  }
  // A worker is ejected for a while after a failure. Without a report made after the failure, which shows that it responds
  // again, the ejection lasts four times as long, as each request that tries it in vain costs a retry.
  function isEjected(row: Row, at: number): boolean {
    if (row.ejectedUntil > at) return true;
    const reportedSinceFailure = row.report !== undefined && row.report.at > row.failedAt;
    return !reportedSinceFailure && at < row.failedAt + Math.min(8_000_000, 4 * (row.ejectedUntil - row.failedAt));
  }

  function candidate(row: Row): Candidate {
    // Reports are fetched in proportion to traffic and stop when there is none, so a report expires after 5 s.
    const report = row.report !== undefined && now() - row.report.at < 5_000_000 ? row.report.report : undefined;
    const changeSinceReport = row.loadChanges.reduce((sum, change) => sum + change.delta, 0);
    const total = Math.max(
      row.running,
      report === undefined ? row.running : report.queued + report.active + changeSinceReport,
    );
    const queued = report === undefined ? 0 : Math.min(report.queued, total);
    return {
      worker: row.state.worker as WorkerId,
      incarnation: row.state.incarnation,
      running: Math.max(0, total - queued),
      queued,
      prefillTokens: row.prefillTokens,
      decodeTokens: row.decodeTokens,
      kvUsed: report?.kvUsed ?? 0,
      speedClass: paces.speedClass(row.state.worker),
    };
  }

  function candidates(
    phase: 'prefill' | 'decode',
    stageOf: (entry: WorkerStateEntry, reportedStage: WorkerStage | undefined) => WorkerStage,
    excluded: ReadonlySet<string>,
  ): Candidate[] {
    const otherStage = phase === 'prefill' ? 'decode' : 'prefill';
    const eligible = [...rows.values()].filter(
      (row) =>
        row.state.state === 1 && stageOf(row.state, row.report?.report.part as WorkerStage | undefined) !== otherStage,
    );
    const at = now();
    const healthy = eligible.filter((row) => !isEjected(row, at) && !excluded.has(row.state.worker));
    if (healthy.length > 0) return healthy.map(candidate);
    const untried = eligible.filter((row) => !excluded.has(row.state.worker));
    return (untried.length > 0 ? untried : eligible).map(candidate);
  }

  return {
    mergeStates,
    mergeReports,
    beginRequest,
    recordFailure,
    recordSuccess,
    candidates,
    workerState: (worker) => rows.get(worker)?.state,
    reportedStage: (worker) => rows.get(worker)?.report?.report.part as WorkerStage | undefined,
    snapshot: () =>
      [...rows.values()].map((row) => ({
        ...row.state,
        running: row.running,
        failures: row.failures,
        resting: isEjected(row, now()),
        report: row.report?.report,
      })),
  };
}
