/**
 * The router-agent without its sockets: membership, worker marks, news, reports and duties, put together.
 * It feeds the router on its machine and speaks for it to the core.
 */
import {
  appliedAllVersions,
  every,
  micros,
  rendezvous,
  type Address,
  type SingletonRoleEntry,
  type MemberEntry,
  type WorkerStateEntry,
  type Message,
  type MessageOf,
  type ReplicaEntry,
  type World,
} from '@tansypost/inner-protocol';
import { checkDesiredState, needsApproval, type DesiredState, type ConfigurationFault } from '@tansypost/desired-state';
import { claimBucketKey } from '@tansypost/control-state';
import { createCandidate, type Candidate } from '@tansypost/duty';
import {
  createRecordWriter,
  createRehearsalController,
  createTrainingController,
  type ControlStateResponse,
  type ModelTrainer,
} from '@tansypost/learning';
import { createWorkerStateTable, createGossipMembership, workerStates } from '@tansypost/membership';
import {
  applyOperatorDecision,
  decodeRehearsalRecord,
  emptyRecord,
  type OperatorDecisionKind,
  type WorkerStage,
  type RehearsalRecord,
  type VerdictOptions,
} from '@tansypost/rehearsal';
import * as E from 'fp-ts/lib/Either.js';
import { createAsker } from './ask.js';
import { createNews, type News } from './news.js';
import { createPartsDuty } from './parts-duty.js';
import { createReports, type FetchedReport } from './reports.js';

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
  readonly persisted: {
    readonly entries: readonly MemberEntry[];
    readonly marks: readonly WorkerStateEntry[];
    readonly membershipEpoch: number;
    readonly replicas: readonly ReplicaEntry[];
  };
  readonly verdict?: VerdictOptions;
  readonly ackPatience?: number;
  readonly shiftHold?: number;
  readonly shiftRest?: number;
}
export const agentDefaults = {
  dutyTenure: 3_000_000,
  trainEvery: 1000,
  shiftParts: true,
  slice: 0.1,
  rehearsalLimit: 600_000_000,
  persisted: { entries: [], marks: [], membershipEpoch: 0, replicas: [] },
};
export interface AgentPorts {
  readonly fetchReport: (m: WorkerStateEntry) => Promise<FetchedReport | undefined>;
  readonly order: (m: WorkerStateEntry, epoch: number, part: WorkerStage | '') => Promise<boolean | undefined>;
  readonly trainer: ModelTrainer;
  readonly save: (p: AgentOptions['persisted']) => void;
  readonly wall: () => number;
  // Told of each change that this agent sees.
  readonly changed?: (e: TraceEvent) => void;
}
export interface TraceEvent {
  readonly at: number;
  readonly what: string;
  readonly key: string;
  readonly version: number;
}
export type Submitted =
  | { readonly answer: 'acknowledged'; readonly version: number; readonly change: string }
  | { readonly answer: 'refused'; readonly faults: readonly ConfigurationFault[]; readonly change: string }
  | { readonly answer: 'lost the race'; readonly version: number; readonly change: string }
  | { readonly answer: 'outcome unknown'; readonly change: string };

export interface AgentCore {
  readonly receive: (m: Message, from: Address) => void;
  readonly platform: (
    ms: readonly WorkerStateEntry[],
  ) => Promise<{ readonly fresh: WorkerStateEntry[]; readonly confirmed: boolean }>;
  readonly submit: (base: number, change: string, state: unknown) => Promise<Submitted>;
  readonly readDesired: () => Promise<ControlStateResponse>;
  readonly lookup: (change: string) => Promise<ControlStateResponse>;
  readonly rehearsals: () => RehearsalRecord;
  readonly decide: (id: string, word: 'approve' | 'reject') => Promise<OperatorDecisionKind | 'outcome_unknown'>;
  readonly members: () => MemberEntry[];
  readonly marks: () => WorkerStateEntry[];
  readonly trace: (key: string, version: number) => TraceEvent[];
  readonly news: News;
  readonly holds: (duty: string) => number | undefined;
  readonly figures: () => Record<string, unknown>;
  readonly stop: () => void;
}
export const dutyNames = ['parts', 'training', 'rehearsals'] as const;

export function createAgentCore(w: World, o: AgentOptions, p: AgentPorts): AgentCore {
  let core: { membershipEpoch: number; replicas: readonly ReplicaEntry[] } = {
    membershipEpoch: o.persisted.membershipEpoch,
    replicas: o.persisted.replicas,
  };
  let router: MessageOf<'RouterState'> | undefined;
  let routerAt = -Infinity;
  let grants: { asked: number; version: number }[] = [];
  let grantedAt = -Infinity;
  // Marks kept on disk are as old as the stop; so the router may not decide until this agent has compared its marks with
  // a member that is itself current, or, where all have just started, with half of those it hears of.
  let warm = false;
  const met = new Set<string>();
  const confirmations = new Set<(from: string) => void>();
  let traces: TraceEvent[] = [];
  const marks = createWorkerStateTable();
  marks.merge(o.persisted.marks);

  function heardCore(membershipEpoch: number, ps: readonly ReplicaEntry[]): void {
    if (membershipEpoch > core.membershipEpoch && ps.length === 3) core = { membershipEpoch, replicas: ps };
  }
  function tenured(): boolean {
    return w.now() - grantedAt < 5_000_000 && w.now() - routerAt < 2_000_000;
  }

  const candidates = new Map<string, Candidate>(
    dutyNames.map((d) => [
      d,
      createCandidate(w, {
        role: d,
        member: o.member,
        self: o.self,
        slot: o.slot,
        leaseDuration: o.dutyTenure,
        replicas: () => core,
        isWilling: () => w.now() - started > 1_000_000,
        onElected: () => {
          if (d === 'parts') parts.won();
        },
        onLeaseLost: () => undefined,
      }),
    ]),
  );
  const started = w.now();

  function duties(): SingletonRoleEntry[] {
    return [...candidates].flatMap(([d, c]) => {
      const e = c.heldEpoch();
      return e === undefined ? [] : [{ duty: d, holder: o.member, address: o.self, epoch: e }];
    });
  }

  const views = createGossipMembership(w, {
    member: o.member,
    self: o.self,
    zone: o.zone,
    routerHttpAddress: o.routerHttp,
    incarnation: o.born,
    seeds: o.seeds,
    persisted: o.persisted.entries,
    viewSize: 8,
    exchangeInterval: 300_000,
    failureTimeout: 2_500_000,
    holdsFeedLease: tenured,
    controlMembership: () => core,
    heldSingletonRoles: duties,
    onControlMembership: heardCore,
    onSingletonRole: (d) => candidates.get(d.duty)?.observeLeader(d),
    save,
  });
  function save(es: readonly MemberEntry[]): void {
    p.save({ entries: es, marks: marks.all(), membershipEpoch: core.membershipEpoch, replicas: core.replicas });
  }
  const asker = createAsker(w, o.self, () => core.replicas);
  const news = createNews(w, {
    self: o.self,
    member: o.member,
    service: o.service,
    zone: views.zoneMembers,
    replicas: () => core.replicas,
    heardCore,
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
    self: o.self,
    isHome: news.isHome,
    home: news.home,
    homes,
    subscribers: news.subscribers,
    workers: ready,
    fetch: p.fetchReport,
    changed: () => undefined,
  });
  function record(): Buffer | undefined {
    return news.get(`rehearsal/${o.service}`)?.value;
  }
  const writer = createRecordWriter(w, o.service, asker, (version, epoch, value) =>
    news.learn({ key: `rehearsal/${o.service}`, epoch, version, value }),
  );
  const parts = createPartsDuty(w, {
    holds: () => holds('parts'),
    record: () => record() ?? Buffer.alloc(0),
    workers: ready,
    reports: () => reports.all().filter((r) => r.active >= 0),
    writer,
    order: p.order,
    shift: o.shiftParts,
    slice: o.slice,
    approval,
    hold: o.shiftHold,
    rest: o.shiftRest,
  });
  const training = createTrainingController(w, {
    service: o.service,
    heldEpoch: () => holds('training'),
    record,
    controlClient: asker,
    writer,
    trainer: p.trainer,
    samplesPerTraining: o.trainEvery,
    treatmentShare: o.slice,
    approval,
  });
  const keeping = createRehearsalController(w, {
    heldEpoch: () => holds('rehearsals'),
    record,
    writer,
    timeLimitUs: o.rehearsalLimit,
    verdict: o.verdict,
  });

  function holds(d: string): number | undefined {
    return candidates.get(d)?.heldEpoch();
  }
  function approval(): 'automatic' | 'operator' {
    const n = news.get(`desired/${o.service}`);
    return needsApproval(n === undefined ? undefined : (JSON.parse(n.value.toString()) as DesiredState))
      ? 'operator'
      : 'automatic';
  }
  function ready(): WorkerStateEntry[] {
    return marks.all().filter((m) => m.state === 1);
  }
  function homes(): Address[] {
    const zones = new Map<string, MemberEntry[]>();
    for (const e of [...views.liveMembers(), ...views.zoneMembers()])
      zones.set(e.zone, [...(zones.get(e.zone) ?? []), e]);
    return [...zones.values()].map((es) => rendezvous(o.service, es, (x) => x.member)[0]!.address as Address);
  }
  function note(what: string, key: string, version: number): void {
    traces.push({ at: p.wall(), what, key, version });
    if (!key.startsWith('blob/')) p.changed?.(traces.at(-1)!);
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
      kind: 'Feed',
      workers: marks.all(),
      reports: reports.all(),
      news: out,
      grants: warm ? grants : [],
      contact: views.isInContact(),
      others: views
        .liveMembers()
        .filter((e) => e.tenured && e.http !== o.routerHttp)
        .map((e) => e.http),
    });
  }

  function onRouterState(m: MessageOf<'RouterState'>): void {
    if (router?.router !== m.router) grants = [];
    if (m.applied !== appliedAllVersions && router?.applied !== m.applied)
      note('applied', `desired/${o.service}`, m.applied);
    router = m;
    routerAt = w.now();
    news.routerAsks(m.router, m.asked, m.applied);
    reports.routerGrants(m.router, m.first, m.extra, m.allowance);
    feed();
  }

  function spread(ms: WorkerStateEntry[], but?: Address): void {
    if (ms.length === 0) return;
    for (const m of ms) w.log(3003, { worker: m.worker, incarnation: m.incarnation, state: workerStates[m.state] });
    for (const a of views.neighbours())
      if (a !== but) w.send(a, { kind: 'Marks', marks: ms, whole: false, warm: false });
    save(views.liveMembers());
    feed();
  }

  function current(): boolean {
    return warm && views.isInContact();
  }
  function digest(answer: boolean): MessageOf<'MarksDigest'> {
    return { kind: 'MarksDigest', from: o.self, digest: marks.digest(), answer, warm: current() };
  }
  function compared(from: string, theirs: boolean): void {
    if (warm) return;
    met.add(from);
    const live = views.liveMembers();
    if (theirs || (w.now() - started > 1_500_000 && 2 * live.filter((e) => met.has(e.address)).length >= live.length))
      warm = true;
    if (warm) feed();
  }
  // While cold it asks all its neighbours. A fleet of one agent has nobody to compare with.
  function warmUp(): void {
    if (warm) return;
    for (const a of views.neighbours()) w.send(a, digest(true));
    if (
      w.now() - started > 3_000_000 &&
      views.liveMembers().length === 0 &&
      o.persisted.entries.length === 0 &&
      marks.all().length > 0
    )
      warm = true;
  }

  function toHolder(d: string, m: Message, self: () => void): void {
    const h = candidates.get(d)?.leader();
    if (h === undefined) return;
    if (h.address === o.self) self();
    else w.send(h.address as Address, m);
  }

  function tellArms(): void {
    if (router === undefined || router.arms.length === 0) return;
    const m: MessageOf<'Arms'> = { kind: 'Arms', from: router.router, arms: router.arms };
    toHolder('rehearsals', m, () => keeping.recordCohorts(m));
  }

  function receive(m: Message, from: Address): void {
    switch (m.kind) {
      case 'Shuffle':
        return views.receive(m);
      case 'Marks': {
        spread(marks.merge(m.marks), from);
        if (m.whole) compared(from, m.warm);
        return w.send(from, digest(false));
      }
      case 'MarksDigest':
        return onDigest(m);
      case 'Answer':
        return asker.handleAnswer(m);
      case 'News':
        return news.onNews(m);
      case 'Subscribe':
        return news.onSubscribe(m);
      case 'Leases':
        return news.onTenures(m);
      case 'BallotVote':
        return candidates.get(m.duty)?.receiveVote(m);
      case 'Reports':
        return reports.take(m);
      case 'Demand':
        return reports.demand(m);
      case 'RouterState':
        return onRouterState(m);
      case 'Samples': {
        if (from === o.router) return toHolder('training', m, () => training.addSamples(m));
        if (holds('training') !== undefined) training.addSamples(m);
        return undefined;
      }
      case 'Claim':
        return onClaim(m);
      case 'Arms':
        return keeping.recordCohorts(m);
      default:
        return undefined;
    }
  }

  function onDigest(m: MessageOf<'MarksDigest'>): void {
    if (m.digest === marks.digest()) {
      compared(m.from, m.warm);
      for (const f of [...confirmations]) f(m.from);
      if (m.answer) w.send(m.from as Address, digest(false));
      return;
    }
    w.send(m.from as Address, { kind: 'Marks', marks: marks.all(), whole: true, warm: current() });
    if (m.answer) w.send(m.from as Address, digest(true));
  }

  // A claim is repeated until it is answered or its patience ends; the bucket forgives a holder's own repeat.
  function onClaim(m: MessageOf<'Claim'>): void {
    const value = Buffer.from(
      JSON.stringify({ op: m.op, key: m.key, holder: m.holder, request: m.request, ended: m.ended }),
    );
    void asker.request({ op: 'claim', key: claimBucketKey(m.key), value, timeoutUs: 2_500_000 }).then((r) => {
      const known = r.value.toString();
      const status = r.status !== 'done' ? 'failed' : known === 'won' ? 'won' : 'taken';
      w.send(o.router, { kind: 'ClaimAnswer', id: m.id, status, known });
    });
  }

  // Takes marks from the platform and says whether they are sure to govern: half of all members say after it that they
  // hold them, and a majority of the core answers after it. Whoever else may go on serving in a cut hears one of the two,
  // so a side that has both has all of them. A side that lacks one keeps the marks and passes them on, but the
  // platform should tell another agent too.
  function platform(ms: readonly WorkerStateEntry[]): Promise<{ fresh: WorkerStateEntry[]; confirmed: boolean }> {
    const fresh = marks.merge(ms);
    spread(fresh);
    for (const e of views.liveMembers()) w.send(e.address as Address, digest(true));
    return new Promise((done) => {
      const holders = new Set<string>();
      let core = false;
      const cancel = w.after(micros(600_000), () => end(false));
      function end(confirmed: boolean): void {
        cancel();
        confirmations.delete(holds);
        done({ fresh, confirmed });
      }
      function look(): void {
        if (core && 2 * (holders.size + 1) > views.recentCount()) end(true);
      }
      function holds(from: string): void {
        holders.add(from);
        look();
      }
      confirmations.add(holds);
      void asker.request({ op: 'read', key: `desired/${o.service}`, timeoutUs: 550_000 }).then((r) => {
        core = r.status === 'value';
        look();
      });
    });
  }

  async function submit(base: number, change: string, state: unknown): Promise<Submitted> {
    const d = checkDesiredState(state);
    if (E.isLeft(d)) return { answer: 'refused', faults: d.left, change };
    const r = await asker.request({
      op: 'write',
      key: `desired/${o.service}`,
      change,
      base,
      value: Buffer.from(JSON.stringify(d.right)),
      timeoutUs: o.ackPatience ?? 25_000_000,
    });
    if (r.status === 'done') return { answer: 'acknowledged', version: r.version, change };
    if (r.status === 'lost') return { answer: 'lost the race', version: r.version, change };
    if (r.status === 'reused') {
      const why = `this id stands for version ${r.version}, which holds another state; submit under a new id`;
      return { answer: 'refused', faults: [{ at: '/change', why }], change };
    }
    return { answer: 'outcome unknown', change };
  }

  async function decide(id: string, word: 'approve' | 'reject'): Promise<OperatorDecisionKind | 'outcome_unknown'> {
    let kind = 'outcome_unknown' as OperatorDecisionKind | 'outcome_unknown';
    const done = await writer.update(
      (r) => {
        const a = applyOperatorDecision(r, id, word);
        kind = a.kind;
        return a.kind === 'taken' ? a.record : undefined;
      },
      () => true,
    );
    return done === undefined && kind === 'taken' ? 'outcome_unknown' : kind;
  }

  const stops = [
    every(
      w,
      () => micros(500_000),
      () => {
        const to = views.neighbours()[0];
        if (to !== undefined) w.send(to, digest(true));
      },
    ),
    every(w, () => micros(100_000), warmUp),
    every(
      w,
      () => micros(500_000),
      () => {
        tellArms();
        parts.tick();
        training.tick();
        keeping.tick();
      },
    ),
  ];
  return {
    receive,
    platform,
    submit,
    decide,
    news,
    holds,
    readDesired: () => asker.request({ op: 'read', key: `desired/${o.service}`, timeoutUs: 8_000_000 }),
    lookup: (change) => asker.request({ op: 'lookup', key: `desired/${o.service}`, change, timeoutUs: 8_000_000 }),
    rehearsals: () => {
      const b = record();
      return b === undefined ? emptyRecord : decodeRehearsalRecord(b);
    },
    members: () => [...views.liveMembers()],
    marks: () => marks.all(),
    trace: (k, v) => traces.filter((t) => t.key === k && t.version === v),
    figures: () => ({
      member: o.member,
      zone: o.zone,
      home: news.home(),
      isHome: news.isHome(),
      core,
      members: views.liveMembers().length,
      duties: duties(),
      training: training.metrics(),
      orders: parts.orders(),
      probes: reports.probes(),
      routerHeard: w.now() - routerAt < 2_000_000,
    }),
    stop: () => {
      stops.forEach((s) => s());
      views.stop();
      news.stop();
      reports.stop();
      for (const c of candidates.values()) c.stop();
    },
  };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  function bench(
    marks: readonly WorkerStateEntry[],
    entries: readonly MemberEntry[],
  ): {
    agent: AgentCore;
    step: (us: number) => void;
    granted: () => boolean;
    tell: (m: Message, from: string) => void;
  } {
    let t = 0;
    let timers: { at: number; f: () => void }[] = [];
    let feeds: MessageOf<'Feed'>[] = [];
    const replicas = [0, 1, 2].map((slot) => ({ slot, address: `keeper${slot}:1`, disk: `d${slot}` }));
    const agent = createAgentCore(
      {
        now: () => micros(t),
        random: () => 0.3,
        log: () => undefined,
        send: (_to, m) => {
          if (m.kind === 'Feed') feeds.push(m);
        },
        after: (d, f) => {
          const x = { at: t + d, f };
          timers.push(x);
          return () => {
            timers = timers.filter((y) => y !== x);
          };
        },
      },
      {
        ...agentDefaults,
        member: 'a1',
        self: 'a1:1' as Address,
        zone: 'z',
        router: 'r1:1' as Address,
        routerHttp: 'r1',
        service: 'main',
        seeds: [],
        slot: 1,
        born: 9,
        persisted: { entries, marks, membershipEpoch: 1, replicas },
      },
      {
        fetchReport: async () => undefined,
        order: async () => undefined,
        trainer: { add: () => undefined, train: async () => Buffer.alloc(0) },
        save: () => undefined,
        wall: () => t,
      },
    );
    function step(us: number): void {
      const end = t + us;
      for (;;) {
        const n = timers.filter((x) => x.at <= end).sort((p, q) => p.at - q.at)[0];
        if (n === undefined) break;
        timers = timers.filter((x) => x !== n);
        t = n.at;
        n.f();
      }
      t = end;
    }
    function tell(m: Message, from: string): void {
      agent.receive(m, from as Address);
    }
    // Asks for a tenure, is granted it by the core, and looks whether the router is let have it.
    function granted(): boolean {
      tell(
        {
          kind: 'RouterState',
          router: 'r1#1',
          http: 'r1',
          asked: t,
          applied: 1,
          first: 0,
          extra: 0,
          allowance: 0,
          arms: [],
          have: [],
        },
        'r1:1',
      );
      tell({ kind: 'Leases', grants: [{ router: 'r1#1', asked: t, version: 1 }] }, 'keeper0:1');
      const is = feeds.at(-1)!.grants.length > 0;
      feeds = [];
      return is;
    }
    return { agent, step, granted, tell };
  }
  const kept: WorkerStateEntry = { worker: 'w', incarnation: 1, state: 1, address: 'w:1' };
  function entry(member: string, beat: number): MemberEntry {
    return { member, address: `${member}:1`, zone: 'z', born: 1, beat, http: member, tenured: true };
  }
  function shuffle(beat: number): Message {
    return {
      kind: 'Shuffle',
      answer: false,
      from: 'a2:1',
      entries: [entry('a2', beat), entry('a3', beat)],
      membershipEpoch: 1,
      replicas: [],
      duties: [],
    };
  }
  it('lets its router decide on marks from its disk only once a member that is current has been compared with', () => {
    const b = bench([kept], [entry('a2', 0), entry('a3', 0)]);
    b.step(200_000);
    expect(b.granted()).toBe(false);
    b.tell(shuffle(1), 'a2:1');
    b.step(100_000);
    expect(b.granted()).toBe(false);
    b.tell({ kind: 'Marks', marks: [{ ...kept, worker: 'v' }], whole: false, warm: true }, 'a2:1');
    b.tell({ kind: 'MarksDigest', from: 'a2:1', digest: 'another', answer: false, warm: true }, 'a2:1');
    expect(b.granted()).toBe(false);
    b.tell({ kind: 'Marks', marks: [{ ...kept, state: 2 }], whole: true, warm: true }, 'a2:1');
    expect(b.granted()).toBe(true);
    expect(b.agent.marks().find((m) => m.worker === 'w')!.state).toBe(2);
  });
  it('serves after all agents have started together, and as the only agent there is', () => {
    const b = bench([kept], [entry('a2', 0), entry('a3', 0)]);
    b.tell(shuffle(1), 'a2:1');
    b.step(1_600_000);
    b.tell(shuffle(2), 'a2:1');
    expect(b.granted()).toBe(false);
    b.tell({ kind: 'Marks', marks: [kept], whole: true, warm: false }, 'a2:1');
    expect(b.granted()).toBe(true);
    const lone = bench([kept], []);
    lone.step(3_200_000);
    expect(lone.granted()).toBe(true);
  });
}
