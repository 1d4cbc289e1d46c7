/**
 * The request-router without its sockets: takes a request, asks for admission, asks the decision what to
 * do, and obeys it until the answer is whole or given up on. The program passes HTTP and the clock, the
 * simulator passes virtual ones; the code is the same.
 */
import { appliedAllVersions, every, micros, type Address, type Message, type World } from '@tansypost/inner-protocol';
import { findKind, type KindTemplate } from '@tansypost/desired-state';
import {
  assignDecode,
  assignPrefill,
  sampleBatchSize,
  createThroughputTracker,
  createRadixTree,
  encodeSamples,
  placementDefaults,
  summarizePrompt,
  featureCount,
  type Assignment,
  type Candidate,
  type Model,
  type PlacementOptions,
  type PromptSummary,
  type Sample,
} from '@tansypost/placement';
import {
  cohortOf,
  cohortNameOf,
  countAnswer,
  createCohortCounts,
  type Cohort,
  type WorkerStage,
} from '@tansypost/rehearsal';
import type { CohortStatistics, WorkerStateEntry, WorkerId } from '@tansypost/inner-protocol';
import { createAdmission, type Claimant } from './admission.js';
import { createClaims } from './claims.js';
import { decide, type Step } from './decision.js';
import { createExtraBudget } from './extra-budget.js';
import { failure, type Failure, type FailureKind } from './failure.js';
import { createFeed, type Feed } from './feed.js';
import { newLedger, type Send, type SendLedger } from './send-ledger.js';
import { handleFits, type HandleParams, type Sampling, type WorkerJob, type WorkerPort } from './worker-port.js';
import { createWindow } from './window.js';
import { createWorkerTable, type WorkerTable } from './worker-table.js';

export interface RouterOptions {
  readonly router: string;
  readonly http: string;
  readonly agent: Address;
  readonly service: string;
  readonly tenure: number;
  readonly promptLimit: number;
  readonly queueRoom: number;
  readonly placement: PlacementOptions;
}
// How long a router without a tenure looks for one that takes a request, or for its own tenure to come back.
const sendOnFor = 1_500_000;
export const routerDefaults = { tenure: 10_000_000, promptLimit: 32_768, queueRoom: 12, placement: placementDefaults };

export interface Incoming {
  readonly id: string;
  readonly tenant: string;
  readonly kind: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly sentOn: boolean;
  readonly idempotencyKey?: string;
  readonly sampling?: Sampling;
  // What of its patience went by at routers before this one.
  readonly spent?: number;
}
// A promise from `chunk` means that the requester reads slowly; nothing more is read from the worker until it is kept.
export interface Reply {
  readonly chunk: (text: string) => void | Promise<void>;
  readonly end: (finish: string) => void;
  readonly fail: (f: Failure) => void;
}
export interface RouterPorts {
  readonly workers: WorkerPort;
  readonly digest: (prompt: string) => string;
  readonly sending?: (
    request: string,
    worker: string,
    phase: 'prefill' | 'decode',
    extra: boolean,
    version: number,
  ) => void;
  readonly sendOn: (to: string, r: Incoming, reply: Reply, gone: AbortSignal) => Promise<boolean>;
}
export interface RouterCore {
  readonly serve: (r: Incoming, reply: Reply, gone: AbortSignal) => Promise<void>;
  readonly receive: (m: Message) => void;
  readonly feed: Feed;
  readonly table: WorkerTable;
  readonly figures: () => Record<string, unknown>;
  readonly stopTaking: () => void;
  readonly active: () => number;
  readonly stop: () => void;
}

interface Course {
  readonly r: Incoming;
  readonly reply: Reply;
  kind: KindTemplate;
  readonly ledger: SendLedger;
  readonly facts: PromptSummary;
  readonly job: WorkerJob;
  readonly arrived: number;
  limit: number;
  unarm: () => void;
  readonly arm: Cohort;
  readonly tried: Set<string>;
  readonly abort: AbortController;
  // The version of the desired state that its template is of.
  version: number;
  handle: { h: HandleParams; from: WorkerStateEntry } | undefined;
  assigned: Assignment | undefined;
  sentAt: number;
  firstAt: number;
  chunks: number;
}

export function createRouterCore(w: World, o: RouterOptions, p: RouterPorts): RouterCore {
  const feed = createFeed({ service: o.service, tenure: o.tenure, now: w.now, log: w.log });
  const paces = createThroughputTracker();
  const table = createWorkerTable(w.now, paces);
  const tree = createRadixTree();
  const budget = createExtraBudget(w.now);
  const window = createWindow(w.now, readTarget);
  const admission = createAdmission(w, room, () => feed.tenured());
  const claims = createClaims(w, o.agent, o.router);
  const reasons = new Map<string, number>();
  const ends = new Map<string, number>();
  const arms = new Map<string, CohortStatistics>();
  let samples: Sample[] = [];
  let flushedAt = w.now() as number;
  let taking = true;
  let active = 0;
  let paceUs = 300_000;

  function note(m: Map<string, number>, k: string): void {
    m.set(k, (m.get(k) ?? 0) + 1);
  }

  function partFor(arm: Cohort): (m: WorkerStateEntry, reported: WorkerStage | undefined) => WorkerStage {
    const rec = feed.record();
    const run = rec.running?.subject;
    return function part(m, reported) {
      if (run?.type === 'part' && run.shift.worker === m.worker && run.shift.incarnation === m.incarnation) {
        return arm === 'slice' ? run.shift.to : run.shift.from;
      }
      const e = rec.parts[m.worker];
      return e !== undefined && e.incarnation === m.incarnation ? e.part : (reported ?? 'both');
    };
  }

  function candidates(phase: 'prefill' | 'decode', arm: Cohort, without: ReadonlySet<string>): Candidate[] {
    return table.candidates(phase, partFor(arm), without);
  }

  // Reading a prompt should take no more than a fifth of the least patience in force.
  function readTarget(): number {
    const ps = (feed.desired()?.templates ?? []).flatMap((t) => Object.values(t.kinds).map((k) => k.patienceMs));
    return 200 * Math.max(2500, Math.min(10_000, ...ps));
  }

  // Room for one more: the window is open and some prefill worker's queue is short enough.
  function room(granted: number): boolean {
    if (!window.open(granted)) return false;
    if (window.idle() && granted === 0) return true;
    const cs = candidates('prefill', 'none', new Set());
    return cs.length === 0 || cs.some((c) => c.queued + Math.max(0, c.prefillTokens > 0 ? c.running : 0) < o.queueRoom);
  }

  function modelFor(arm: Cohort): Model | undefined {
    const rec = feed.record();
    const s = rec.running?.subject;
    if (arm === 'slice' && s?.type === 'model') return feed.model(s.model);
    // While a model that went live is watched, the control arm stays with the one before.
    return feed.model(
      arm === 'control' && rec.running?.state === 'watched' && s?.type === 'model' ? rec.before : rec.live,
    );
  }

  // Everything under way counts as active, what was sent on to another router too: a stop waits for all of it.
  async function serve(r: Incoming, reply: Reply, gone: AbortSignal): Promise<void> {
    active += 1;
    const arrived = w.now() - (r.spent ?? 0);
    try {
      const f = await refusalBefore(r, reply, gone, arrived);
      if (f === undefined) await serveHere(r, reply, gone, arrived);
      else if (f !== 'sent on') giveUp(r, reply, f);
    } catch (e) {
      w.log(5105, { request: r.id, why: e instanceof Error ? e.message : String(e) });
      giveUp(r, reply, failure('internal_error', 'Something unforeseen went wrong inside this router.'));
    } finally {
      active -= 1;
    }
  }

  async function serveHere(r: Incoming, reply: Reply, gone: AbortSignal, arrived: number): Promise<void> {
    const k = findKind(feed.desired()!, r.tenant, r.kind);
    const version = feed.applied();
    if (typeof k === 'string')
      return giveUp(
        r,
        reply,
        failure(
          k,
          k === 'unknown_tenant' ? `There is no tenant ${r.tenant}.` : `Tenant ${r.tenant} has no kind ${r.kind}.`,
        ),
      );
    try {
      if (r.idempotencyKey === undefined) await admitAndRun(r, reply, k, gone, arrived, version);
      else await claimAndRun(r, r.idempotencyKey, reply, k, gone, arrived, version);
    } finally {
      admission.left();
    }
  }

  // A claim that was won but led to no send is given back, so that the requester may come again with its key.
  async function claimAndRun(
    r: Incoming,
    key: string,
    reply: Reply,
    kind: KindTemplate,
    gone: AbortSignal,
    arrived: number,
    version: number,
  ): Promise<void> {
    const whole = `${r.tenant}/${key}`;
    const c = await claims.claim(
      whole,
      r.id,
      Math.max(0, Math.min(3_000_000, (arrived + kind.patienceMs * 1000 - w.now()) / 2)),
    );
    if (c.tag === 'taken') return giveUp(r, reply, failure('claimed', `This key is taken: ${c.known}`));
    if (c.tag === 'failed') {
      claims.tell('release', whole, r.id, '');
      return giveUp(r, reply, failure('claim_failed', 'The core did not answer the claim in time.', 2));
    }
    const end = await admitAndRun(r, reply, kind, gone, arrived, version);
    if (end === 'not sent') claims.tell('release', whole, r.id, '');
    else claims.tell('ended', whole, r.id, end);
  }

  function ready(): boolean {
    return taking && feed.tenured() && feed.desired() !== undefined;
  }

  async function refusalBefore(
    r: Incoming,
    reply: Reply,
    gone: AbortSignal,
    arrived: number,
  ): Promise<Failure | 'sent on' | undefined> {
    const t = summarizePrompt(r.prompt).tokens;
    if (t > o.promptLimit)
      return failure('prompt_too_long', `The prompt has ${t} tokens; the limit is ${o.promptLimit}.`);
    if (ready()) return undefined;
    if (!r.sentOn) {
      const at = Math.floor(w.random() * 64);
      const all = feed.others();
      const until = w.now() + sendOnFor;
      const known = feed.desired() === undefined ? 'unknown_kind' : findKind(feed.desired()!, r.tenant, r.kind);
      const limit = arrived + (typeof known === 'string' ? 30_000_000 : known.patienceMs * 1000);
      for (let i = 0; i < all.length && !gone.aborted && w.now() < Math.min(until, limit); i += 1) {
        if (await sendOn(all[(at + i) % all.length]!, r, reply, gone, arrived, limit)) return 'sent on';
      }
      // Nobody took it. A router that is just starting, or whose agent is, decides again within a moment.
      while (taking && !ready() && !gone.aborted && w.now() < Math.min(until, limit))
        await new Promise<void>((ok) => {
          w.after(micros(50_000), ok);
        });
      if (ready()) return undefined;
    }
    if (!taking) return failure('stopping', 'This router is stopping.');
    return failure(
      'no_tenure',
      feed.tenured()
        ? 'No desired state has been submitted yet.'
        : 'This router has lost touch with the control state.',
    );
  }

  // The next router gets what is left of the patience, and no answer of its comes after that.
  function sendOn(
    to: string,
    r: Incoming,
    reply: Reply,
    gone: AbortSignal,
    arrived: number,
    limit: number,
  ): Promise<boolean> {
    return new Promise((ok, no) => {
      let [over, begun] = [false, false];
      const late = new AbortController();
      function end(taken: boolean, f: () => void): void {
        if (over) return;
        over = true;
        cancel();
        f();
        ok(taken);
      }
      const cancel = w.after(micros(limit - w.now()), () =>
        end(true, () => {
          giveUp(
            r,
            reply,
            failure(
              begun ? 'answer_cut' : 'budget_spent',
              'Its patience ran out at the router it was sent on to.',
              Math.max(1, Math.ceil(paceUs / 1e6)),
            ),
          );
          late.abort();
        }),
      );
      p.sendOn(
        to,
        { ...r, spent: w.now() - arrived },
        {
          chunk: (t) => {
            if (over) return undefined;
            begun = true;
            return reply.chunk(t);
          },
          end: (finish) => end(true, () => reply.end(finish)),
          fail: (f) => end(true, () => reply.fail(f)),
        },
        AbortSignal.any([gone, late.signal]),
      ).then((taken) => end(taken, () => undefined), no);
    });
  }

  async function admitAndRun(
    r: Incoming,
    reply: Reply,
    kind: KindTemplate,
    gone: AbortSignal,
    arrived: number,
    version: number,
  ): Promise<string> {
    const facts = summarizePrompt(r.prompt);
    // The terms are those in force, also for a request that waits through a change of the desired state.
    const cost = facts.tokens + 4 * r.maxTokens;
    const waited = w.now() - arrived;
    let terms = kind;
    function claimant(): Claimant {
      const k = findKind(feed.desired()!, r.tenant, r.kind);
      if (typeof k !== 'string') terms = k;
      return {
        purse: `${r.tenant}/${r.kind}`,
        share: terms.share,
        worth: terms.worth,
        cost,
        patience: terms.patienceMs * 1000,
        waited,
      };
    }
    const a = await admission.enter(claimant(), claimant);
    if (a.tag === 'unable') {
      // A router that stops still serves what it has taken, so only the tenure is missing. One with a claim is not sent on.
      const f = r.idempotencyKey === undefined ? await refusalBefore(r, reply, gone, arrived) : undefined;
      if (f === undefined && feed.tenured()) return admitAndRun(r, reply, terms, gone, arrived, feed.applied());
      if (f !== 'sent on')
        giveUp(r, reply, f ?? failure('no_tenure', 'This router has lost touch with the control state.'));
      return 'not sent';
    }
    if (a.tag === 'shed') {
      giveUp(r, reply, failure('overloaded', 'There are more requests than the workers can take.', a.retryAfter));
      return 'not sent';
    }
    const run = feed.record().running;
    const c: Course = {
      r,
      reply,
      kind: terms,
      ledger: newLedger(),
      facts,
      arrived,
      limit: arrived + terms.patienceMs * 1000,
      unarm: () => undefined,
      job: {
        request: r.id,
        model: r.model,
        prompt: r.prompt,
        digest: p.digest(r.prompt),
        maxTokens: r.maxTokens,
        sampling: r.sampling ?? {},
      },
      arm: run === undefined ? 'none' : cohortOf(cohortNameOf(run), r.id, run.slice),
      tried: new Set(),
      abort: new AbortController(),
      version,
      handle: undefined,
      assigned: undefined,
      sentAt: 0,
      firstAt: 0,
      chunks: 0,
    };
    const rehearsal = run === undefined ? undefined : cohortNameOf(run);
    armLimit(c);
    function left(): void {
      c.abort.abort();
    }
    gone.addEventListener('abort', left);
    let end: FailureKind | 'whole' | 'gone' = 'whole';
    try {
      end = await run1(c, gone, a.begun);
    } finally {
      a.begun();
      c.unarm();
      gone.removeEventListener('abort', left);
      if (end === 'whole' || end === 'gone') note(ends, end);
      if (rehearsal !== undefined && c.arm !== 'none' && end !== 'gone') count(rehearsal, c, end);
    }
    return c.ledger.sends.length === 0 ? 'not sent' : end;
  }

  async function run1(c: Course, gone: AbortSignal, begun: () => void): Promise<FailureKind | 'whole' | 'gone'> {
    for (;;) {
      if (gone.aborted) return 'gone';
      if (!renew(c) && c.ledger.sends.length === 0) {
        const f = failure('unknown_kind', `Tenant ${c.r.tenant} has no kind ${c.r.kind} any more.`);
        giveUp(c.r, c.reply, f);
        return f.kind;
      }
      if (c.ledger.sends.length === 0 && !feed.tenured()) {
        const f = failure('no_tenure', 'This router has lost touch with the control state.');
        giveUp(c.r, c.reply, f);
        return f.kind;
      }
      const ps = candidates('prefill', c.arm, c.tried);
      const ds = candidates('decode', c.arm, c.tried);
      const step: Step = decide(c.ledger, {
        repeatable: c.kind.repeatable,
        timeLeft: c.abort.signal.aborted ? 0 : c.limit - w.now(),
        extras: budget.room(),
        prefillWorkers: ps.length,
        decodeWorkers: ds.length,
        retryAfter: Math.max(1, Math.ceil(paceUs / 1e6)),
      });
      if (step.do === 'fail') {
        if (step.failure.kind === 'answer_cut') w.log(5104, { request: c.r.id, worker: c.ledger.sends.at(-1)?.worker });
        giveUp(c.r, c.reply, step.failure);
        return step.failure.kind;
      }
      // To carry on with a prompt that was read needs no tenure; to begin anew does.
      if (!feed.tenured() && (step.do === 'prefill' || c.ledger.sends.at(-1)?.phase === 'decode')) {
        const f = failure(
          c.kind.repeatable ? 'workers_failed' : 'outcome_unknown',
          'A worker failed it, and this router has lost touch with the control state.',
        );
        giveUp(c.r, c.reply, f);
        return f.kind;
      }
      if (step.do === 'prefill') {
        const done = prefill(c, ps);
        begun();
        await done;
      } else if (await decode(c, ds)) return 'whole';
    }
  }

  function armLimit(c: Course): void {
    c.unarm();
    c.unarm = w.after(micros(Math.max(0, c.limit - w.now())), () => c.abort.abort());
  }

  // Brings a request under the template in force; false when its kind is there no more, and then nothing begins anew.
  function renew(c: Course): boolean {
    if (c.version === feed.applied()) return true;
    const k = findKind(feed.desired()!, c.r.tenant, c.r.kind);
    c.version = feed.applied();
    c.kind = typeof k === 'string' ? { ...c.kind, repeatable: false } : k;
    c.limit = c.arrived + c.kind.patienceMs * 1000;
    armLimit(c);
    return typeof k !== 'string';
  }

  function enterSend(c: Course, phase: 'prefill' | 'decode', worker: WorkerId): Send {
    if (c.ledger.sends.length === 0) budget.first();
    else if (c.ledger.sends.some((s) => s.phase === phase)) budget.extra();
    p.sending?.(
      c.r.id,
      worker,
      phase,
      c.ledger.sends.some((x) => x.phase === phase),
      c.version,
    );
    const s: Send = { phase, worker, outcome: 'pending' };
    c.ledger.sends.push(s);
    return s;
  }

  async function prefill(c: Course, ps: Candidate[]): Promise<void> {
    const hits = tree.hits(c.facts.blocks);
    const a = assignPrefill(
      { prompt: c.facts, candidates: ps, hits, model: modelFor(c.arm), now: w.now, random: w.random },
      o.placement,
    )!;
    note(reasons, a.reason);
    const n = reasons.get(a.reason)!;
    if (!['scored', 'explored', 'only'].includes(a.reason) && Number.isInteger(Math.log10(n)))
      w.log(4001, { reason: a.reason, times: n });
    const m = table.mark(a.worker.worker)!;
    c.assigned = a;
    c.sentAt = w.now();
    const s = enterSend(c, 'prefill', a.worker.worker);
    tree.insert(c.facts.blocks, a.worker.worker, w.now());
    const end = table.began(a.worker.worker, 'prefill', c.facts.tokens);
    const read = window.began();
    const patience = new AbortController();
    const dark = Math.max(2_000_000, 6_000_000 * (a.predictedTtft ?? 0.5));
    const cancel = c.kind.repeatable ? w.after(micros(dark), () => patience.abort()) : () => undefined;
    const x = await p.workers.prefill(m, c.job, AbortSignal.any([c.abort.signal, patience.signal]));
    cancel();
    end();
    read(x.tag === 'done' || c.abort.signal.aborted);
    if (x.tag === 'done' && handleFits(x.handle, c.job, m)) {
      s.outcome = 'done';
      c.handle = { h: x.handle, from: m };
      table.went(a.worker.worker);
      paces.record(
        a.worker.worker,
        c.facts.tokens - ((hits.get(a.worker.worker) ?? 0) * c.facts.tokens) / Math.max(1, c.facts.blocks.length),
        w.now() - c.sentAt,
        a.worker.running + a.worker.queued,
      );
      return;
    }
    s.outcome = x.tag === 'notStarted' ? 'notStarted' : 'unknown';
    c.tried.add(a.worker.worker);
    if (x.tag === 'notStarted' && (x.why === 'queue_full' || x.why === 'wrong_part')) return;
    if (!c.abort.signal.aborted) blame(c, a.worker.worker, x.tag === 'done' ? 'handle of another request' : x.why);
  }

  function blame(c: Course, worker: WorkerId, why: string): void {
    w.log(5103, { request: c.r.id, worker, why });
    table.failed(worker);
  }

  // True once the answer is whole. The requester sees nothing of a send that failed before its first byte.
  async function decode(c: Course, ds: Candidate[]): Promise<boolean> {
    const d = assignDecode(ds, w.random)!;
    const m = table.mark(d.worker)!;
    const s = enterSend(c, 'decode', d.worker);
    const end = table.began(d.worker, 'decode', c.facts.tokens + c.r.maxTokens);
    const patience = new AbortController();
    const cancel = c.kind.repeatable ? w.after(micros(3_000_000), () => patience.abort()) : () => undefined;
    function chunk(text: string): void | Promise<void> {
      if (c.abort.signal.aborted) return undefined;
      if (!c.ledger.firstByte) {
        c.ledger.firstByte = true;
        c.firstAt = w.now();
        cancel();
        learn(c);
      }
      c.chunks += 1;
      return c.reply.chunk(text);
    }
    const x = await p.workers.decode(m, c.job, c.handle!.h, chunk, AbortSignal.any([c.abort.signal, patience.signal]));
    cancel();
    end();
    if (x.tag === 'done') {
      s.outcome = 'done';
      table.went(d.worker);
      paceUs += 0.05 * (w.now() - c.arrived - paceUs);
      if (!c.abort.signal.aborted) c.reply.end(x.finish);
      w.log(5101, { request: c.r.id, kind: c.r.kind, us: w.now() - c.arrived });
      return true;
    }
    s.outcome = x.tag;
    if (x.tag === 'lapsed') return false;
    if (x.tag === 'notStarted' && (x.why === 'queue_full' || x.why === 'kv_full' || x.why === 'wrong_part')) {
      c.tried.add(d.worker);
      return false;
    }
    c.tried.add(d.worker);
    if (!c.abort.signal.aborted) blame(c, d.worker, x.why);
    return false;
  }

  function learn(c: Course): void {
    if (c.assigned === undefined || c.ledger.sends.length !== 2) return;
    samples.push({ features: c.assigned.featureRow, reward: -(c.firstAt - c.sentAt) / 1e6 });
    if (samples.length >= sampleBatchSize) flush();
  }

  function flush(): void {
    flushedAt = w.now();
    if (samples.length === 0) return;
    w.send(o.agent, {
      kind: 'Samples',
      from: o.router,
      count: samples.length,
      width: featureCount,
      rows: encodeSamples(samples, featureCount),
    });
    samples = [];
  }

  function count(rehearsal: string, c: Course, end: FailureKind | 'whole'): void {
    const stratum = `${c.r.tenant}/${c.r.kind}`;
    const k = `${rehearsal}/${c.arm}/${stratum}`;
    const a = arms.get(k) ?? { rehearsal, ...createCohortCounts(c.arm, stratum) };
    const failed = end !== 'whole';
    // From arrival, with the waiting here; whoever failed has waited its whole patience.
    const ttft = failed ? c.kind.patienceMs * 1000 : c.firstAt - c.arrived;
    const tokenTime = failed || c.chunks <= 1 ? undefined : (w.now() - c.firstAt) / (c.chunks - 1);
    countAnswer(a, {
      failed,
      logTtft: Math.log(Math.max(1, ttft)),
      logTokenTime: tokenTime === undefined ? undefined : Math.log(Math.max(1, tokenTime)),
    });
    arms.set(k, a);
    for (const old of arms.keys()) if (arms.size > 64 && !old.startsWith(rehearsal)) arms.delete(old);
  }

  function giveUp(r: Incoming, reply: Reply, f: Failure): void {
    w.log(5102, { request: r.id, kind: f.kind, tenant: r.tenant, of: r.kind });
    note(ends, f.kind);
    reply.fail(f);
  }

  function receive(m: Message): void {
    if (m.kind === 'ClaimAnswer') return claims.answer(m);
    if (m.kind !== 'Feed') return;
    for (const x of table.marks(m.workers)) {
      tree.removeWorker(x);
      paces.removeWorker(x);
    }
    table.reports(m.reports);
    const before = feed.applied();
    feed.take(m);
    if (feed.applied() !== before) tell();
  }

  // A router that stops says that it has applied all there will ever be: no change need wait for its tenure.
  function tell(applied: number = feed.applied()): void {
    if (w.now() - flushedAt > 5_000_000) flush();
    const t = budget.totals();
    w.send(o.agent, {
      kind: 'RouterState',
      router: o.router,
      http: o.http,
      asked: w.now(),
      applied,
      first: t.first,
      extra: t.extra,
      allowance: budget.granted(),
      arms: [...arms.values()],
      have: feed.have(),
    });
  }

  tell();
  const stopTelling = every(
    w,
    () => micros(100_000),
    () => tell(),
  );
  return {
    serve,
    receive,
    feed,
    table,
    figures: () => ({
      router: o.router,
      tenured: feed.tenured(),
      desiredVersion: feed.applied(),
      live: feed.record().live?.version,
      running: feed.record().running?.id,
      active,
      waiting: admission.waiting(),
      window: Math.round(window.size()),
      ends: Object.fromEntries(ends),
      placement: Object.fromEntries(reasons),
      ...budget.totals(),
      probes: budget.granted(),
      treeBlocks: tree.blockCount(),
    }),
    stopTaking: () => {
      taking = false;
    },
    active: () => active,
    stop: () => {
      stopTelling();
      admission.stop();
      tell(appliedAllVersions);
    },
  };
}
