/**
 * The router's table of workers: marks from the feed, the last report with what this router has done since,
 * its own tokens in flight, and a short memory of failures. It alone says who is a candidate: never a
 * worker that is leaving, gone, or resting after failures.
 */
import type { WorkerStateEntry, Micros, WorkerReport, WorkerId } from '@tansypost/inner-protocol';
import type { Candidate, ThroughputTracker } from '@tansypost/placement';
import type { WorkerStage } from '@tansypost/rehearsal';

interface Deed {
  readonly at: number;
  readonly by: number;
  readonly kv: number;
}
interface Row {
  mark: WorkerStateEntry;
  report: { r: WorkerReport; at: number } | undefined;
  deeds: Deed[];
  running: number;
  prefillTokens: number;
  decodeTokens: number;
  failures: number;
  restUntil: number;
  failedAt: number;
  nonsenseAt?: number;
}
export interface WorkerTable {
  readonly marks: (ms: readonly WorkerStateEntry[]) => string[];
  readonly reports: (rs: readonly WorkerReport[]) => void;
  readonly began: (w: WorkerId, phase: 'prefill' | 'decode', tokens: number) => () => void;
  readonly failed: (w: WorkerId) => void;
  readonly went: (w: WorkerId) => void;
  readonly mark: (w: WorkerId) => WorkerStateEntry | undefined;
  readonly reportedPart: (w: WorkerId) => WorkerStage | undefined;
  readonly candidates: (
    phase: 'prefill' | 'decode',
    part: (m: WorkerStateEntry, reported: WorkerStage | undefined) => WorkerStage,
    without: ReadonlySet<string>,
  ) => Candidate[];
  readonly view: () => object[];
}

export function sane(r: WorkerReport): boolean {
  return r.queued >= 0 && r.active >= 0 && r.queued < 1e6 && r.active < 1e6 && r.kvUsed >= 0 && r.kvUsed <= 1;
}

export function createWorkerTable(now: () => Micros, paces: ThroughputTracker): WorkerTable {
  const rows = new Map<string, Row>();

  function marks(ms: readonly WorkerStateEntry[]): string[] {
    const renewed: string[] = [];
    for (const m of ms) {
      const r = rows.get(m.worker);
      if (r === undefined || m.incarnation > r.mark.incarnation) {
        rows.set(m.worker, {
          mark: m,
          report: undefined,
          deeds: [],
          running: 0,
          prefillTokens: 0,
          decodeTokens: 0,
          failures: 0,
          restUntil: 0,
          failedAt: -Infinity,
        });
        if (r !== undefined) renewed.push(m.worker);
      } else if (m.incarnation === r.mark.incarnation && m.state > r.mark.state) r.mark = m;
    }
    return renewed;
  }

  function reports(rs: readonly WorkerReport[]): void {
    for (const r of rs) {
      const x = rows.get(r.worker);
      const at = now() - r.age;
      if (x === undefined || r.incarnation !== x.mark.incarnation || (x.report !== undefined && at <= x.report.at))
        continue;
      if (!sane(r)) {
        if (at > (x.nonsenseAt ?? -Infinity)) failed(r.worker as WorkerId);
        x.nonsenseAt = at;
        continue;
      }
      x.report = { r, at };
      x.deeds = x.deeds.filter((d) => d.at > at);
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
    if (x.deeds.length > 4000) x.deeds.shift();
    x.deeds.push({ at: now(), by, kv: 0 });
  }

  function failed(w: WorkerId): void {
    const x = rows.get(w);
    if (x === undefined) return;
    x.failures += 1;
    x.failedAt = now();
    x.restUntil = now() + Math.min(8_000_000, 500_000 * 2 ** Math.min(4, x.failures - 1));
  }
  function went(w: WorkerId): void {
    const x = rows.get(w);
    if (x !== undefined) x.failures = 0;
  }
  // After a failure a worker rests; until a report of later than that shows that it answers, it rests four times as long,
  // as every request that tries it in vain costs an extra send.
  function resting(x: Row, t: number): boolean {
    if (x.restUntil > t) return true;
    const heard = x.report !== undefined && x.report.at > x.failedAt;
    return !heard && t < x.failedAt + Math.min(8_000_000, 4 * (x.restUntil - x.failedAt));
  }

  function candidate(x: Row): Candidate {
    // Reports are paid for by traffic, so in a lull they stop; an old one must not go on speaking.
    const r = x.report !== undefined && now() - x.report.at < 5_000_000 ? x.report.r : undefined;
    const since = x.deeds.reduce((a, d) => a + d.by, 0);
    const all = Math.max(x.running, r === undefined ? x.running : r.queued + r.active + since);
    const queued = r === undefined ? 0 : Math.min(r.queued, all);
    return {
      worker: x.mark.worker as WorkerId,
      incarnation: x.mark.incarnation,
      running: Math.max(0, all - queued),
      queued,
      prefillTokens: x.prefillTokens,
      decodeTokens: x.decodeTokens,
      kvUsed: r?.kvUsed ?? 0,
      speedClass: paces.speedClass(x.mark.worker),
    };
  }

  function candidates(
    phase: 'prefill' | 'decode',
    part: (m: WorkerStateEntry, reported: WorkerStage | undefined) => WorkerStage,
    without: ReadonlySet<string>,
  ): Candidate[] {
    const not = phase === 'prefill' ? 'decode' : 'prefill';
    const fit = [...rows.values()].filter(
      (x) => x.mark.state === 1 && part(x.mark, x.report?.r.part as WorkerStage | undefined) !== not,
    );
    const t = now();
    const well = fit.filter((x) => !resting(x, t) && !without.has(x.mark.worker));
    if (well.length > 0) return well.map(candidate);
    const rest = fit.filter((x) => !without.has(x.mark.worker));
    return (rest.length > 0 ? rest : fit).map(candidate);
  }

  return {
    marks,
    reports,
    began,
    failed,
    went,
    candidates,
    mark: (w) => rows.get(w)?.mark,
    reportedPart: (w) => rows.get(w)?.report?.r.part as WorkerStage | undefined,
    view: () =>
      [...rows.values()].map((x) => ({
        ...x.mark,
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
    const table = createWorkerTable(() => micros(t), { speedClass: () => 0 } as unknown as ThroughputTracker);
    table.marks([1, 2].map((n) => ({ worker: `w${n}`, incarnation: 1, state: 1, address: 'x' })));
    function names(): string {
      return table
        .candidates('prefill', () => 'both', new Set())
        .map((c) => c.worker)
        .join(' ');
    }
    table.failed('w1' as WorkerId);
    t = 600_000;
    expect(names()).toBe('w2');
    t = 2_100_000;
    expect(names()).toBe('w1 w2');
    table.failed('w1' as WorkerId);
    t = 3_000_000;
    table.reports([
      { worker: 'w1', incarnation: 1, queued: 0, active: 0, kvUsed: 0, part: 'both', age: 100_000, fence: 0 },
    ]);
    t = 3_200_000;
    expect(names()).toBe('w1 w2');
  });
}
