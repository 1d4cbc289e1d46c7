/**
 * The router's table of the workers it may send to: each worker's entry in the worker list, its last reported load,
 * this router's attempts in flight there, its observed prefill rate, and how much its responses were delayed beyond the
 * expected time, which shows the load from other routers. Only this table decides which workers are candidates: never
 * one that is leaving or gone, and one that failed or is unresponsive only where no other is left.
 */
import type { Candidate } from '@tansypost/placement';
import type { WorkerId } from '@tansypost/inner-protocol';

/** The stage that a worker serves. */
export type WorkerStage = 'prefill' | 'decode';

/** A worker as the worker list describes it; the names are written to metrics. */
export interface FleetWorker {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly part: WorkerStage;
  readonly leaving: boolean;
}

/** The load that a worker reported. */
export interface ReportedLoad {
  readonly queued: number;
  readonly active: number;
  /** A share from 0 to 1. */
  readonly kvUsed: number;
  /** The worker was polled and did not answer. */
  readonly unresponsive: boolean;
  readonly reportedAt: number;
}

/** What a worker does for an attempt: a prefill (`read`) or a run. */
export type WorkKind = 'read' | 'run';

/** Reports the progress of one attempt to the worker table. */
export interface AttemptTracker {
  /** Bytes came, so the worker is alive. The first bytes of a run also show that its prompt is prefilled. */
  readonly progress: () => void;
  /**
   * Ends the attempt. `ill`: the worker ran it and reported a failure; `gone`: another worker has the address now;
   * `overdue`: the worker did not answer this attempt in time, but may answer others; `malformed`: the bytes that it sent
   * cannot be a response to this attempt.
   */
  readonly finish: (outcome: 'done' | 'refused' | 'ill' | 'failed' | 'left' | 'gone' | 'overdue' | 'malformed') => void;
}

/** What placement needs to know about one worker; times are microseconds. */
export interface WorkerView {
  readonly worker: FleetWorker;
  readonly candidate: Candidate;
  /** How long a prompt without tokens would wait there until it is prefilled. */
  readonly queueDelay: number;
  /** Prefill time for one token. */
  readonly timePerToken: number;
  /** Runs in flight; each one slows the generation of every token. */
  readonly activeRuns: number;
  /** The recent gap between two chunks of its streams; 0 where none was observed. */
  readonly eventGap: number;
  /** The recent share of attempts that failed there, as observed by this router and by those that report to it. */
  readonly failureRate: number;
}

/** The router's table of workers. */
export interface WorkerFleet {
  /** Takes a new worker list; returns the ids of the workers that are gone. */
  readonly updateWorkers: (workers: readonly FleetWorker[]) => string[];
  readonly updateLoad: (id: string, load: ReportedLoad) => void;
  readonly find: (id: string) => FleetWorker | undefined;
  /** The workers that may be chosen; those that are not healthy only where no other is left. */
  readonly candidates: (service: string, part: WorkerStage, excluded: ReadonlySet<string>) => WorkerView[];
  /** `tokens` are those expected to be prefilled there, `expected` is the time until the first response. */
  readonly startAttempt: (id: string, kind: WorkKind, tokens: number, expected: number) => AttemptTracker;
  /** Another router sent the worker a prompt whose prefill takes `serviceTime`, or observed a failed attempt there. */
  readonly recordPeerActivity: (id: string, serviceTime: number, failed?: boolean) => void;
  readonly isUnresponsive: (id: string) => boolean;
  /** Whether the worker could accept a request now; `candidates` also returns others where no better one is left. */
  readonly isAvailable: (id: string) => boolean;
  /** State of at most `maxCount` workers for metrics, the busiest and least healthy first. */
  readonly summaries: (maxCount: number) => object[];
}

/** An attempt of this router in flight at a worker. */
interface Attempt {
  readonly kind: WorkKind;
  readonly startedAt: number;
  readonly tokens: number;
  readonly expected: number;
  /** Whether no other prefill of this router was pending there at its start. */
  readonly uncontended: boolean;
  prefilled: boolean;
}

/** State of one worker. */
interface Row {
  worker: FleetWorker;
  load: ReportedLoad | undefined;
  readonly attempts: Set<Attempt>;
  /** Tokens per microsecond. */
  prefillRate: number;
  rateSamples: number;
  /** How much later than expected its first responses came, smoothed; decays with time. */
  delayError: number;
  delayErrorAt: number;
  lastHeardAt: number;
  eventGap: number;
  eventGapAt: number;
  /** Recent prefills sent there by this router, and by others as far as they report, by their prefill time. */
  queuedWork: { readonly at: number; readonly duration: number }[];
  lastPeerReportAt: number;
  failureRate: number;
  failureRateAt: number;
  /** Consecutive failures. */
  failures: number;
  backoffUntil: number;
  /** Responses whose bytes could not be trusted, since the worker was listed. */
  malformedResponses: number;
}

/**
 * Assumed rates until a worker's rate is observed, in tokens per millisecond: of a worker that only prefills, and of
 * one that prefills next to its runs.
 */
const initialPrefillRates = { prefill: 40, decode: 20 };
/** Time of a prefill beyond its tokens. */
const baseLatencyMicros = 15_000;
const delayErrorHalfLifeMicros = 1_000_000;
/** Minimum silence after which a worker with unanswered attempts counts as unresponsive. */
const unresponsiveAfterMicros = 450_000;
const eventGapRetentionMicros = 2_500_000;
const loadRetentionMicros = 1_600_000;
const failureHalfLifeMicros = 2_500_000;
const workRetentionMicros = 6_000_000;
const peerReportRetentionMicros = 5_000_000;

/** Creates an empty table. `speedClass` classifies a worker by its observed speed. */
export function createWorkerFleet(readClock: () => number, speedClass: (id: string) => number = () => 0): WorkerFleet {
  const rows = new Map<string, Row>();
  let meanPrefillTokens = 1500;
  let callTime = readClock();

  /** The clock is read once per call: a decision examines a hundred workers a dozen times each. */
  function now(): number {
    return callTime;
  }
  function refreshClock(): void {
    callTime = readClock();
  }

  function updateWorkers(workers: readonly FleetWorker[]): string[] {
    refreshClock();
    const ids = new Set(workers.map((worker) => worker.id));
    const removed = [...rows.keys()].filter((id) => !ids.has(id));
    for (const id of removed) rows.delete(id);
    for (const worker of workers) {
      const row = rows.get(worker.id);
      if (row === undefined)
        rows.set(worker.id, {
          worker,
          load: undefined,
          attempts: new Set(),
          prefillRate: initialPrefillRates[worker.part] / 1000,
          rateSamples: 0,
          delayError: 0,
          delayErrorAt: 0,
          lastHeardAt: -Infinity,
          eventGap: 0,
          eventGapAt: -Infinity,
          queuedWork: [],
          lastPeerReportAt: -Infinity,
          failureRate: 0,
          failureRateAt: -Infinity,
          failures: 0,
          backoffUntil: 0,
          malformedResponses: 0,
        });
      else {
        if (row.worker.part !== worker.part) {
          row.prefillRate = initialPrefillRates[worker.part] / 1000;
          row.delayError = 0;
          // It may have rejected, as misdirected, requests for the stage that it no longer served.
          row.backoffUntil = 0;
        }
        row.worker = { ...worker, leaving: worker.leaving || row.worker.leaving };
      }
    }
    return removed;
  }

  function currentDelayError(row: Row): number {
    return row.delayError * 2 ** (-(now() - row.delayErrorAt) / delayErrorHalfLifeMicros);
  }
  function currentFailureRate(row: Row): number {
    return row.failureRate < 0.01 ? 0 : row.failureRate * 2 ** (-(now() - row.failureRateAt) / failureHalfLifeMicros);
  }
  function recordOutcome(row: Row, failed: 0 | 1, weight: number): void {
    row.failureRate = currentFailureRate(row) * (1 - weight) + weight * failed;
    row.failureRateAt = now();
  }
  function pendingTokens(row: Row): number {
    let tokens = 0;
    for (const attempt of row.attempts) if (!attempt.prefilled) tokens += attempt.tokens;
    return tokens;
  }
  /** Remaining time of the work sent there if it is done sequentially; an idle report completes all earlier work. */
  function backlog(row: Row): number {
    const time = now();
    while (row.queuedWork.length > 0 && time - row.queuedWork[0]!.at > workRetentionMicros) row.queuedWork.shift();
    const idleAt =
      row.load !== undefined && !row.load.unresponsive && row.load.queued + row.load.active === 0
        ? row.load.reportedAt
        : -Infinity;
    let [remaining, lastAt] = [0, 0];
    for (const item of row.queuedWork) {
      if (item.at < idleAt) continue;
      remaining = Math.max(0, remaining - (item.at - lastAt)) + item.duration;
      lastAt = item.at;
    }
    return Math.max(0, remaining - (time - lastAt));
  }
  function addWork(row: Row, duration: number): void {
    row.queuedWork.push({ at: now(), duration: Math.min(3_000_000, duration) });
    if (row.queuedWork.length > 200) row.queuedWork.shift();
  }
  function runsInFlight(row: Row): number {
    let count = 0;
    for (const attempt of row.attempts) if (attempt.kind === 'run') count += 1;
    return count;
  }
  function isUnresponsive(row: Row): boolean {
    const time = now();
    if (
      row.load?.unresponsive === true &&
      time - row.load.reportedAt < loadRetentionMicros &&
      row.lastHeardAt < row.load.reportedAt
    )
      return true;
    // A worker that has just reported its load is alive, however long its queue.
    const hasRecentReport =
      row.load !== undefined && !row.load.unresponsive && time - row.load.reportedAt < loadRetentionMicros;
    const [minimum, factor] = hasRecentReport ? [3 * unresponsiveAfterMicros, 5] : [unresponsiveAfterMicros, 2.5];
    for (const attempt of row.attempts)
      if (
        !attempt.prefilled &&
        time - attempt.startedAt > Math.max(minimum, factor * attempt.expected) &&
        time - row.lastHeardAt > minimum
      )
        return true;
    return false;
  }
  function isOverloaded(row: Row): boolean {
    return row.load !== undefined && now() - row.load.reportedAt < 2_000_000 && row.load.queued > row.worker.slots;
  }

  function viewOf(row: Row): WorkerView {
    const load =
      row.load !== undefined && !row.load.unresponsive && now() - row.load.reportedAt < loadRetentionMicros
        ? row.load
        : undefined;
    const ownAttempts = row.attempts.size;
    const total = Math.max(ownAttempts, load === undefined ? ownAttempts : load.queued + load.active);
    const queued = Math.min(total, load?.queued ?? 0);
    const ownTokens = pendingTokens(row);
    // Where other routers do not report, only the number of their requests is known.
    const peersReport = now() - row.lastPeerReportAt < peerReportRetentionMicros;
    const peerTokens =
      row.worker.part !== 'prefill' || peersReport ? 0 : Math.max(0, total - ownAttempts) * meanPrefillTokens;
    return {
      worker: row.worker,
      candidate: {
        worker: row.worker.id as WorkerId,
        incarnation: 1,
        running: total - queued,
        queued,
        // Prefills reported by other routers are in flight too.
        prefillTokens: Math.round(Math.max(ownTokens, backlog(row) * row.prefillRate)),
        decodeTokens: runsInFlight(row),
        kvUsed: load?.kvUsed ?? 0,
        speedClass: speedClass(row.worker.id),
      },
      queueDelay:
        baseLatencyMicros +
        Math.max((ownTokens + peerTokens) / row.prefillRate, backlog(row)) +
        Math.max(0, currentDelayError(row)),
      timePerToken: 1 / row.prefillRate,
      activeRuns: Math.max(runsInFlight(row), row.worker.part === 'decode' ? (load?.active ?? 0) : 0),
      eventGap: now() - row.eventGapAt < eventGapRetentionMicros ? row.eventGap : 0,
      failureRate: currentFailureRate(row),
    };
  }

  function mostNotableFirst(): Row[] {
    refreshClock();
    return [...rows.values()].sort((a, b) => notability(b) - notability(a));
  }
  function notability(row: Row): number {
    return (row.worker.leaving ? 1000 : 0) + 100 * row.failures + row.attempts.size;
  }

  /** Neither backed off after a failure, nor unresponsive, nor with a queue longer than its slots. */
  function isHealthy(row: Row): boolean {
    return row.backoffUntil <= now() && !isUnresponsive(row) && !isOverloaded(row);
  }

  function candidates(service: string, part: WorkerStage, excluded: ReadonlySet<string>): WorkerView[] {
    refreshClock();
    const eligible = [...rows.values()].filter(
      (row) =>
        row.worker.service === service &&
        row.worker.part === part &&
        !row.worker.leaving &&
        !excluded.has(row.worker.id),
    );
    const healthy = eligible.filter(isHealthy);
    return (healthy.length > 0 ? healthy : eligible).map(viewOf);
  }

  function startAttempt(id: string, kind: WorkKind, tokens: number, expected: number): AttemptTracker {
    refreshClock();
    const row = rows.get(id);
    if (row === undefined) return { progress: () => undefined, finish: () => undefined };
    const attempt: Attempt = {
      kind,
      startedAt: now(),
      tokens,
      expected,
      uncontended: pendingTokens(row) === 0,
      prefilled: false,
    };
    row.attempts.add(attempt);
    if (kind === 'read') meanPrefillTokens += 0.05 * (tokens - meanPrefillTokens);
    if (tokens > 1) addWork(row, tokens / row.prefillRate);
    function recordFirstResponse(): void {
      if (attempt.prefilled) return;
      attempt.prefilled = true;
      const took = now() - attempt.startedAt;
      const residual = took - attempt.expected;
      row!.delayError =
        currentDelayError(row!) * 0.6 +
        0.4 * Math.max(-200_000, Math.min(3_000_000, residual + currentDelayError(row!)));
      row!.delayErrorAt = now();
      if (attempt.uncontended && attempt.tokens >= 256 && took > baseLatencyMicros) {
        const observedRate = attempt.tokens / Math.max(1000, took - baseLatencyMicros);
        const fewSamples = row!.rateSamples < 4;
        row!.prefillRate +=
          (observedRate > row!.prefillRate ? (fewSamples ? 0.5 : 0.2) : fewSamples ? 0.2 : 0.03) *
          (observedRate - row!.prefillRate);
        row!.prefillRate = Math.max(0.001, Math.min(1, row!.prefillRate));
        row!.rateSamples += 1;
      }
    }
    let lastProgressAt = -Infinity;
    return {
      progress: () => {
        refreshClock();
        const time = now();
        row.lastHeardAt = time;
        if (attempt.prefilled && kind === 'run' && lastProgressAt > -Infinity && time - lastProgressAt > 1000) {
          const isRecent = time - row.eventGapAt < eventGapRetentionMicros;
          row.eventGap = isRecent
            ? row.eventGap + 0.15 * (time - lastProgressAt - row.eventGap)
            : time - lastProgressAt;
          row.eventGapAt = time;
        }
        lastProgressAt = time;
        recordFirstResponse();
      },
      finish: (outcome) => {
        if (!row.attempts.delete(attempt)) return;
        refreshClock();
        // A worker that is unreachable or gone is backed off; one that answers with failures costs more in placement.
        if (outcome === 'done') recordOutcome(row, 0, 0.2);
        else if (outcome === 'refused' || outcome === 'ill' || outcome === 'overdue') recordOutcome(row, 1, 0.2);
        if (outcome === 'done' || outcome === 'ill') {
          row.lastHeardAt = now();
          row.failures = 0;
          recordFirstResponse();
        } else if (outcome === 'refused') {
          row.lastHeardAt = now();
          row.backoffUntil = Math.max(row.backoffUntil, now() + 150_000);
        } else if (outcome === 'gone') row.backoffUntil = Infinity;
        else if (outcome === 'failed' || outcome === 'malformed') {
          if (outcome === 'malformed') row.malformedResponses += 1;
          row.failures += 1;
          row.backoffUntil = now() + Math.min(4_000_000, 400_000 * 2 ** Math.min(4, row.failures - 1));
        }
      },
    };
  }

  return {
    updateWorkers,
    updateLoad: (id, load) => {
      const row = rows.get(id);
      if (row !== undefined && (row.load === undefined || load.reportedAt > row.load.reportedAt)) row.load = load;
    },
    find: (id) => rows.get(id)?.worker,
    candidates,
    startAttempt,
    recordPeerActivity: (id, serviceTime, failed = false) => {
      const row = rows.get(id);
      if (row === undefined) return;
      refreshClock();
      if (failed) return recordOutcome(row, 1, 0.15);
      row.lastPeerReportAt = now();
      addWork(row, serviceTime);
    },
    isUnresponsive: (id) => {
      refreshClock();
      const row = rows.get(id);
      return row === undefined || isUnresponsive(row);
    },
    isAvailable: (id) => {
      refreshClock();
      const row = rows.get(id);
      return row !== undefined && !row.worker.leaving && isHealthy(row);
    },
    // The names of these fields are written to metrics.
    summaries: (maxCount) =>
      mostNotableFirst()
        .slice(0, maxCount)
        .map((row) => ({
          ...row.worker,
          sends: row.attempts.size,
          pace: Math.round(row.prefillRate * 1e5) / 100,
          off: Math.round(currentDelayError(row) / 1000),
          pause: Math.round(row.eventGap / 1000),
          told:
            row.load === undefined ? '' : `${row.load.queued}+${row.load.active} ${Math.round(row.load.kvUsed * 100)}`,
          failures: row.failures,
          ...(row.malformedResponses > 0 ? { malformed: row.malformedResponses } : {}),
        })),
  };
}
