/**
 * The router's table of workers: marks from the feed, the last report with what this router has done since,
 * its own tokens in flight, and a short memory of failures. It alone says who is a candidate: never a
 * worker that is leaving, gone, or resting after failures.
 */
import type { WorkerStateEntry, Micros, WorkerReport, WorkerId } from '@tansypost/inner-protocol';
import type { Candidate, Paces } from '@tansypost/placement';
import type { Part } from '@tansypost/rehearsal';

interface LoadChange {
  readonly at: number;
  readonly delta: number;
  readonly kv: number;
}
interface Row {
  state: WorkerStateEntry;
  report: { r: WorkerReport; at: number } | undefined;
  loadChanges: LoadChange[];
  running: number;
  prefillTokens: number;
  decodeTokens: number;
  failures: number;
  ejectedUntil: number;
  failedAt: number;
  invalidReportAt?: number;
}
export interface WorkerTable {
  readonly mergeStates: (ms: readonly WorkerStateEntry[]) => string[];
  readonly mergeReports: (rs: readonly WorkerReport[]) => void;
  readonly beginRequest: (w: WorkerId, phase: 'prefill' | 'decode', tokens: number) => () => void;
  readonly recordFailure: (w: WorkerId) => void;
  readonly recordSuccess: (w: WorkerId) => void;
  readonly workerState: (w: WorkerId) => WorkerStateEntry | undefined;
  readonly reportedStage: (w: WorkerId) => Part | undefined;
  readonly candidates: (
    phase: 'prefill' | 'decode',
    part: (m: WorkerStateEntry, reported: Part | undefined) => Part,
    without: ReadonlySet<string>,
  ) => Candidate[];
  readonly snapshot: () => object[];
}

export function isPlausibleReport(r: WorkerReport): boolean {
  return r.queued >= 0 && r.active >= 0 && r.queued < 1e6 && r.active < 1e6 && r.kvUsed >= 0 && r.kvUsed <= 1;
}

export function createWorkerTable(now: () => Micros, paces: Paces): WorkerTable {
  const rows = new Map<string, Row>();

  function marks(ms: readonly WorkerStateEntry[]): string[] {
    const renewed: string[] = [];
    for (const m of ms) {
      const r = rows.get(m.worker);
      if (r === undefined || m.incarnation > r.state.incarnation) {
        rows.set(m.worker, {
          state: m,
          report: undefined,
          loadChanges: [],
          running: 0,
          prefillTokens: 0,
          decodeTokens: 0,
          failures: 0,
          ejectedUntil: 0,
          failedAt: -Infinity,
        });
        if (r !== undefined) renewed.push(m.worker);
      } else if (m.incarnation === r.state.incarnation && m.state > r.state.state) r.state = m;
    }
    return renewed;
  }

  function reports(rs: readonly WorkerReport[]): void {
    for (const r of rs) {
      const x = rows.get(r.worker);
      const at = now() - r.age;
      if (x === undefined || r.incarnation !== x.state.incarnation || (x.report !== undefined && at <= x.report.at))
        continue;
      if (!isPlausibleReport(r)) {
        if (at > (x.invalidReportAt ?? -Infinity)) failed(r.worker as WorkerId);
        x.invalidReportAt = at;
        continue;
      }
      x.report = { r, at };
      x.loadChanges = x.loadChanges.filter((d) => d.at > at);
    }
  }

  function began(w: WorkerId, phase: 'prefill' | 'decode', tokens: number): () => void {
    const x = rows.get(w);
    if (x === undefined) return () => undefined;
    x.running += 1;
    if (phase === 'prefill') x.prefillTokens += tokens;
    else x.decodeTokens += tokens;
    deed(x, 1);
    let over = false;
    return function end() {
      if (over) return;
      over = true;
      x.running -= 1;
      if (phase === 'prefill') x.prefillTokens -= tokens;
      else x.decodeTokens -= tokens;
      deed(x, -1);
    };
  }
  function deed(x: Row, by: number): void {
    if (x.loadChanges.length > 4000) x.loadChanges.shift();
    x.loadChanges.push({ at: now(), delta: by, kv: 0 });
  }

  function failed(w: WorkerId): void {
    const x = rows.get(w);
    if (x === undefined) return;
    x.failures += 1;
    x.failedAt = now();
    x.ejectedUntil = now() + Math.min(8_000_000, 500_000 * 2 ** Math.min(4, x.failures - 1));
  }
  function went(w: WorkerId): void {
    const x = rows.get(w);
    if (x !== undefined) x.failures = 0;
  }
  // After a failure a worker rests; until a report of later than that shows that it answers, it rests four times as long,
  // as every request that tries it in vain costs an extra send.
  function resting(x: Row, t: number): boolean {
    if (x.ejectedUntil > t) return true;
    const heard = x.report !== undefined && x.report.at > x.failedAt;
    return !heard && t < x.failedAt + Math.min(8_000_000, 4 * (x.ejectedUntil - x.failedAt));
  }

  function candidate(x: Row): Candidate {
    // Reports are paid for by traffic, so in a lull they stop; an old one must not go on speaking.
    const r = x.report !== undefined && now() - x.report.at < 5_000_000 ? x.report.r : undefined;
    const since = x.loadChanges.reduce((a, d) => a + d.delta, 0);
    const all = Math.max(x.running, r === undefined ? x.running : r.queued + r.active + since);
    const queued = r === undefined ? 0 : Math.min(r.queued, all);
    return {
      worker: x.state.worker as WorkerId,
      incarnation: x.state.incarnation,
      running: Math.max(0, all - queued),
      queued,
      prefillTokens: x.prefillTokens,
      decodeTokens: x.decodeTokens,
      kvUsed: r?.kvUsed ?? 0,
      speedClass: paces.speedClass(x.state.worker),
    };
  }

  function candidates(
    phase: 'prefill' | 'decode',
    part: (m: WorkerStateEntry, reported: Part | undefined) => Part,
    without: ReadonlySet<string>,
  ): Candidate[] {
    const not = phase === 'prefill' ? 'decode' : 'prefill';
    const fit = [...rows.values()].filter(
      (x) => x.state.state === 1 && part(x.state, x.report?.r.part as Part | undefined) !== not,
    );
    const t = now();
    const well = fit.filter((x) => !resting(x, t) && !without.has(x.state.worker));
    if (well.length > 0) return well.map(candidate);
    const rest = fit.filter((x) => !without.has(x.state.worker));
    return (rest.length > 0 ? rest : fit).map(candidate);
  }

  return {
    mergeStates: marks,
    mergeReports: reports,
    beginRequest: began,
    recordFailure: failed,
    recordSuccess: went,
    candidates,
    workerState: (w) => rows.get(w)?.state,
    reportedStage: (w) => rows.get(w)?.report?.r.part as Part | undefined,
    snapshot: () =>
      [...rows.values()].map((x) => ({
        ...x.state,
        running: x.running,
        failures: x.failures,
        resting: resting(x, now()),
        report: x.report?.r,
      })),
  };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  const { micros } = await import('@tansypost/inner-protocol');
  it('tries a worker that failed sooner once a report of later shows that it answers', () => {
    let t = 0;
    const table = createWorkerTable(() => micros(t), { speedClass: () => 0 } as unknown as Paces);
    table.mergeStates([1, 2].map((n) => ({ worker: `w${n}`, incarnation: 1, state: 1, address: 'x' })));
    function names(): string {
      return table
        .candidates('prefill', () => 'both', new Set())
        .map((c) => c.worker)
        .join(' ');
    }
    table.recordFailure('w1' as WorkerId);
    t = 600_000;
    expect(names()).toBe('w2');
    t = 2_100_000;
    expect(names()).toBe('w1 w2');
    table.recordFailure('w1' as WorkerId);
    t = 3_000_000;
    table.mergeReports([
      { worker: 'w1', incarnation: 1, queued: 0, active: 0, kvUsed: 0, part: 'both', age: 100_000, fence: 0 },
    ]);
    t = 3_200_000;
    expect(names()).toBe('w1 w2');
  });
}
