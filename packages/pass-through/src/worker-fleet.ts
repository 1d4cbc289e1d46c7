/**
 * The router's table of the workers it may send to: what the list says of each, the last load it told, what this
 * router has under way there, the pace it has shown, and how far its answers were off what was expected, which is how
 * the load of other routers shows. It alone says who is a candidate: never one that is leaving or gone, and one that
 * failed or fell silent only where nobody else is left.
 */
import type { Candidate } from '@tansypost/placement';
import type { WorkerId } from '@tansypost/inner-protocol';

export type WorkerStage = 'prefill' | 'decode';
export interface FleetWorker {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly part: WorkerStage;
  readonly leaving: boolean;
}
export interface ReportedLoad {
  readonly queued: number;
  readonly active: number;
  // A share from 0 to 1.
  readonly kvUsed: number;
  // It was asked and did not answer.
  readonly unresponsive: boolean;
  readonly reportedAt: number;
}
export type AttemptWork = 'read' | 'run';
export interface AttemptTracker {
  // Bytes came: the worker is alive. The first ones of a run also say that its prompt is read.
  readonly progress: () => void;
  // `ill`: it ran and said that it failed; `gone`: another worker has its address now; `overdue`: it may still answer
  // others, but did not answer this in time.
  readonly finish: (how: 'done' | 'refused' | 'ill' | 'failed' | 'left' | 'gone' | 'overdue') => void;
}
export interface WorkerView {
  readonly worker: FleetWorker;
  readonly candidate: Candidate;
  // How long a prompt of no tokens would wait there before it is read, and how long a token takes to read.
  readonly queueDelay: number;
  readonly timePerToken: number;
  // How much what it is doing slows each token it makes: runs under way.
  readonly activeRuns: number;
  // The pause between two pieces of its streams as seen lately; 0 where none was seen.
  readonly eventGap: number;
  // The share of sends that failed there lately, as this router and those that tell it saw.
  readonly failureRate: number;
}
export interface WorkerFleet {
  readonly updateWorkers: (ws: readonly FleetWorker[]) => string[];
  readonly updateLoad: (id: string, l: ReportedLoad) => void;
  readonly find: (id: string) => FleetWorker | undefined;
  readonly candidates: (service: string, part: WorkerStage, without: ReadonlySet<string>) => WorkerView[];
  // `tokens` are those expected to be read there, `expected` the time until the first answer.
  readonly startAttempt: (id: string, doing: AttemptWork, tokens: number, expected: number) => AttemptTracker;
  // Another router has sent it a prompt that takes so long to read, or saw a send fail there.
  readonly recordPeerActivity: (id: string, service: number, bad?: boolean) => void;
  readonly isUnresponsive: (id: string) => boolean;
  /** Whether it could take up a request now: `views` gives others too where nobody better is left. */
  readonly isAvailable: (id: string) => boolean;
  /** What is known of the workers: at most so many, those that do the most or fare the worst first. */
  readonly summaries: (most: number) => object[];
}

interface Send {
  readonly doing: AttemptWork;
  readonly at: number;
  readonly tokens: number;
  readonly expected: number;
  readonly alone: boolean;
  read: boolean;
}
interface Row {
  w: FleetWorker;
  told: ReportedLoad | undefined;
  readonly sends: Set<Send>;
  // Tokens a microsecond.
  pace: number;
  seen: number;
  off: number;
  offAt: number;
  heardAt: number;
  pause: number;
  pauseAt: number;
  // What was sent there lately by this router and others, as far as they told, in time to read.
  work: { readonly at: number; readonly us: number }[];
  noted: number;
  bad: number;
  badAt: number;
  failures: number;
  restUntil: number;
}
// Until a worker has shown its pace: tokens a millisecond of one that reads only, and of one that reads beside its runs.
const firstPace = { prefill: 40, decode: 20 };
const fixed = 15_000;
const offHalf = 1_000_000;
const silentAfter = 450_000;
const pauseKept = 2_500_000;
const toldKept = 1_600_000;
const badHalf = 2_500_000;
const workKept = 6_000_000;
const notesKept = 5_000_000;

export function createWorkerFleet(readClock: () => number, speedClass: (id: string) => number = () => 0): WorkerFleet {
  const rows = new Map<string, Row>();
  let usualRead = 1500;
  let callTime = readClock();

  /** The clock is read once a call: a decision looks at a hundred workers a dozen times each. */
  function now(): number {
    return callTime;
  }
  function beginCall(): void {
    callTime = readClock();
  }

  function list(ws: readonly FleetWorker[]): string[] {
    beginCall();
    const ids = new Set(ws.map((w) => w.id));
    const gone = [...rows.keys()].filter((id) => !ids.has(id));
    for (const id of gone) rows.delete(id);
    for (const w of ws) {
      const r = rows.get(w.id);
      if (r === undefined)
        rows.set(w.id, {
          w,
          told: undefined,
          sends: new Set(),
          pace: firstPace[w.part] / 1000,
          seen: 0,
          off: 0,
          offAt: 0,
          heardAt: -Infinity,
          pause: 0,
          pauseAt: -Infinity,
          work: [],
          noted: -Infinity,
          bad: 0,
          badAt: -Infinity,
          failures: 0,
          restUntil: 0,
        });
      else {
        if (r.w.part !== w.part) {
          r.pace = firstPace[w.part] / 1000;
          r.off = 0;
          // It may have turned away as not its own what was asked of the part that it had no more.
          r.restUntil = 0;
        }
        r.w = { ...w, leaving: w.leaving || r.w.leaving };
      }
    }
    return gone;
  }

  function off(r: Row): number {
    return r.off * 2 ** (-(now() - r.offAt) / offHalf);
  }
  function badNow(r: Row): number {
    return r.bad < 0.01 ? 0 : r.bad * 2 ** (-(now() - r.badAt) / badHalf);
  }
  function sawBad(r: Row, x: 0 | 1, weight: number): void {
    r.bad = badNow(r) * (1 - weight) + weight * x;
    r.badAt = now();
  }
  function reading(r: Row): number {
    let n = 0;
    for (const s of r.sends) if (!s.read) n += s.tokens;
    return n;
  }
  // What is left of the work sent there if it is done one after the other; an idle report ends what was sent before it.
  function backlog(r: Row): number {
    const t = now();
    while (r.work.length > 0 && t - r.work[0]!.at > workKept) r.work.shift();
    const idleAt =
      r.told !== undefined && !r.told.unresponsive && r.told.queued + r.told.active === 0
        ? r.told.reportedAt
        : -Infinity;
    let [left, at] = [0, 0];
    for (const x of r.work) {
      if (x.at < idleAt) continue;
      left = Math.max(0, left - (x.at - at)) + x.us;
      at = x.at;
    }
    return Math.max(0, left - (t - at));
  }
  function add(r: Row, us: number): void {
    r.work.push({ at: now(), us: Math.min(3_000_000, us) });
    if (r.work.length > 200) r.work.shift();
  }
  function runs(r: Row): number {
    let n = 0;
    for (const s of r.sends) if (s.doing === 'run') n += 1;
    return n;
  }
  function quiet(r: Row): boolean {
    const t = now();
    if (r.told?.unresponsive === true && t - r.told.reportedAt < toldKept && r.heardAt < r.told.reportedAt) return true;
    // One that told its load a moment ago is alive, however long its queue.
    const alive = r.told !== undefined && !r.told.unresponsive && t - r.told.reportedAt < toldKept;
    const [least, times] = alive ? [3 * silentAfter, 5] : [silentAfter, 2.5];
    for (const s of r.sends)
      if (!s.read && t - s.at > Math.max(least, times * s.expected) && t - r.heardAt > least) return true;
    return false;
  }
  function slots(r: Row): boolean {
    return r.told !== undefined && now() - r.told.reportedAt < 2_000_000 && r.told.queued > r.w.slots;
  }

  function view(r: Row): WorkerView {
    const told =
      r.told !== undefined && !r.told.unresponsive && now() - r.told.reportedAt < toldKept ? r.told : undefined;
    const mine = r.sends.size;
    const all = Math.max(mine, told === undefined ? mine : told.queued + told.active);
    const queued = Math.min(all, told?.queued ?? 0);
    const pending = reading(r);
    // Of the reads of others only their number is known where they do not tell.
    const notes = now() - r.noted < notesKept;
    const others = r.w.part !== 'prefill' || notes ? 0 : Math.max(0, all - mine) * usualRead;
    return {
      worker: r.w,
      candidate: {
        worker: r.w.id as WorkerId,
        incarnation: 1,
        running: all - queued,
        queued,
        // Those that other routers told of are in flight too.
        prefillTokens: Math.round(Math.max(pending, backlog(r) * r.pace)),
        decodeTokens: runs(r),
        kvUsed: told?.kvUsed ?? 0,
        speedClass: speedClass(r.w.id),
      },
      queueDelay: fixed + Math.max((pending + others) / r.pace, backlog(r)) + Math.max(0, off(r)),
      timePerToken: 1 / r.pace,
      activeRuns: Math.max(runs(r), r.w.part === 'decode' ? (told?.active ?? 0) : 0),
      eventGap: now() - r.pauseAt < pauseKept ? r.pause : 0,
      failureRate: badNow(r),
    };
  }

  function notableFirst(): Row[] {
    beginCall();
    return [...rows.values()].sort((a, b) => notability(b) - notability(a));
  }
  function notability(r: Row): number {
    return (r.w.leaving ? 1000 : 0) + 100 * r.failures + r.sends.size;
  }

  /** Neither resting after a failure, nor silent, nor with more waiting than it runs at once. */
  function well(r: Row): boolean {
    return r.restUntil <= now() && !quiet(r) && !slots(r);
  }

  function views(service: string, part: WorkerStage, without: ReadonlySet<string>): WorkerView[] {
    beginCall();
    const fit = [...rows.values()].filter(
      (r) => r.w.service === service && r.w.part === part && !r.w.leaving && !without.has(r.w.id),
    );
    const best = fit.filter(well);
    return (best.length > 0 ? best : fit).map(view);
  }

  function began(id: string, doing: AttemptWork, tokens: number, expected: number): AttemptTracker {
    beginCall();
    const r = rows.get(id);
    if (r === undefined) return { progress: () => undefined, finish: () => undefined };
    const s: Send = { doing, at: now(), tokens, expected, alone: reading(r) === 0, read: false };
    r.sends.add(s);
    if (doing === 'read') usualRead += 0.05 * (tokens - usualRead);
    if (tokens > 1) add(r, tokens / r.pace);
    function firstSeen(): void {
      if (s.read) return;
      s.read = true;
      const took = now() - s.at;
      const miss = took - s.expected;
      r!.off = off(r!) * 0.6 + 0.4 * Math.max(-200_000, Math.min(3_000_000, miss + off(r!)));
      r!.offAt = now();
      if (s.alone && s.tokens >= 256 && took > fixed) {
        const p = s.tokens / Math.max(1000, took - fixed);
        const known = r!.seen < 4;
        r!.pace += (p > r!.pace ? (known ? 0.5 : 0.2) : known ? 0.2 : 0.03) * (p - r!.pace);
        r!.pace = Math.max(0.001, Math.min(1, r!.pace));
        r!.seen += 1;
      }
    }
    let last = -Infinity;
    return {
      progress: () => {
        beginCall();
        const t = now();
        r.heardAt = t;
        if (s.read && doing === 'run' && last > -Infinity && t - last > 1000) {
          const known = t - r.pauseAt < pauseKept;
          r.pause = known ? r.pause + 0.15 * (t - last - r.pause) : t - last;
          r.pauseAt = t;
        }
        last = t;
        firstSeen();
      },
      finish: (how) => {
        if (!r.sends.delete(s)) return;
        beginCall();
        // One that is silent or gone rests; one that answers, and badly, costs more.
        if (how === 'done') sawBad(r, 0, 0.2);
        else if (how === 'refused' || how === 'ill' || how === 'overdue') sawBad(r, 1, 0.2);
        if (how === 'done' || how === 'ill') {
          r.heardAt = now();
          r.failures = 0;
          firstSeen();
        } else if (how === 'refused') {
          r.heardAt = now();
          r.restUntil = Math.max(r.restUntil, now() + 150_000);
        } else if (how === 'gone') r.restUntil = Infinity;
        else if (how === 'failed') {
          r.failures += 1;
          r.restUntil = now() + Math.min(4_000_000, 400_000 * 2 ** Math.min(4, r.failures - 1));
        }
      },
    };
  }

  return {
    updateWorkers: list,
    updateLoad: (id, l) => {
      const r = rows.get(id);
      if (r !== undefined && (r.told === undefined || l.reportedAt > r.told.reportedAt)) r.told = l;
    },
    find: (id) => rows.get(id)?.w,
    candidates: views,
    startAttempt: began,
    recordPeerActivity: (id, service, bad = false) => {
      const r = rows.get(id);
      if (r === undefined) return;
      beginCall();
      if (bad) return sawBad(r, 1, 0.15);
      r.noted = now();
      add(r, service);
    },
    isUnresponsive: (id) => {
      beginCall();
      const r = rows.get(id);
      return r === undefined || quiet(r);
    },
    isAvailable: (id) => {
      beginCall();
      const r = rows.get(id);
      return r !== undefined && !r.w.leaving && well(r);
    },
    summaries: (most) =>
      notableFirst()
        .slice(0, most)
        .map((r) => ({
          ...r.w,
          sends: r.sends.size,
          pace: Math.round(r.pace * 1e5) / 100,
          off: Math.round(off(r) / 1000),
          pause: Math.round(r.pause / 1000),
          told: r.told === undefined ? '' : `${r.told.queued}+${r.told.active} ${Math.round(r.told.kvUsed * 100)}`,
          failures: r.failures,
        })),
  };
}
