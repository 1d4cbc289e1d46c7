// The executor: takes one request through its course, asking `decide` for each step and obeying it until the answer is
// whole or given up on. It owns the fleet's table, the radix tree of what it sent where, and the budget for extra sends;
// time, randomness and the way to workers and requesters are passed in.
import { micros, type World } from '@tansypost/inner-protocol';
import { createMatcher, type Matcher, type Path, type PathTable, type Service } from '@tansypost/paths';
import {
  createPaces,
  createRadixTree,
  placementDefaults,
  type PlacementOptions,
  type Reason,
} from '@tansypost/placement';
import { createAnswerPatience, type AttemptKind } from './answer-patience.js';
import { assignPair, pairDefaults, promptBlocks, type Pair, type PairTerms } from './assign-pair.js';
import { decide, type Ledger } from './decision.js';
import { createEventCutter, type EventCutter } from './events.js';
import type { Incoming } from './incoming.js';
import type { GiveUp, GiveUpKind, Lot, ReadResult, Reply, RunResult, WorkerPort } from './ports.js';
import { createReadiness } from './readiness.js';
import { createSendBudget, type SendBudgetTerms } from './send-budget.js';
import { createWorkerFleet, type FleetWorker, type ToldLoad, type Under } from './worker-fleet.js';

export interface CourseOptions {
  readonly zone: string;
  readonly regionOf: (zone: string) => string;
  readonly budget: SendBudgetTerms;
  readonly placement?: PlacementOptions;
  readonly pair?: Partial<typeof pairDefaults>;
}
export interface CoursePorts {
  readonly workers: WorkerPort;
  // A read that takes so long was sent: others may want to know.
  readonly reading?: (worker: string, service: number, bad?: boolean) => void;
  // What a reader was chosen by, and how long it then took until the first piece.
  readonly sample?: (row: Float32Array, firstTime: number) => void;
  readonly lot?: (request: string) => Lot;
}
export interface Course {
  readonly serve: (q: Incoming, reply: Reply, gone: AbortSignal) => Promise<void>;
  readonly paths: (t: PathTable) => void;
  readonly workers: (ws: readonly FleetWorker[]) => void;
  readonly told: (id: string, l: ToldLoad) => void;
  readonly elsewhere: (worker: string, service: number, bad: boolean) => void;
  readonly ready: () => boolean;
  readonly active: () => number;
  readonly figures: () => Record<string, unknown>;
}

// Ours: how long a worker may be silent before another is asked, where that can do no harm.
const readPatience = { least: 450_000, times: 2.5 };
const firstPatience = { least: 700_000, times: 3 };
const pausePatience = { least: 900_000, times: 3 };
// Ours: how long a worker that answers others may leave one request unanswered. A run from memory waits for no prompt,
// and a short prompt goes before others; a longer prompt may be behind others for long, and is left only when it is late
// for its aim anyway.
const memoryPatience = { least: 400_000, times: 3 };
const promptPatience = { leastShort: 400_000, times: 5 };
const watchInterval = 50_000;
// So high that nothing is explored by it.
const noDraw = 0.999999;
// Ours: one that was lost is read by one more reader at most.
const mostReads = 2;
const mostUnsent = 4;
// Ours: a run from memory that was read elsewhere has its first token after so long.
const firstFromMemory = 60_000;
// Ours: seconds after which a router that was starting is asked again. By then it is ready even if all were killed; one
// that comes back sooner may be refused again, and has no further try.
const retryAfterStart = 1.2;
// Ours: what a worker read longer ago than this has given way to other prompts.
const keptFor = 10_000_000;
const smallRead = 60_000;
const urgencies = { small: 1, begun: 2, tight: 3, near: 4, ample: 5, late: 7 };

interface Running {
  readonly q: Incoming;
  readonly path: Path;
  readonly service: Service;
  readonly reply: Reply;
  readonly gone: AbortSignal;
  readonly limit: number;
  readonly arrived: number;
  sends: number;
  ran: 'no' | 'maybe';
  begun: boolean;
  cutter: EventCutter | undefined;
  lastRefused: boolean;
  readonly tried: Set<string>;
  unsent: number;
  // Reads begun; any after the first that was taken up is extra.
  reads: number;
  readonly lot: Lot | undefined;
  // The row and the moment by which its reader was chosen, until the first piece has come.
  chosen: { readonly row: Float32Array; readonly at: number } | undefined;
  firstAt: number;
  pieces: number;
  whole: boolean;
  // The last answer of a worker that failed, to be passed on where nothing better comes.
  failed: Extract<RunResult, { tag: 'failed' }> | undefined;
}

export function createCourse(w: World, o: CourseOptions, p: CoursePorts): Course {
  const paces = createPaces();
  const fleet = createWorkerFleet(w.now, paces.speedClass);
  const tree = createRadixTree();
  const budget = createSendBudget(w.now, o.budget);
  const patience = createAnswerPatience();
  const placement = o.placement ?? placementDefaults;
  const pair = { ...pairDefaults, ...o.pair };
  const counts = new Map<string, number>();
  let matcher: Matcher | undefined;
  let services = new Map<string, Service>();
  let listed = false;
  let active = 0;
  const readiness = createReadiness(w, ready);

  function note(k: string): void {
    counts.set(k, (counts.get(k) ?? 0) + 1);
  }

  // Every choice is counted with its reason; those that were not the model's are told of now and then.
  function fellBack(reason: Reason): void {
    const k = `reader ${reason}`;
    note(k);
    const n = counts.get(k)!;
    if (reason !== 'scored' && reason !== 'explored' && reason !== 'only' && Number.isInteger(Math.log10(n)))
      w.log(4001, { reason, n });
  }

  function paths(t: PathTable): void {
    matcher = createMatcher(t);
    services = new Map(t.services.map((s) => [s.name, s]));
    readiness.changed();
  }
  function workers(ws: readonly FleetWorker[]): void {
    listed = true;
    for (const id of fleet.list(ws)) tree.forget(id);
    readiness.changed();
  }

  function ready(): boolean {
    return matcher !== undefined && listed;
  }
  function pickService(path: Path): Service | undefined {
    const whole = path.shares.reduce((a, s) => a + s.weight, 0);
    let at = w.random() * whole;
    for (const s of path.shares) {
      at -= s.weight;
      if (at < 0) return services.get(s.service);
    }
    return services.get(path.shares.find((s) => s.weight > 0)?.service ?? '');
  }

  async function serve(q: Incoming, reply: Reply, gone: AbortSignal): Promise<void> {
    active += 1;
    try {
      const arrived = w.now();
      await readiness.wait(arrived, q.patience, () => matcher?.find(q.host, q.target)?.aim);
      if (gone.aborted) return note('requester left');
      if (matcher === undefined)
        return giveUp(reply, 'not_ready', 'no', 'No paths are known here yet.', retryAfterStart);
      const path = matcher.find(q.host, q.target);
      if (path === undefined) return giveUp(reply, 'unknown_path', 'no', 'No path has this host and prefix.');
      if (!ready()) return giveUp(reply, 'not_ready', 'no', 'No workers are known here yet.', retryAfterStart);
      const service = pickService(path);
      if (service === undefined) return giveUp(reply, 'no_workers', 'no', 'The path has no service.', 1);
      const r: Running = {
        q,
        path,
        service,
        reply,
        gone,
        arrived,
        limit: arrived + Math.min(q.patience, path.budget),
        sends: 0,
        ran: 'no',
        begun: false,
        cutter: undefined,
        lastRefused: false,
        tried: new Set(),
        unsent: 0,
        reads: 0,
        lot: p.lot?.(q.id),
        chosen: undefined,
        firstAt: 0,
        pieces: 0,
        whole: false,
        failed: undefined,
      };
      budget.first(service.name);
      await run(r);
      r.lot?.ended({
        path: path.name,
        end: r.whole ? 'whole' : gone.aborted ? 'left' : 'failed',
        patience: r.limit - r.arrived,
        first: r.firstAt - r.arrived,
        perPiece: r.pieces > 1 ? (w.now() - r.firstAt) / (r.pieces - 1) : undefined,
      });
    } catch (e) {
      w.log(5105, { request: q.id, why: e instanceof Error ? (e.stack ?? e.message) : String(e) });
      giveUp(reply, 'outcome_unknown', 'maybe', 'Something unforeseen went wrong inside this router.');
    } finally {
      active -= 1;
    }
  }

  function giveUp(reply: Reply, kind: GiveUpKind, ran: GiveUp['ran'], why: string, retryAfter?: number): void {
    note(`gave up: ${kind}`);
    reply.giveUp({ kind, ran, why, ...(retryAfter === undefined ? {} : { retryAfter }) });
  }

  function terms(r: Running): PairTerms {
    return {
      ...pair,
      zone: o.zone,
      regionOf: o.regionOf,
      ...(p.workers.warm === undefined ? {} : { warm: p.workers.warm }),
      aim: r.path.aim,
      tokenBytes: r.service.tokenBytes,
      linkMbps: r.service.linkMbps,
      placement,
    };
  }

  /** What would be assigned if this worker were left now, if it is available; nothing is drawn for it. */
  function alternative(r: Running, aloneOnly: boolean, worker: string): Pair | undefined {
    const other = assign(r, aloneOnly, new Set([...r.tried, worker]), () => noDraw);
    if (other === undefined || !fleet.available(other.runner.id)) return undefined;
    return other.reader === undefined || fleet.available(other.reader.id) ? other : undefined;
  }

  /** Whether another worker may run it or go on with it, though the present one has it. */
  function mayMove(r: Running): boolean {
    return r.path.resumable || (r.path.repeatable && !r.begun);
  }

  function assign(
    r: Running,
    aloneOnly: boolean,
    tried: ReadonlySet<string> = r.tried,
    random: () => number = w.random,
  ): Pair | undefined {
    const s = r.service.name;
    const runners = fleet.views(s, 'decode', tried);
    // Without a prompt there is nothing to read, and a reader would run the request instead.
    const readers = aloneOnly || r.q.promptTokens === 0 ? [] : fleet.views(s, 'prefill', tried);
    return assignPair(
      r.q,
      readers,
      runners,
      tree.hits(promptBlocks(r.q), w.now() - keptFor),
      r.lot?.model,
      terms(r),
      w.now,
      random,
    );
  }

  async function run(r: Running): Promise<void> {
    for (;;) {
      const now = w.now();
      const again = r.sends > 0 || r.ran === 'maybe' || r.reads > 0;
      const plan = r.unsent > mostUnsent ? undefined : assign(r, again);
      const ledger: Ledger = { sends: r.sends, ran: r.ran, begun: r.begun, lastRefused: r.lastRefused };
      const step = decide(ledger, {
        gone: r.gone.aborted,
        left: r.limit - now,
        repeatable: r.path.repeatable,
        resumable: r.path.resumable,
        sendsAllowed: Math.max(1, r.path.sends),
        extraRoom: budget.room(r.service.name),
        workers: plan !== undefined,
      });
      if (step.step === 'stop') return note('requester left');
      if (step.step === 'cut') {
        note('cut');
        return r.reply.cut();
      }
      if (step.step === 'giveUp') {
        if (r.failed !== undefined) return r.reply.whole(r.failed.answer);
        return giveUp(
          r.reply,
          step.kind,
          step.ran,
          'No worker could run it to its end.',
          step.ran === 'no' ? 0.3 : undefined,
        );
      }
      if (step.step === 'resume' || !step.first) {
        budget.extra(r.service.name);
        note(step.step === 'resume' ? 'resumed' : 'sent again');
      }
      if (await oneRun(r, plan!)) return;
    }
  }

  // One run, with the reads before it where the pair has a reader. True when the course has ended.
  async function oneRun(r: Running, plan: Pair): Promise<boolean> {
    let pairNow = plan;
    while (pairNow.reader !== undefined && !r.begun) {
      const got = await oneRead(r, pairNow);
      const reader = pairNow.reader;
      const from = got.tag === 'read' ? { worker: reader, handle: got.handle } : undefined;
      const next = r.gone.aborted || r.limit <= w.now() ? undefined : assignAfterRead(r, from);
      if (from !== undefined) {
        if (next !== undefined) return runOn(r, next, from);
        p.workers.free(reader, from.handle);
      } else {
        r.tried.add(reader.id);
        note(`read ${got.tag}`);
      }
      if (r.gone.aborted) {
        note('requester left');
        return true;
      }
      if (r.limit <= w.now()) {
        giveUp(r.reply, 'budget_spent', 'no', 'It was not read within the time that it has.', 0.3);
        return true;
      }
      // Turned away or lost: what follows counts as an extra send.
      const extra = from === undefined && got.tag !== 'unsent';
      if (extra && !budget.room(r.service.name)) {
        giveUp(r.reply, 'workers_refused', 'no', 'The worker asked to read it did not, and no send is left.', 0.5);
        return true;
      }
      const other = from === undefined ? assign(r, !mayReadAgain(r)) : undefined;
      if (other === undefined) {
        giveUp(r.reply, 'no_workers', 'no', 'No worker is left to run it.', 0.3);
        return true;
      }
      if (extra) budget.extra(r.service.name);
      // A read after the first counts among the workers that a request may go to, if it is taken up or not.
      if (other.reader !== undefined) r.sends += 1;
      pairNow = other;
    }
    return runOn(r, pairNow, undefined);
  }

  /** Whether one more worker may be asked to read: that and the run after it count among those a request may go to. */
  function mayReadAgain(r: Running): boolean {
    return r.reads < mostReads && r.sends + 2 <= r.path.sends;
  }

  // The runner is assigned anew after the read: a second may have passed, and one that left meanwhile is no candidate.
  function assignAfterRead(r: Running, from: { worker: FleetWorker } | undefined): Pair | undefined {
    if (from === undefined) return undefined;
    const runners = fleet.views(r.service.name, 'decode', r.tried);
    const t = terms(r);
    const hits = tree.hits(promptBlocks(r.q), w.now() - keptFor);
    // What was read moves whole, so only load and distance count here.
    const near = { ...t, rereadCost: 0 };
    const q = { ...r.q, promptTokens: 1, parts: [] };
    const a = assignPair(
      q,
      [],
      runners.map((v) => ({ ...v, wait: v.wait + 1 })),
      hits,
      undefined,
      {
        ...near,
        zone: from.worker.zone,
        zoneCost: t.zoneCost + ((r.q.promptTokens * t.tokenBytes) / 1_048_576) * t.moveCost,
      },
      w.now,
      w.random,
    );
    return a === undefined
      ? undefined
      : { ...a, reader: from.worker as FleetWorker, runnerTokens: 1, firstTime: firstFromMemory };
  }

  // Workers let in the more urgent first. Small prompts hold nobody up, so they go before the rest; of the others, what
  // is left until the aim less what it takes to read says how long it can wait, and what cannot be in time any more goes
  // last, as it loses nothing by it.
  function urgencyOf(r: Running, service: number): number {
    const slack = r.arrived + r.path.aim - w.now() - service;
    if (service < smallRead) return urgencies.small;
    if (slack < 0) return urgencies.late;
    if (slack < 0.25 * r.path.aim) return urgencies.tight;
    return slack < 0.6 * r.path.aim ? urgencies.near : urgencies.ample;
  }

  /**
   * Whether a worker that may still answer is left for another: an extra send is in the budget, and the worker has been
   * silent for as long as another one is expected to take, so that a wrong guess at most doubles the wait.
   */
  function worthLeaving(r: Running, worker: string, waited: number, aloneOnly: boolean): boolean {
    if (!budget.room(r.service.name)) return false;
    const other = alternative(r, aloneOnly, worker);
    return other !== undefined && waited >= other.firstTime && r.limit - w.now() > other.firstTime;
  }

  function promptLeast(r: Running, expected: number, short: boolean): number {
    return Math.max(short ? promptPatience.leastShort : r.path.aim, promptPatience.times * expected);
  }

  async function oneRead(r: Running, plan: Pair): Promise<ReadResult> {
    const reader = plan.reader!;
    const now = w.now();
    const stop = new AbortController();
    p.reading?.(reader.id, plan.serviceTime);
    const under = fleet.began(reader.id, 'read', plan.readerTokens, plan.readTime);
    const limit = w.after(micros(Math.max(0, r.limit - now)), () => stop.abort());
    const quietAfter = Math.max(readPatience.least, readPatience.times * plan.readTime);
    const short = plan.serviceTime < smallRead;
    const kind: AttemptKind = short ? 'short read' : 'read';
    const overdueAfter = patience.of(kind, plan.readTime, promptLeast(r, plan.readTime, short));
    let [over, overdue] = [false, false];
    r.reads += 1;
    // A worker that answers nobody is left; one that answers others, where another may be asked instead.
    function watch(): void {
      if (over) return;
      const waited = w.now() - now;
      overdue = waited >= overdueAfter && worthLeaving(r, reader.id, waited, !mayReadAgain(r));
      if (overdue || (waited >= quietAfter && fleet.silent(reader.id))) stop.abort();
      else w.after(micros(watchInterval), watch);
    }
    w.after(micros(Math.min(quietAfter, overdueAfter)), watch);
    function left(): void {
      stop.abort();
    }
    r.gone.addEventListener('abort', left, { once: true });
    const got = await p.workers.read(reader, r.q, r.limit - now, urgencyOf(r, plan.serviceTime), stop.signal);
    over = true;
    limit();
    r.gone.removeEventListener('abort', left);
    if (got.tag === 'read' || overdue) patience.observe(kind, plan.readTime, w.now() - now);
    if (got.tag === 'read') {
      under.end('done');
      tree.insert(promptBlocks(r.q), reader.id, w.now());
      if (plan.assignment !== undefined) {
        paces.saw(reader.id, plan.readerTokens, w.now() - now, plan.assignment.worker.running);
        r.chosen = { row: plan.assignment.row, at: now };
        fellBack(plan.assignment.reason);
      }
      return got;
    }
    if (overdue || (got.tag === 'refused' && !got.other)) p.reading?.(reader.id, 0, true);
    if (overdue) {
      note('left an overdue read');
      under.end('overdue');
      return got;
    }
    under.end(r.gone.aborted ? 'left' : got.tag !== 'refused' ? 'failed' : got.other ? 'gone' : 'refused');
    return got;
  }

  async function runOn(
    r: Running,
    plan: Pair,
    from: { worker: FleetWorker; handle: string } | undefined,
  ): Promise<boolean> {
    const runner = plan.runner;
    const now = w.now();
    const stop = new AbortController();
    const short = plan.serviceTime < smallRead;
    const alone: AttemptKind = short ? 'short run alone' : 'run alone';
    const kind = from === undefined ? alone : 'run from memory';
    const expected = from === undefined ? plan.firstTime : firstFromMemory;
    const under: Under = fleet.began(runner.id, 'run', plan.runnerTokens, expected);
    const least =
      from === undefined
        ? promptLeast(r, expected, short)
        : Math.max(memoryPatience.least, memoryPatience.times * expected);
    const overdueAfter = patience.of(kind, expected, least);
    const resumed = r.begun;
    if (resumed) r.cutter?.again();
    let seen = false;
    let heardAt = now;
    let [ended, overdue] = [false, false];
    // Where another worker may take it up, one that has been silent for too long is left.
    function watch(): void {
      if (ended || !mayMove(r)) return;
      const waited = w.now() - heardAt;
      const quietAfter = seen
        ? Math.max(pausePatience.least, pausePatience.times * r.path.pause)
        : Math.max(firstPatience.least, firstPatience.times * plan.firstTime);
      const quiet = waited >= quietAfter && (seen || fleet.silent(runner.id));
      const sendLeft = r.sends < r.path.sends;
      overdue = !seen && sendLeft && waited >= overdueAfter && worthLeaving(r, runner.id, waited, true);
      if (
        overdue ||
        (quiet && sendLeft && budget.room(r.service.name) && alternative(r, true, runner.id) !== undefined)
      ) {
        note(overdue ? 'left an overdue run' : 'left a silent worker');
        stop.abort();
      } else w.after(micros(watchInterval), watch);
    }
    if (mayMove(r)) w.after(micros(Math.min(overdueAfter, firstPatience.least)), watch);
    const cancelLimit = w.after(micros(Math.max(0, r.limit - now)), () => stop.abort());
    function left(): void {
      stop.abort();
    }
    r.gone.addEventListener('abort', left, { once: true });
    r.sends += 1;
    if (from === undefined) p.reading?.(runner.id, plan.serviceTime);
    note(from === undefined ? 'run alone' : 'run from memory');
    const lastEvent = resumed ? (r.cutter?.last() ?? r.q.lastEvent) : r.q.lastEvent;
    const got = await p.workers.run(
      runner,
      r.q,
      {
        left: r.limit - now,
        urgency: from === undefined ? urgencyOf(r, plan.serviceTime) : urgencies.begun,
        ...(from === undefined ? {} : { from }),
        ...(lastEvent === undefined ? {} : { lastEvent }),
      },
      {
        head: (h) => {
          under.progress();
          heardAt = w.now();
          if (r.begun) return;
          r.begun = true;
          r.cutter = r.path.streaming ? createEventCutter(r.q.lastEvent) : undefined;
          r.reply.head(h);
        },
        chunk: (b) => {
          heardAt = w.now();
          if (!seen) patience.observe(kind, expected, heardAt - now);
          seen = true;
          r.pieces += 1;
          if (r.pieces === 1) r.firstAt = heardAt;
          if (r.chosen !== undefined) p.sample?.(r.chosen.row, heardAt - r.chosen.at);
          r.chosen = undefined;
          under.progress();
          const out = r.cutter === undefined ? b : r.cutter.push(b);
          if (r.cutter?.gap() === true) stop.abort();
          return out.length > 0 ? r.reply.chunk(out) : undefined;
        },
      },
      stop.signal,
    );
    ended = true;
    if (overdue) patience.observe(kind, expected, w.now() - now);
    if (overdue || got.tag === 'failed' || (got.tag === 'refused' && !got.other && from === undefined))
      p.reading?.(runner.id, 0, true);
    cancelLimit();
    r.gone.removeEventListener('abort', left);
    if (got.tag === 'whole' || got.tag === 'failed' || seen) tree.insert(promptBlocks(r.q), runner.id, w.now());
    switch (got.tag) {
      case 'whole': {
        under.end('done');
        if (r.cutter?.gap() === true) break;
        const rest = r.cutter?.rest();
        if (rest !== undefined && rest.length > 0) await r.reply.chunk(rest);
        note('whole');
        r.whole = true;
        r.reply.end();
        return true;
      }
      case 'unsent':
        under.end('failed');
        r.sends -= 1;
        r.unsent += 1;
        r.tried.add(runner.id);
        if (from !== undefined) p.workers.free(from.worker, from.handle);
        break;
      case 'refused':
        under.end(got.other ? 'gone' : from === undefined ? 'refused' : 'left');
        note(got.other ? 'run misdirected' : from === undefined ? 'run refused' : 'memory refused');
        r.lastRefused = true;
        if (from === undefined || got.other) r.tried.add(runner.id);
        if (from !== undefined) p.workers.free(from.worker, from.handle);
        break;
      case 'failed':
        under.end('ill');
        note('run failed');
        r.ran = 'maybe';
        r.tried.add(runner.id);
        if (!r.begun) r.failed = got;
        break;
      case 'unknown':
        under.end(r.gone.aborted ? 'left' : overdue ? 'overdue' : 'failed');
        if (!r.gone.aborted) note(seen ? 'stream broke' : 'run unknown');
        r.ran = 'maybe';
        r.tried.add(runner.id);
        break;
    }
    return false;
  }

  return {
    serve,
    paths,
    workers,
    told: fleet.told,
    elsewhere: fleet.elsewhere,
    ready,
    active: () => active,
    figures: () => ({
      active,
      counts: Object.fromEntries([...counts].sort()),
      budget: budget.totals(),
      workers: fleet.view(),
    }),
  };
}
