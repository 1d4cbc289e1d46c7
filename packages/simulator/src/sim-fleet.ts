/**
 * A whole simulated fleet of a deployment: the cores of all programs, requesters, operators and the platform, in
 * virtual time. `runSim` runs one seed to its end-of-day read-back and gives the history.
 */
import * as E from 'fp-ts/lib/Either.js';
import { address, digest, createSeededRandom, type Address } from '@tansypost/inner-protocol';
import { readJournal } from '@tansypost/control-state';
import {
  createTrainer,
  encodeModel,
  featureNames,
  placementDefaults,
  trainingDefaults,
  type Model,
} from '@tansypost/placement';
import { createControlNodeHost, type OpenDisk } from '@tansypost/control-node';
import {
  agentDefaults,
  createAgentCore,
  singletonRoles,
  type AgentCore,
  type AgentOptions,
} from '@tansypost/router-agent';
import {
  createRouterCore,
  failureKinds,
  routerDefaults,
  type FailureKind,
  type IncomingRequest,
  type ResponseWriter,
  type RouterCore,
} from '@tansypost/request-router';
import {
  createTraffic,
  steadyMix,
  oscillatingMix,
  buildDesiredState,
  type TestRequest,
  type Deployment,
} from '@tansypost/requester-stand-in';
import { decodeRehearsalRecord, type VerdictOptions } from '@tansypost/rehearsal';
import { classifyAnswer } from '@tansypost/worker-stand-in';
import { createEngine, type Engine } from './engine.js';
import { newHistory, type History, type RequestSeen } from './history.js';
import { createNetwork, type Network } from './network.js';
import {
  createSimProcess,
  killProcess,
  deliver,
  createProcessWorld,
  resumeProcess,
  type SimProcess,
} from './process.js';
import { createSimDisk, type SimDisk } from './sim-disk.js';
import { createSimWorkers, type SimWorker, type SimWorkers } from './sim-workers.js';
import type { SimFault } from './faults.js';

export interface SimOptions {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly span: number;
  readonly calm: number;
  readonly rate: number;
  readonly faults: readonly SimFault[];
  readonly policy?: 'lodestar' | 'heuristic' | 'least';
  readonly paces?: readonly number[];
  readonly trainEvery?: number;
  readonly swing?: number;
  readonly keepLogs?: boolean;
  readonly breakIt?: (n: Network) => void;
  readonly warm?: number;
  readonly trainer?: Partial<typeof trainingDefaults>;
  readonly shiftParts?: boolean;
  readonly shiftHold?: number;
  readonly shiftRest?: number;
  readonly slice?: number;
  readonly verdict?: VerdictOptions;
  readonly rehearsalLimit?: number;
  readonly plain?: boolean;
  readonly approval?: 'operator';
  // Spoils each trained model: turned round, it prefers the worst worker; as a herd, all go to the workers that it holds
  // to be fast, which is good for a few requests and bad for all.
  readonly sabotage?: 'turned' | 'herd';
  // The feed tenure in seconds; shorter than the faults in every second seed, so that it runs out under them.
  readonly tenure?: number;
  // The core machine that the closing fault takes for good, before the read-back.
  readonly closing?: number;
}

interface Node {
  readonly proc: SimProcess;
  readonly start: () => void;
  stop: () => void;
  running: boolean;
}
interface AgentNode extends Node {
  address: string;
  // The three seeds in its boot settings.
  seeds: readonly Address[];
  core: AgentCore | undefined;
  persisted: AgentOptions['persisted'];
}
interface RouterNode extends Node {
  // It no longer takes connections.
  closed: boolean;
  core: RouterCore | undefined;
}
interface ControlNodeProcess extends Node {
  disk: SimDisk;
  address: string;
}

export interface Sim {
  readonly engine: Engine;
  readonly history: History;
  readonly network: Network;
  readonly workers: SimWorkers;
  readonly routers: RouterNode[];
  readonly agents: AgentNode[];
  readonly run: () => Promise<History>;
}

function spoiled(m: Model, how: 'turned' | 'herd'): Model {
  const { weights, biases } = m.predictor;
  const last = weights.length - 1;
  if (how === 'turned') {
    return {
      ...m,
      predictor: {
        ...m.predictor,
        weights: weights.map((x, k) => (k === last ? x.map((y) => -y) : x)),
        biases: biases.map((x, k) => (k === last ? x.map((y) => -y) : x)),
      },
    };
  }
  const fast = featureNames.indexOf('classFast');
  const low = new Float32Array(m.scaling.low.length).fill(-1e9);
  const high = new Float32Array(m.scaling.high.length).fill(1e9);
  return {
    ...m,
    scaling: { ...m.scaling, low, high },
    predictor: {
      ...m.predictor,
      biases: biases.map((x) => new Float32Array(x.length)),
      weights: weights.map((x, k) => {
        const w = new Float32Array(x.length);
        w[k === 0 ? fast * m.predictor.sizes[1]! : 0] = k === last ? -1 : 1;
        return w;
      }),
    },
  };
}

// What operators do is no fault, and these faults stand until they heal; the others are over in a moment or mend themselves.
const operators = new Set<SimFault['do']>([
  'submit',
  'race',
  'storm',
  'refused',
  'crowd',
  'swing',
  'worker-release',
  'drain',
  'clock-jump',
]);
const lasting = new Set<SimFault['do']>([
  'kill',
  'freeze',
  'isolate',
  'one-way',
  'split',
  'disk-stall',
  'disk-slow',
  'disk-full',
  'worker-kill',
  'worker-dark',
  'worker-freeze',
  'worker-slow-link',
  'seeds-swapped',
  'empty',
  'replace-core',
  'mass-kill',
  'core-kill',
  'machine-kill',
  'machine-lost',
  'machine-freeze',
  'seed-replaced',
  'link-one-way',
  'core-split',
  'disk-damage',
]);

function s(x: number): number {
  return Math.round(x * 1e6);
}

export function createSim(o: SimOptions): Sim {
  const d = o.deployment;
  const r = createSeededRandom(o.seed * 2654435761 + 17);
  const e = createEngine();
  const net = createNetwork(e, createSeededRandom(o.seed ^ 0x9e3779b9));
  const h = newHistory();
  const workers = createSimWorkers(
    e,
    net,
    h,
    createSeededRandom(o.seed ^ 0x51ed270b),
    d.workers,
    o.paces ?? [14_000, 9000, 6000, 12_000],
  );
  function zoneOf(i: number): string {
    return `z${i % d.zones}`;
  }
  h.zoneOf = (x) => zoneOf(Number(x.replace(/\D/g, '')));
  const seedsAt: Address[] = [0, 1, 2].map((i) => address(`agent${i}:1`));
  const coreAt: string[] = [0, 1, 2].map((i) => `keeper${i}:1`);
  const wallJump = { by: 0 };
  let rate = o.rate;
  let swing = o.swing;
  const tenure = s(o.tenure ?? (o.seed % 2 === 0 ? 3 : 10));
  let crashOnAck = 0;
  const loseOnAck: ControlNodeProcess[] = [];
  let traffic = createTraffic(d, o.seed, swing === undefined ? steadyMix : oscillatingMix(swing));
  let over = false;
  let swings = 0;
  const span = s(o.span);
  const total = s(o.span + o.calm);

  function log(who: string): (event: number, fields: Record<string, unknown>) => void {
    return function note(event, fields) {
      if (event === 5002) h.untenured.push({ at: e.now(), router: who });
      if (event === 5102)
        h.gaveUp.push({ at: e.now(), request: String(fields['request']), router: who, kind: String(fields['kind']) });
      if (o.keepLogs === true) h.logs.push({ at: e.now(), who, event, fields });
    };
  }
  function world(p: SimProcess, a: string): ReturnType<typeof createProcessWorld> {
    return createProcessWorld(e, p, r, (to, m) => net.send(p, a, to, m), log(p.name));
  }

  // The core places.
  const keepers: ControlNodeProcess[] = coreAt.map((a, slot) => keeper(`keeper${slot}`, slot, a));
  function keeper(name: string, slot: number, a: string): ControlNodeProcess {
    const proc = createSimProcess(name, `m${slot}`);
    const n: ControlNodeProcess = {
      proc,
      disk: createSimDisk(e, r),
      address: a,
      running: false,
      start,
      stop: () => undefined,
    };
    net.add(a, proc);
    function start(): void {
      proc.alive = true;
      const host = createControlNodeHost(world(proc, a), {
        slot,
        self: address(a),
        bootstrapMembers: coreAt.map((x, i) => address(i === slot ? a : x)),
        seeds: seedsAt,
        routerLeaseUs: tenure,
        roleLeaseUs: 3_000_000,
        compactAboveBytes: 100_000,
        antiEntropyIntervalUs: 2_000_000,
        newDiskId: () => Math.floor(r() * 2 ** 48).toString(36),
        open,
      });
      proc.receive = host.receive;
      n.stop = () => void host.stop();
      void host.start();
      n.running = true;
    }
    // As the file disk does: a damaged file is put aside, and after a failure all that is found is written anew.
    async function open(afresh: boolean): Promise<E.Either<Error, OpenDisk>> {
      if (afresh) n.disk.crash();
      const f = readJournal(n.disk.bytes());
      if (E.isLeft(f)) n.disk.wipe();
      else n.disk.truncate(f.right.validBytes);
      const found = E.isLeft(f) ? [] : f.right.records;
      const disk = n.disk.open(proc);
      const err = afresh ? await new Promise<Error | undefined>((ok) => disk.rewrite(found, ok)) : undefined;
      return err === undefined
        ? E.right({
            disk,
            storedRecords: found,
            truncatedBytes: 0,
            ...(E.isLeft(f) ? { quarantineReason: f.left.message } : {}),
          })
        : E.left(err);
    }
    return n;
  }

  const agents: AgentNode[] = Array.from({ length: d.machines }, (_, i) => {
    const proc = createSimProcess(`agent${i}`, `m${i}`);
    net.add(`agent${i}:1`, proc);
    const n: AgentNode = {
      proc,
      address: `agent${i}:1`,
      seeds: seedsAt,
      core: undefined,
      persisted: agentDefaults.persisted,
      running: false,
      start,
      stop: () => n.core?.stop(),
    };
    function start(): void {
      proc.alive = true;
      const incarnation = proc.incarnation;
      const t = createTrainer({ ...trainingDefaults, fifoCapacity: 400, replayCapacity: 100, passes: 1, ...o.trainer });
      n.core = createAgentCore(
        world(proc, n.address),
        {
          ...agentDefaults,
          member: `agent${i}`,
          self: address(n.address),
          zone: zoneOf(i),
          routerAddress: address(`router${i}:1`),
          routerHttpAddress: `router${i}`,
          service: 'main',
          seeds: n.seeds,
          slot: i,
          incarnation: Math.max(1, e.now() + wallJump.by),
          persisted: n.persisted,
          samplesPerTraining: o.trainEvery ?? 150,
          verdict: o.verdict ?? { minCount: 40, ttftMargin: 0.25, tokenMargin: 0.25, failureMargin: 0.05 },
          rehearsalTimeLimitUs: o.rehearsalLimit ?? 20_000_000,
          treatmentShare: o.slice ?? 0.2,
          shiftHoldUs: o.shiftHold ?? 3_000_000,
          shiftCooldownUs: o.shiftRest ?? 10_000_000,
          shiftStages: o.shiftParts ?? true,
        },
        {
          fetchReport: workers.fetchFor(proc, incarnation),
          orderStage: workers.orderFor(proc, incarnation),
          trainer: {
            add: (ss) => t.add(ss),
            train: (v) => {
              const m = t.train(v, v.n);
              const b = encodeModel(o.sabotage === undefined ? m : spoiled(m, o.sabotage));
              return new Promise((ok) => e.at(e.now() + 400_000, () => deliver(proc, incarnation, () => ok(b))));
            },
          },
          save: (x) => {
            if (i % 3 !== 2) n.persisted = x;
          },
          wallClockUs: () => e.now() + wallJump.by,
        },
      );
      const core = n.core;
      proc.receive = (m, from) => {
        core.receive(m, from);
        const x = core.keyUpdates.get('rehearsal/main');
        if (x === undefined || h.records.some((k) => k.version === x.version)) return;
        h.records.push({ at: e.now(), version: x.version, record: decodeRehearsalRecord(x.value) });
        h.records.sort((p, q) => p.version - q.version);
      };
      n.running = true;
    }
    return n;
  });

  const routers: RouterNode[] = Array.from({ length: d.machines }, (_, i) => {
    const proc = createSimProcess(`router${i}`, `m${i}`);
    const a = `router${i}:1`;
    net.add(a, proc);
    const n: RouterNode = { proc, core: undefined, closed: false, running: false, start, stop: () => n.core?.stop() };
    function start(): void {
      proc.alive = true;
      const incarnation = proc.incarnation;
      const w = world(proc, a);
      let seen = 0;
      const core = createRouterCore(
        w,
        {
          ...routerDefaults,
          routerId: `router${i}#${incarnation}`,
          httpAddress: `router${i}`,
          agentAddress: address(agents[i]!.address),
          service: 'main',
          leaseDurationUs: tenure,
          placement: {
            ...placementDefaults,
            minSamples: 100,
            scoringTimeoutUs: 1e9,
            ...(o.policy === 'heuristic' ? { minSamples: Infinity, explorationRate: 0 } : {}),
            ...(o.policy === 'least' ? { minSamples: Infinity, explorationRate: 0, maxLoadImbalance: 0 } : {}),
          },
        },
        {
          workerClient: workers.portFor(proc, incarnation),
          digestPrompt: (p) => digest(p).slice(0, 32),
          forward: (to, q, reply, gone) => sendOn(proc, incarnation, to, q, reply, gone),
          onAttempt: (request, worker, phase, extra, version) => {
            const decided = phase === 'prefill' || extra;
            const inc = core.workerTable.workerState(worker as never)?.incarnation ?? 0;
            h.sends.push({
              at: e.now(),
              request,
              router: `router${i}`,
              worker: `${worker}/${inc}`,
              extra,
              phase,
              decided,
              version,
            });
          },
        },
      );
      n.core = core;
      n.closed = false;
      proc.receive = (m) => {
        core.receive(m);
        const v = core.feed.appliedVersion();
        if (v !== seen) {
          seen = v;
          h.applied.push({ at: e.now(), router: `router${i}`, version: v, tag: tagOf(core.feed.desiredState()) });
        }
      };
      n.running = true;
    }
    return n;
  });

  function tagOf(x: unknown): number {
    const t = (x as { templates: { kinds: Record<string, { worth: number }> }[] } | undefined)?.templates[0];
    const k = t === undefined ? undefined : Object.values(t.kinds)[0];
    return k === undefined ? 0 : Math.round((k.worth - d.kinds[0]!.worth) * 1000);
  }

  function sendOn(
    p: SimProcess,
    incarnation: number,
    to: string,
    q: IncomingRequest,
    reply: ResponseWriter,
    gone: AbortSignal,
  ): Promise<boolean> {
    const n = routers.find((x) => `router${routers.indexOf(x)}` === to);
    return new Promise((ok) => {
      let begun = false;
      let order = 0;
      function home(f: () => void): void {
        order = Math.max(e.now() + net.latency(n!.proc.machine, p.machine), order + 1);
        e.at(order, () => deliver(p, incarnation, f));
      }
      if (n === undefined || net.isBlocked(p.machine, n.proc.machine))
        return e.at(e.now() + 500_000, () => deliver(p, incarnation, () => ok(false)));
      e.at(e.now() + net.latency(p.machine, n.proc.machine), () => {
        if (!n.proc.alive || n.closed) return home(() => ok(false));
        // The short question before it: a frozen router does not answer it.
        if (n.proc.frozen) return e.at(e.now() + 500_000, () => home(() => ok(false)));
        function died(): void {
          home(() => {
            reply.fail({ kind: begun ? 'answer_cut' : 'outcome_unknown', message: 'died', retryAfter: 1 });
            ok(true);
          });
        }
        n.proc.exitHandlers.add(died);
        h.requests.find((x) => x.id === q.id)!.via.add(to);
        deliver(
          n.proc,
          n.proc.incarnation,
          () =>
            void n.core!.handleRequest(
              { ...q, forwarded: true },
              {
                chunk: (t) =>
                  home(() => {
                    begun = true;
                    void reply.chunk(t);
                  }),
                end: (finish) => {
                  n.proc.exitHandlers.delete(died);
                  home(() => {
                    reply.end(finish);
                    ok(true);
                  });
                },
                fail: (f) => {
                  n.proc.exitHandlers.delete(died);
                  home(() => {
                    if (f.kind === 'no_tenure' || f.kind === 'stopping') return ok(false);
                    reply.fail(f);
                    ok(true);
                  });
                },
              },
              gone,
            ),
        );
      });
    });
  }

  // The requesters: each asks a router of its zone that answers the door.
  function ask(): void {
    if (over) return;
    const a: TestRequest = traffic.next(e.now() / 1e6);
    if (o.plain === true || r() > 0.1) return askOne(a);
    // Some come twice under one key, at two routers, close together.
    const twin = { ...a, id: `${a.id}-again` };
    const key = `key-${a.id}`;
    h.claims.push({ at: e.now(), key, ids: [a.id, twin.id] });
    askOne(a, key);
    e.at(e.now() + s(r() < 0.5 ? 0.002 * r() : 3 * r()), () => askOne(twin, key));
  }
  function askOne(a: TestRequest, key?: string): void {
    const zone = Math.floor(r() * d.zones);
    const near = routers.map((x, i) => ({ x, i })).filter(({ x, i }) => i % d.zones === zone && x.proc.alive);
    const far = routers.map((x, i) => ({ x, i })).filter(({ x }) => x.proc.alive);
    const from = near.length > 0 ? near : far;
    const pick = from[Math.floor(r() * from.length)];
    const q: RequestSeen = {
      id: a.id,
      kind: a.kind,
      tenant: a.tenant,
      repeatable: a.repeatable,
      patience: a.patienceMs * 1000,
      at: e.now(),
      router: pick === undefined ? 'none' : `router${pick.i}`,
      end: undefined,
      ended: '',
      ran: undefined,
      verdict: undefined,
      ttft: undefined,
      retryAfter: false,
      excused: pick !== undefined && pick.x.proc.frozen,
      zone,
      via: new Set(pick === undefined ? [] : [`router${pick.i}`]),
    };
    h.requests.push(q);
    if (pick === undefined) {
      q.end = e.now();
      q.ended = 'unreachable';
      return;
    }
    const p = pick.x.proc;
    let text = '';
    let out = false;
    const gone = new AbortController();
    function end(ended: string, ran?: 'no' | 'maybe', retryAfter = false): void {
      if (out) return;
      out = true;
      p.exitHandlers.delete(died);
      Object.assign(q, { end: e.now(), ended, ran, retryAfter, verdict: classifyAnswer(a.prompt, a.maxTokens, text) });
    }
    function died(): void {
      end('broken');
    }
    e.at(e.now() + 200, () => {
      if (!p.alive || pick.x.closed) return end('unreachable');
      p.exitHandlers.add(died);
      e.at(q.at + q.patience + s(14), () => {
        if (out) return;
        end('broken');
        gone.abort();
      });
      deliver(
        p,
        p.incarnation,
        () =>
          void pick.x.core!.handleRequest(
            {
              id: a.id,
              tenant: a.tenant,
              kind: a.kind,
              model: 'm',
              prompt: a.prompt,
              maxTokens: a.maxTokens,
              forwarded: false,
              idempotencyKey: key,
            },
            {
              chunk: (t) => {
                if (q.ttft === undefined) q.ttft = e.now() - q.at;
                text += t;
              },
              end: () => end('whole'),
              fail: (f) =>
                end(
                  f.kind,
                  failureKinds[f.kind as FailureKind].ran,
                  f.retryAfter !== undefined || f.kind === 'stopping',
                ),
            },
            gone.signal,
          ),
      );
    });
  }
  function keepAsking(): void {
    if (e.now() > total - s(1)) return;
    ask();
    e.at(e.now() + (-Math.log(1 - r()) / rate) * 1e6, keepAsking);
  }

  // Operators.
  let changes = 0;
  function liveAgent(): AgentNode | undefined {
    const up = agents.filter((x) => x.proc.alive && !x.proc.frozen);
    return up[Math.floor(r() * up.length)];
  }
  function submit(base?: number, sound = true): AgentNode | undefined {
    const at = liveAgent();
    if (at === undefined) return undefined;
    changes += 1;
    const tag = changes;
    const c = {
      id: `change-${tag}`,
      tag: sound ? tag : -1,
      whole: '',
      at: e.now() as number,
      base: undefined as number | undefined,
      end: undefined as number | undefined,
      answer: undefined as string | undefined,
      version: undefined as number | undefined,
    };
    h.changes.push(c);
    const incarnation = at.proc.incarnation;
    async function go(): Promise<void> {
      const b = base ?? (await at!.core!.readDesiredState()).version;
      const t = buildDesiredState(d, (k) => k.worth + tag / 1000).templates;
      c.base = b;
      const state = sound
        ? { templates: o.approval === undefined ? t : t.map((x) => ({ ...x, approval: o.approval })) }
        : { templates: [] };
      c.whole = JSON.stringify(state);
      const x = await at!.core!.submit(b, c.id, state);
      c.end = e.now();
      c.answer = x.answer;
      if ('version' in x) c.version = x.version;
      const lost = x.answer === 'acknowledged' ? loseOnAck.pop() : undefined;
      if (lost !== undefined) {
        // One disk is gone, and the other two machines come back on whatever of their tails was synced.
        keepers.forEach(killNode);
        lost.disk.wipe();
        e.at(e.now() + s(0.5), () => keepers.forEach(startNode));
      }
      if (x.answer === 'acknowledged' && crashOnAck > 0) {
        crashOnAck -= 1;
        keepers.forEach(killNode);
        e.at(e.now() + s(0.5), () => keepers.forEach(startNode));
      }
    }
    deliver(at.proc, incarnation, () => void go());
    return at;
  }
  function lookUp(c: History['changes'][number]): void {
    const at = liveAgent();
    if (at === undefined || c.end !== undefined) return;
    void at.core!.lookUpChange(c.id).then((x) => {
      if (x.status === 'done') Object.assign(c, { answer: 'acknowledged', version: x.version, end: e.now() });
      else lookUp(c);
    });
  }

  // The platform tells all agents that answer, as it does of workers.
  function platform(w: SimWorker, state: number): void {
    if (state === 2) h.leaving.push({ at: e.now(), worker: w.name, incarnation: w.incarnation });
    const m = { worker: w.name, incarnation: w.incarnation, state, address: `${w.name}:1` };
    // It tells one agent, and another one when none of its neighbours has confirmed.
    function tell(left: number): void {
      const a = liveAgent();
      if (a === undefined || left === 0) return;
      let told = false;
      void a.core!.applyPlatformStates([m]).then((x) => {
        if (told) return;
        told = true;
        if (!x.confirmed) tell(left - 1);
      });
      e.at(e.now() + s(1), () => {
        if (!told) tell(left - 1);
        told = true;
      });
    }
    tell(6);
  }

  function node(name: string): Node | undefined {
    const i = Number(name.replace(/\D/g, ''));
    if (name.startsWith('keeper')) return keepers[i];
    if (name.startsWith('agent')) return agents[i];
    return name.startsWith('router') ? routers[i] : undefined;
  }
  // A machine's processes together: agent, router, and keeper where it is a core machine.
  function machine(name: string): Node[] {
    const i = Number(name.slice(1));
    return [agents[i]!, routers[i]!, ...(i < 3 ? [keepers[i]!] : [])];
  }
  function wipe(n: Node): void {
    if ('disk' in n) (n as ControlNodeProcess).disk.wipe();
    if ('persisted' in n) (n as AgentNode).persisted = agentDefaults.persisted;
  }
  // One core machine on one side with a part of the others, routers and workers; the other two on the other.
  function apart(alone: string, x: string, y: string): boolean {
    function side(m: string): boolean {
      return m === alone || (!['m0', 'm1', 'm2'].includes(m) && Number(m.slice(1)) % 3 === 0);
    }
    return side(x) !== side(y);
  }
  // A seed machine is swapped for an empty one at a new address, which is told three current members; nobody else's
  // settings change.
  function replaceSeed(i: number, end: number): void {
    const ns = [agents[i]!, routers[i]!];
    ns.forEach(killNode);
    net.remove(agents[i]!.address);
    agents[i]!.address = `agent${i}:${2 + Math.floor(r() * 1000)}`;
    net.add(agents[i]!.address, agents[i]!.proc);
    agents[i]!.persisted = agentDefaults.persisted;
    agents[i]!.seeds = [1, 2, 3].map((k) => address(agents[(i + k) % agents.length]!.address));
    e.at(end, () => ns.forEach(startNode));
  }
  function killNode(n: Node): void {
    if (!n.proc.alive) return;
    killProcess(n.proc);
    n.running = false;
    if ('disk' in n) (n as ControlNodeProcess).disk.crash();
  }
  function startNode(n: Node): void {
    if (!n.proc.alive) n.start();
  }

  function bring(f: SimFault): void {
    const end = Math.min(e.now() + s(f.for), span);
    if (!operators.has(f.do))
      h.disturbed.push({ at: e.now(), until: lasting.has(f.do) ? end : e.now() + s(3), what: f.do, who: f.who });
    const w = workers.all.find((x) => x.name === f.who);
    const name = `${f.do}/${f.who}/${f.at}`;
    switch (f.do) {
      case 'kill': {
        const n = node(f.who)!;
        killNode(n);
        e.at(end, () => startNode(n));
        return;
      }
      case 'freeze': {
        const n = node(f.who)!;
        n.proc.frozen = n.proc.alive;
        for (const q of h.requests) q.excused ||= q.end === undefined && q.via.has(f.who);
        e.at(end, () => resumeProcess(e, n.proc));
        return;
      }
      case 'drain':
        return drain(node(f.who)!, end);
      case 'empty': {
        const n = node(f.who) as ControlNodeProcess;
        killNode(n);
        n.disk.wipe();
        e.at(end, () => startNode(n));
        return;
      }
      case 'replace-core':
        return replaceCore(Number(f.who.slice(6)), end);
      case 'isolate':
        net.partition(name, (a, b) => a === f.who || b === f.who);
        e.at(end, () => net.heal(name));
        return;
      case 'one-way':
        net.partition(name, (a) => a === f.who);
        e.at(end, () => net.heal(name));
        return;
      case 'split': {
        const k = 1 + Math.floor(r() * 3);
        function side(m: string): boolean {
          return Number(m.slice(1)) % (k + 1) === 0;
        }
        net.partition(name, (a, b) => a.startsWith('m') && b.startsWith('m') && side(a) !== side(b));
        e.at(end, () => net.heal(name));
        return;
      }
      case 'disk-stall': {
        const x = keepers[Number(f.who.slice(6))]!.disk;
        x.stalled = true;
        e.at(end, () => x.resume());
        return;
      }
      case 'disk-slow': {
        const x = keepers[Number(f.who.slice(6))]!.disk;
        x.extraLatencyUs = 300_000;
        e.at(end, () => {
          x.extraLatencyUs = 0;
        });
        return;
      }
      case 'disk-full': {
        const n = keepers[Number(f.who.slice(6))]!;
        n.disk.full = true;
        e.at(end, () => {
          n.disk.full = false;
        });
        return;
      }
      case 'disk-damage': {
        const n = node(f.who) as ControlNodeProcess;
        killNode(n);
        n.disk.corrupt();
        e.at(end, () => startNode(n));
        return;
      }
      case 'worker-kill':
        if (w!.proc.alive) {
          workers.kill(w!);
          e.at(end, () => {
            if (!w!.proc.alive) {
              workers.start(w!);
              platform(w!, 1);
            }
          });
        }
        return;
      case 'worker-dark':
        w!.dark = true;
        e.at(end, () => {
          w!.dark = false;
        });
        return;
      case 'worker-freeze':
        w!.proc.frozen = w!.proc.alive;
        e.at(end, () => resumeProcess(e, w!.proc));
        return;
      case 'worker-release':
        return release(w!, end);
      case 'worker-slow-link':
        net.setExtraLatency(w!.proc.machine, 200_000);
        e.at(end, () => net.setExtraLatency(w!.proc.machine, 0));
        return;
      case 'lapse':
        for (const x of workers.all) if (x.proc.alive) x.core.expireHandles();
        return;
      case 'mass-kill': {
        const ns = [...routers, ...agents].filter(() => r() < 0.5);
        ns.forEach(killNode);
        e.at(Math.min(end, e.now() + s(3)), () => ns.forEach(startNode));
        return;
      }
      case 'core-kill':
        keepers.forEach(killNode);
        e.at(Math.min(end, e.now() + s(3)), () => keepers.forEach(startNode));
        return;
      case 'seeds-swapped': {
        const ns = agents.slice(0, 2);
        ns.forEach(killNode);
        for (const n of ns) n.persisted = agentDefaults.persisted;
        e.at(end, () => ns.forEach(startNode));
        return;
      }
      case 'machine-kill':
      case 'machine-lost': {
        const ns = machine(f.who);
        ns.forEach(killNode);
        if (f.do === 'machine-lost') for (const n of ns) wipe(n);
        e.at(end, () => ns.forEach(startNode));
        return;
      }
      case 'machine-freeze': {
        const ns = machine(f.who);
        for (const n of ns) n.proc.frozen = n.proc.alive;
        for (const q of h.requests) q.excused ||= q.end === undefined && ns.some((n) => q.via.has(n.proc.name));
        e.at(end, () => {
          for (const n of ns) resumeProcess(e, n.proc);
        });
        return;
      }
      case 'seed-replaced':
        return replaceSeed(Number(f.who.slice(5)), end);
      case 'link-one-way': {
        const [a, b] = f.who.split('>');
        net.partition(name, (x, y) => x === a && y === b);
        e.at(end, () => net.heal(name));
        return;
      }
      case 'core-split': {
        const alone = f.who;
        net.partition(name, (x, y) => apart(alone, x, y));
        e.at(end, () => net.heal(name));
        return;
      }
      case 'clock-jump':
        wallJump.by += (r() < 0.5 ? -1 : 1) * s(3600);
        return;
      case 'crash-on-ack':
        crashOnAck += 1;
        submit();
        return;
      case 'lose-on-ack':
        loseOnAck.push(node(f.who) as ControlNodeProcess);
        submit();
        return;
      case 'submit-and-die': {
        // The agent that was asked dies before it hears the answer; the operator looks the change up at another.
        const at = submit();
        if (at === undefined) return;
        e.at(e.now() + s(0.015), () => killNode(at));
        e.at(e.now() + s(0.3), () => lookUp(h.changes.at(-1)!));
        e.at(e.now() + s(2), () => startNode(at));
        return;
      }
      case 'submit':
        submit();
        return;
      case 'race': {
        const b = h.applied.reduce((m, x) => Math.max(m, x.version), 0);
        submit(b);
        submit(b);
        if (r() < 0.5) submit(b);
        return;
      }
      case 'storm':
        for (let i = 0; i < 6; i += 1) e.at(e.now() + s(i * 0.15 * r()), () => submit());
        return;
      case 'refused':
        submit(undefined, false);
        return;
      case 'crowd':
        rate = o.rate * 3;
        e.at(end, () => {
          rate = o.rate;
        });
        return;
      case 'swing':
        swing = 8;
        swings += 1;
        traffic = createTraffic(d, o.seed + 1_000_000 * swings, oscillatingMix(8));
        return;
    }
  }

  // A planned restart: the router lets its answers finish, the others just stop.
  function drain(n: Node, end: number): void {
    if (!n.proc.alive) return;
    const i = routers.indexOf(n as RouterNode);
    if (i < 0) {
      n.stop();
      killNode(n);
      e.at(Math.min(end, e.now() + s(1)), () => startNode(n));
      return;
    }
    const x = n as RouterNode;
    x.core!.stopAccepting();
    const incarnation = n.proc.incarnation;
    function look(): void {
      if (!n.proc.alive || n.proc.incarnation !== incarnation) return;
      if (x.core!.activeRequests() > 0) return e.at(e.now() + s(0.05), look);
      x.closed = true;
      x.core!.stop();
      e.at(e.now() + s(0.1), () => {
        if (!n.proc.alive || n.proc.incarnation !== incarnation) return;
        killNode(n);
        e.at(e.now() + s(0.5), () => startNode(n));
      });
    }
    e.at(e.now() + s(0.05), look);
  }

  function release(w: SimWorker, end: number): void {
    if (!w.proc.alive || w.proc.frozen || w.dark) return;
    platform(w, 2);
    const inc = w.incarnation;
    function look(): void {
      if (!w.proc.alive || w.incarnation !== inc) return;
      const x = w.core.idle();
      if (x.active + x.queued > 0 && e.now() < end + s(8)) return e.at(e.now() + s(0.1), look);
      workers.kill(w);
      e.at(e.now() + s(0.5), () => {
        if (w.proc.alive) return;
        workers.start(w);
        platform(w, 1);
      });
    }
    e.at(e.now() + s(3.2), look);
  }

  // An empty machine takes a core place at a new address.
  function replaceCore(slot: number, end: number): void {
    const old = keepers[slot]!;
    killNode(old);
    const a = `keeper${slot}:${2 + Math.floor(r() * 1000)}`;
    e.at(Math.min(end, e.now() + s(2)), () => {
      const n = keeper(`keeper${slot}`, slot, a);
      keepers[slot] = n;
      n.start();
    });
  }

  async function run(): Promise<History> {
    o.breakIt?.(net);
    for (const w of workers.all) workers.start(w);
    for (const n of [...keepers, ...agents, ...routers]) e.at(e.now() + Math.floor(r() * 500_000), () => startNode(n));
    await e.run(s(2.5));
    for (const w of workers.all) platform(w, 1);
    submit(0);
    await e.run(s(4));
    const t0 = e.now();
    for (const f of o.faults) e.at(t0 + s(f.at), () => bring(f));
    e.at(t0, keepAsking);
    e.at(span, () => {
      h.calmFrom = e.now();
      for (const n of [...keepers, ...agents, ...routers]) {
        resumeProcess(e, n.proc);
        startNode(n);
      }
      for (const w of workers.all) {
        resumeProcess(e, w.proc);
        w.dark = false;
        if (!w.proc.alive) {
          workers.start(w);
          platform(w, 1);
        }
      }
    });
    // Reads the desired state all day long, and looks at who holds the duties.
    function read(): void {
      if (e.now() >= total) return;
      const from = e.now();
      void liveAgent()
        ?.core?.readDesiredState()
        .then((x) => {
          if (x.status === 'value') h.reads.push({ from, end: e.now(), version: x.version, whole: x.value.toString() });
        });
      e.at(e.now() + s(0.7), read);
    }
    function look(): void {
      for (const duty of singletonRoles) {
        const members = agents
          .filter((x) => x.proc.alive && !x.proc.frozen && x.core?.heldEpoch(duty) !== undefined)
          .map((x) => x.proc.name);
        if (members.length > 1) h.holders.push({ at: e.now(), duty, members });
      }
      if (e.now() < total) e.at(e.now() + s(0.05), look);
    }
    e.at(t0, read);
    e.at(t0, look);
    await e.run(total);
    over = true;
    // The day may end with one core machine gone for good.
    if (o.closing !== undefined) {
      const n = keepers[o.closing]!;
      killNode(n);
      n.disk.wipe();
    }
    const at = liveAgent()!;
    void at.core!.readDesiredState().then((x) => {
      if (x.status === 'value') h.readBack = { version: x.version, whole: x.value.toString() };
    });
    await e.run(total + s(9));
    h.end = e.now();
    return h;
  }
  return { engine: e, history: h, network: net, workers, routers, agents, run };
}
