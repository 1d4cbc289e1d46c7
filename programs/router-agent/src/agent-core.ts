// The router-agent without its sockets: membership, worker marks, news, reports and duties, put together.
// It feeds the router on its machine and speaks for it to the core.
import {
  appliedAll, every, micros, rendezvous, type Address, type DutyMark, type Entry, type Mark, type Message, type MessageOf, type Place, type World,
} from '@tansypost/inner-protocol';
import { checkDesiredState, needsApproval, type DesiredState, type Fault } from '@tansypost/desired-state';
import { claimKey } from '@tansypost/control-state';
import { createCandidate, type Candidate } from '@tansypost/duty';
import { createMarks, createViews, markStates } from '@tansypost/membership';
import { answerOperator, readRecord, emptyRecord, type AnswerKind, type Part, type RehearsalRecord, type VerdictOptions } from '@tansypost/rehearsal';
import * as E from 'fp-ts/lib/Either.js';
import { createAsker, type AskResult } from './ask.js';
import { createNews, type News } from './news.js';
import { createPartsDuty } from './parts-duty.js';
import { createRecordWriter } from './record-writer.js';
import { createRehearsalDuty } from './rehearsal-duty.js';
import { createReports, type FetchedReport } from './reports.js';
import { createTrainingDuty, type TrainerPort } from './training-duty.js';

export interface AgentOptions {
  readonly member: string;
  readonly self: Address;
  readonly zone: string;
  readonly router: Address;
  readonly routerHttp: string;
  readonly service: string;
  readonly seeds: readonly Address[];
  readonly slot: number;
  readonly born: number;
  readonly dutyTenure: number;
  readonly trainEvery: number;
  readonly shiftParts: boolean;
  readonly slice: number;
  readonly rehearsalLimit: number;
  readonly persisted: { readonly entries: readonly Entry[]; readonly marks: readonly Mark[]; readonly gen: number; readonly places: readonly Place[] };
  readonly verdict?: VerdictOptions;
  readonly ackPatience?: number;
  readonly shiftHold?: number;
  readonly shiftRest?: number;
}
export const agentDefaults = {
  dutyTenure: 3_000_000, trainEvery: 1000, shiftParts: true, slice: 0.1, rehearsalLimit: 300_000_000,
  persisted: { entries: [], marks: [], gen: 0, places: [] },
};
export interface AgentPorts {
  readonly fetchReport: (m: Mark) => Promise<FetchedReport | undefined>;
  readonly order: (m: Mark, epoch: number, part: Part | '') => Promise<boolean | undefined>;
  readonly trainer: TrainerPort;
  readonly save: (p: AgentOptions['persisted']) => void;
  readonly wall: () => number;
}
export interface TraceEvent {
  readonly at: number;
  readonly what: string;
  readonly key: string;
  readonly version: number;
}
export type Submitted =
  | { readonly answer: 'acknowledged'; readonly version: number; readonly change: string }
  | { readonly answer: 'refused'; readonly faults: readonly Fault[]; readonly change: string }
  | { readonly answer: 'lost the race'; readonly version: number; readonly change: string }
  | { readonly answer: 'outcome unknown'; readonly change: string };

export interface AgentCore {
  readonly receive: (m: Message, from: Address) => void;
  readonly platform: (ms: readonly Mark[]) => Promise<{ readonly fresh: Mark[]; readonly confirmed: boolean }>;
  readonly submit: (base: number, change: string, state: unknown) => Promise<Submitted>;
  readonly readDesired: () => Promise<AskResult>;
  readonly lookup: (change: string) => Promise<AskResult>;
  readonly rehearsals: () => RehearsalRecord;
  readonly decide: (id: string, word: 'approve' | 'reject') => Promise<AnswerKind | 'outcome_unknown'>;
  readonly members: () => Entry[];
  readonly marks: () => Mark[];
  readonly trace: (key: string, version: number) => TraceEvent[];
  readonly news: News;
  readonly holds: (duty: string) => number | undefined;
  readonly figures: () => Record<string, unknown>;
  readonly stop: () => void;
}
export const dutyNames = ['parts', 'training', 'rehearsals'] as const;

export function createAgentCore(w: World, o: AgentOptions, p: AgentPorts): AgentCore {
  let core: { gen: number; places: readonly Place[] } = { gen: o.persisted.gen, places: o.persisted.places };
  let router: MessageOf<'RouterState'> | undefined;
  let routerAt = -Infinity;
  let grants: { asked: number; version: number }[] = [];
  let grantedAt = -Infinity;
  // Until it knows of workers, or that its neighbours know of none either, the router may not decide.
  let warm = o.persisted.marks.length > 0;
  const confirmations = new Set<(confirmed: boolean) => void>();
  let traces: TraceEvent[] = [];
  const marks = createMarks();
  marks.take(o.persisted.marks);

  function heardCore(gen: number, ps: readonly Place[]): void {
    if (gen > core.gen && ps.length === 3) core = { gen, places: ps };
  }
  function tenured(): boolean {
    return w.now() - grantedAt < 5_000_000 && w.now() - routerAt < 2_000_000;
  }

  const candidates = new Map<string, Candidate>(dutyNames.map((d) => [d, createCandidate(w, {
    duty: d, member: o.member, self: o.self, slot: o.slot, tenure: o.dutyTenure, places: () => core,
    willing: () => w.now() - started > 1_000_000, won: () => { if (d === 'parts') parts.won(); }, lost: () => undefined,
  })]));
  const started = w.now();

  function duties(): DutyMark[] {
    return [...candidates].flatMap(([d, c]) => {
      const e = c.holds();
      return e === undefined ? [] : [{ duty: d, holder: o.member, address: o.self, epoch: e }];
    });
  }

  const views = createViews(w, {
    member: o.member, self: o.self, zone: o.zone, http: o.routerHttp, born: o.born, seeds: o.seeds, persisted: o.persisted.entries, size: 8,
    period: 300_000, forgetAfter: 2_500_000, tenured, core: () => core, duties, heardCore,
    heardDuty: (d) => candidates.get(d.duty)?.heard(d),
    save: (es) => p.save({ entries: es, marks: marks.all(), gen: core.gen, places: core.places }),
  });
  const asker = createAsker(w, o.self, () => core.places);
  const news = createNews(w, {
    self: o.self, member: o.member, service: o.service, zone: views.zone, places: () => core.places, heardCore,
    changed: (n) => {
      note('news', n.key, n.version);
      feed();
    },
    granted: (g) => {
      grants = [g];
      grantedAt = w.now();
      feed();
    },
  });
  const reports = createReports(w, {
    self: o.self, isHome: news.isHome, home: news.home, homes, subscribers: news.subscribers, workers: ready, fetch: p.fetchReport, changed: () => undefined,
  });
  function record(): Buffer | undefined {
    return news.get(`rehearsal/${o.service}`)?.value;
  }
  const writer = createRecordWriter(w, o.service, asker, (version, epoch, value) => news.learn({ key: `rehearsal/${o.service}`, epoch, version, value }));
  const parts = createPartsDuty(w, {
    holds: () => holds('parts'), record: () => record() ?? Buffer.alloc(0), workers: ready, reports: () => reports.all().filter((r) => r.active >= 0), writer, order: p.order,
    shift: o.shiftParts, slice: o.slice, approval, hold: o.shiftHold, rest: o.shiftRest,
  });
  const training = createTrainingDuty(w, {
    service: o.service, holds: () => holds('training'), record, asker, writer, trainer: p.trainer, every: o.trainEvery, slice: o.slice, approval,
  });
  const keeping = createRehearsalDuty(w, { holds: () => holds('rehearsals'), record, writer, timeLimit: o.rehearsalLimit, verdict: o.verdict });

  function holds(d: string): number | undefined {
    return candidates.get(d)?.holds();
  }
  function approval(): 'automatic' | 'operator' {
    const n = news.get(`desired/${o.service}`);
    return needsApproval(n === undefined ? undefined : (JSON.parse(n.value.toString()) as DesiredState)) ? 'operator' : 'automatic';
  }
  function ready(): Mark[] {
    return marks.all().filter((m) => m.state === 1);
  }
  function homes(): Address[] {
    const zones = new Map<string, Entry[]>();
    for (const e of [...views.live(), ...views.zone()]) zones.set(e.zone, [...(zones.get(e.zone) ?? []), e]);
    return [...zones.values()].map((es) => rendezvous(o.service, es, (x) => x.member)[0]!.address as Address);
  }
  function note(what: string, key: string, version: number): void {
    traces.push({ at: p.wall(), what, key, version });
    if (traces.length > 500) traces = traces.slice(-400);
  }

  function feed(): void {
    if (router === undefined) return;
    const at = new Map(router.have.map((h) => [h.key, h]));
    const out = news.all().filter((n) => {
      const h = at.get(n.key);
      return h === undefined || n.version > h.version || (n.version === h.version && n.epoch > h.epoch);
    });
    w.send(o.router, {
      kind: 'Feed', workers: marks.all(), reports: reports.all(), news: out, grants: warm ? grants : [],
      contact: views.contact(),
      others: views.live().filter((e) => e.tenured && e.http !== o.routerHttp).map((e) => e.http),
    });
  }

  function onRouterState(m: MessageOf<'RouterState'>): void {
    if (router?.router !== m.router) grants = [];
    if (m.applied !== appliedAll && router?.applied !== m.applied) note('applied', `desired/${o.service}`, m.applied);
    router = m;
    routerAt = w.now();
    news.routerAsks(m.router, m.asked, m.applied);
    reports.routerGrants(m.router, m.first, m.extra, m.allowance);
    feed();
  }

  function spread(ms: Mark[], but?: Address): void {
    if (ms.length === 0) return;
    for (const m of ms) w.log(3003, { worker: m.worker, incarnation: m.incarnation, state: markStates[m.state] });
    for (const a of views.neighbours()) if (a !== but) w.send(a, { kind: 'Marks', marks: ms });
    feed();
  }

  function toHolder(d: string, m: Message, self: () => void): void {
    const h = candidates.get(d)?.holder();
    if (h === undefined) return;
    if (h.address === o.self) self();
    else w.send(h.address as Address, m);
  }

  function tellArms(): void {
    if (router === undefined || router.arms.length === 0) return;
    const m: MessageOf<'Arms'> = { kind: 'Arms', from: router.router, arms: router.arms };
    toHolder('rehearsals', m, () => keeping.arms(m));
  }

  function receive(m: Message, from: Address): void {
    switch (m.kind) {
      case 'Shuffle': return views.receive(m);
      case 'Marks': {
        warm = true;
        spread(marks.take(m.marks), from);
        return w.send(from, { kind: 'MarksDigest', from: o.self, digest: marks.digest(), answer: false });
      }
      case 'MarksDigest': return onDigest(m);
      case 'Answer': return asker.answer(m);
      case 'News': return news.onNews(m);
      case 'Subscribe': return news.onSubscribe(m);
      case 'Tenures': return news.onTenures(m);
      case 'BallotVote': return candidates.get(m.duty)?.vote(m);
      case 'Reports': return reports.take(m);
      case 'Demand': return reports.demand(m);
      case 'RouterState': return onRouterState(m);
      case 'Samples': {
        if (from === o.router) return toHolder('training', m, () => training.samples(m));
        if (holds('training') !== undefined) training.samples(m);
        return undefined;
      }
      case 'Claim': return onClaim(m);
      case 'Arms': return keeping.arms(m);
      default: return undefined;
    }
  }

  function onDigest(m: MessageOf<'MarksDigest'>): void {
    if (m.digest === marks.digest()) {
      warm = true;
      if (confirmations.size > 0) for (const f of [...confirmations]) f(true);
      else if (m.answer) w.send(m.from as Address, { kind: 'MarksDigest', from: o.self, digest: marks.digest(), answer: false });
      return;
    }
    w.send(m.from as Address, { kind: 'Marks', marks: marks.all() });
    if (m.answer) w.send(m.from as Address, { kind: 'MarksDigest', from: o.self, digest: marks.digest(), answer: true });
  }

  // A claim is repeated until it is answered or its patience ends; the bucket forgives a holder's own repeat.
  function onClaim(m: MessageOf<'Claim'>): void {
    const value = Buffer.from(JSON.stringify({ op: m.op, key: m.key, holder: m.holder, request: m.request, ended: m.ended }));
    void asker.ask({ op: 'claim', key: claimKey(m.key), value, patience: 2_500_000 }).then((r) => {
      const known = r.value.toString();
      const status = r.status !== 'done' ? 'failed' : known === 'won' ? 'won' : 'taken';
      w.send(o.router, { kind: 'ClaimAnswer', id: m.id, status, known });
    });
  }

  // Takes marks from the platform and says whether a neighbour has confirmed that it holds them while this agent hears
  // at least half of its members; from a side that is cut off a mark does not reach the others, and the platform
  // should tell another agent too.
  function platform(ms: readonly Mark[]): Promise<{ fresh: Mark[]; confirmed: boolean }> {
    const fresh = marks.take(ms);
    warm = true;
    spread(fresh);
    if (fresh.length === 0) for (const a of views.neighbours().slice(0, 3)) w.send(a, { kind: 'MarksDigest', from: o.self, digest: marks.digest(), answer: true });
    return new Promise((done) => {
      const cancel = w.after(micros(600_000), () => end(false));
      function end(confirmed: boolean): void {
        cancel();
        confirmations.delete(end);
        done({ fresh, confirmed: confirmed && views.contact() });
      }
      confirmations.add(end);
    });
  }

  async function submit(base: number, change: string, state: unknown): Promise<Submitted> {
    const d = checkDesiredState(state);
    if (E.isLeft(d)) return { answer: 'refused', faults: d.left, change };
    const r = await asker.ask({
      op: 'write', key: `desired/${o.service}`, change, base, value: Buffer.from(JSON.stringify(d.right)), patience: o.ackPatience ?? 25_000_000,
    });
    if (r.status === 'done') return { answer: 'acknowledged', version: r.version, change };
    if (r.status === 'lost') return { answer: 'lost the race', version: r.version, change };
    return { answer: 'outcome unknown', change };
  }

  async function decide(id: string, word: 'approve' | 'reject'): Promise<AnswerKind | 'outcome_unknown'> {
    let kind = 'outcome_unknown' as AnswerKind | 'outcome_unknown';
    const done = await writer.change((r) => {
      const a = answerOperator(r, id, word);
      kind = a.kind;
      return a.kind === 'taken' ? a.record : undefined;
    }, () => true);
    return done === undefined && kind === 'taken' ? 'outcome_unknown' : kind;
  }

  const stops = [
    every(w, () => micros(500_000), () => {
      const to = views.neighbours()[0];
      if (to !== undefined) w.send(to, { kind: 'MarksDigest', from: o.self, digest: marks.digest(), answer: true });
    }),
    every(w, () => micros(500_000), () => {
      tellArms();
      parts.tick();
      training.tick();
      keeping.tick();
    }),
  ];
  return {
    receive, platform, submit, decide, news, holds,
    readDesired: () => asker.ask({ op: 'read', key: `desired/${o.service}`, patience: 8_000_000 }),
    lookup: (change) => asker.ask({ op: 'lookup', key: `desired/${o.service}`, change, patience: 8_000_000 }),
    rehearsals: () => { const b = record(); return b === undefined ? emptyRecord : readRecord(b); },
    members: () => [...views.live()],
    marks: () => marks.all(),
    trace: (k, v) => traces.filter((t) => t.key === k && t.version === v),
    figures: () => ({
      member: o.member, zone: o.zone, home: news.home(), isHome: news.isHome(), core, members: views.live().length, duties: duties(),
      training: training.figures(), orders: parts.orders(), probes: reports.probes(), routerHeard: w.now() - routerAt < 2_000_000,
    }),
    stop: () => { stops.forEach((s) => s()); views.stop(); news.stop(); reports.stop(); for (const c of candidates.values()) c.stop(); },
  };
}
