/**
 * One edge machine of a virtual day and the lives of the router on it: the course and the feed, wired as the program
 * wires them, and the way in from requesters.
 */
import {
  createControlFeed,
  createControlGateway,
  createControlClient,
  startMembershipRelay,
  type ControlFeed,
} from '@tansypost/control-feed';
import { askThrough, createRouterLearning, recordKey, type RouterLearning } from '@tansypost/learning';
import { hash32, micros, createSeededRandom, type Address } from '@tansypost/inner-protocol';
import {
  createRequestHandler,
  createGracefulShutdown,
  type RequestHandler,
  type FleetWorker,
  type Rejection,
  type GracefulShutdown,
  type IncomingRequest,
  type WorkerPort,
} from '@tansypost/pass-through';
import { placementDefaults } from '@tansypost/placement';
import { validateRouteTable, type RouteTable } from '@tansypost/paths';
import {
  createSimProcess,
  killProcess,
  deliver,
  createProcessWorld,
  resumeProcess,
  type SimProcess,
} from '../process.js';
import type { Ground } from './ground.js';
import type { AttemptRecord } from './passed-history.js';
import { createPipe } from './pipe.js';
import { isLeftOut, spoiledTable, spoiledTellings } from './spoiled-tenants.js';
import { tableOf } from './submit.js';
import type { VirtualControlCluster } from './virtual-core.js';
import { createVirtualPort } from './virtual-port.js';
import type { VirtualWorkers } from './virtual-workers.js';

/** Where a router stands: `machine` is its own name, or that of a machine that also runs a control node. */
export interface RouterPlace {
  readonly name: string;
  readonly zone: string;
  readonly machine: string;
}
export interface VirtualRouter {
  readonly name: string;
  readonly machine: string;
  readonly zone: string;
  readonly proc: SimProcess;
  readonly start: () => void;
  readonly kill: (power: boolean) => void;
  readonly wake: () => void;
  // SIGTERM: what is under way ends by itself, then the process ends.
  readonly roll: () => void;
  readonly ready: () => boolean;
  /** Where its machine sends operators on to, if that holds no control state; undefined where it knows nobody. */
  readonly controlNode: () => Address | undefined;
  readonly figures: () => Record<string, unknown>;
  /** A new connection of a requester. */
  readonly connect: () => RequesterConnection;
  // Gives how to leave. `told` is called where the requester is, with what it sees.
  readonly take: (t: AttemptRecord, q: IncomingRequest, told: Told, connection: RequesterConnection) => () => void;
}
/** One connection of a requester; it ends with the process, or where an answer on it says so. */
export interface RequesterConnection {
  readonly router: VirtualRouter;
  open: boolean;
  busy: boolean;
  /** Whether a request has been served on it before. */
  used: boolean;
}
export interface Told {
  readonly first: () => void;
  readonly bytes: (b: Buffer) => void;
  readonly ended: (how: AttemptRecord['ended'], why: string, retryAfter?: number) => void;
}
function endOf({ kind, ran }: Rejection): AttemptRecord['ended'] {
  if (kind === 'unknown_path' || kind === 'unknown_key') return kind;
  return ran === 'no' ? 'refused' : 'gave_up';
}

const gracePeriod = 8_000_000;
const startAgainAfter = 400_000;

function spoiled(g: Ground, p: WorkerPort): WorkerPort {
  const s = g.spoil;
  if (s === undefined) return p;
  let other: string | undefined;
  return {
    freeKv: p.freeKv,
    prefill: async (...a) => {
      const x = await p.prefill(...a);
      if (s !== 'handles-mixed' || x.tag !== 'read') return x;
      const given = other ?? x.kvHandle;
      other = x.kvHandle;
      return { ...x, kvHandle: given };
    },
    run: async (w, q, t, sink, gone) => {
      let n = 0;
      const x = await p.run(
        w,
        q,
        t,
        {
          head: sink.head,
          chunk: (b) => {
            n += 1;
            if (s === 'piece-dropped' && n % 5 === 2 && b.toString().startsWith('id:')) return undefined;
            if (s === 'piece-doubled' && n === 2 && b.toString().endsWith('\n\n'))
              return sink.chunk(Buffer.concat([b, b]));
            return sink.chunk(b);
          },
        },
        gone,
      );
      if (x.tag !== 'unknown' || gone.aborted) return x;
      if (s === 'cut-called-whole' && n > 0) return { tag: 'whole' };
      if (s === 'unknown-called-refused' && n === 0)
        return {
          tag: 'refused',
          reason: '503',
          misdirected: false,
          response: { status: 503, headers: [], body: Buffer.alloc(0) },
        };
      return x;
    },
  };
}

export function createVirtualRouter(
  g: Ground,
  core: VirtualControlCluster,
  workers: VirtualWorkers,
  place: RouterPlace,
  resets: () => number,
): VirtualRouter {
  const { engine: e, network: net, random, h } = g;
  const { name, zone, machine } = place;
  const holdsControlState = machine !== name;
  const proc = createSimProcess(name, machine);
  const self = `${machine}:${holdsControlState ? 2 : 1}` as Address;
  net.add(self, proc);
  let course: RequestHandler | undefined;
  let learning: RouterLearning | undefined;
  let controlFeed: ControlFeed | undefined;
  let life = 0;
  let shutdown: GracefulShutdown | undefined;
  const open = new Map<AttemptRecord, (why: string) => void>();
  const connections = new Set<RequesterConnection>();

  function start(): void {
    if (proc.alive) return;
    proc.alive = true;
    g.silent.delete(machine);
    life += 1;
    const mine = life;
    h.lives.push({ router: name, life, from: e.now(), to: Infinity });
    const w = createProcessWorld(
      e,
      proc,
      random,
      (to, m) => net.send(proc, self, to, m),
      (n, f) => {
        if (n === 5105) h.unforeseen.push(JSON.stringify(f));
      },
    );
    const streaming = new Map(g.d.kinds.map((k) => [`${k.name}.example`, k.streaming]));
    const port = createVirtualPort(e, {
      proc,
      net,
      random,
      lifeAt: workers.lifeAt,
      machineAt: workers.machineAt,
      silentMachine: (m) => g.silent.has(m),
      arrived: (a) => h.arrivals.push(a),
      streaming: (q) => streaming.get(q.host) ?? true,
      resets,
    });
    const asker = createControlClient(w, self, () => feed.votingNodes());
    const l = createRouterLearning(w, { member: name, keepers: () => feed.votingNodes(), asker: askThrough(w, asker) });
    learning = l;
    const c = createRequestHandler(
      w,
      {
        zone,
        regionOf: () => 'region',
        ...(g.learning === undefined
          ? {}
          : {
              placement: {
                ...placementDefaults,
                minSamples: g.learning.trainEvery,
                trust: g.learning.trust ?? placementDefaults.trust,
              },
            }),
        retryBudget:
          g.spoil === 'budget-ignored'
            ? { ratio: 50, slack: 5000, window: 10_000_000, routerCount: () => 1 }
            : {
                ratio: 0.2,
                slack: g.d.sendSlack,
                window: 10_000_000,
                routerCount: () => Math.max(4, feed.routerCount()),
                isFirstStart: proc.incarnation === 0,
              },
      },
      {
        workers: spoiledTellings(g.spoil, spoiled(g, port)),
        announceActivity: (id, us) => feed.announcePrefill(id, us),
        recordSample: l.sample,
        assignCohort: l.lot,
      },
    );
    course = c;
    shutdown = createGracefulShutdown(w, {
      gracePeriod,
      activeRequests: c.activeRequests,
      closeIdleConnections: closeIdle,
      rejectUnstarted: c.rejectUnstarted,
      exit: left,
    });
    const known = new Map<string, FleetWorker>();
    const taken: RouteTable[] = [];
    const seeds = core.seeds(machine);
    const feed = createControlFeed(w, {
      self,
      member: name,
      zone,
      seeds,
      fetchWorkerList: core.fetchList(name, proc),
      onPeerPrefill: c.recordPeerActivity,
      additionalKey: { key: recordKey, version: l.version, onUpdate: l.take },
      onChange: (what) => {
        if (what === 'configuration') {
          const text = feed.configuration()!.value.toString();
          const t = tableOf(text);
          if (t === undefined || (g.spoil !== 'invalid-let-through' && validateRouteTable(t).length > 0))
            return void h.unforeseen.push('a document that cannot govern');
          if (g.spoil === 'news-withheld' && name === 'r1' && t.revision > 1) return;
          h.applied.push({ at: e.now(), router: name, life: mine, revision: t.revision, text });
          c.updateRoutes(spoiledTable(g.spoil, t, taken));
          taken.push(t);
          if (g.spoil === 'document-set-back' && t.revision > 1)
            w.after(micros(1_000_000), () => {
              const was = h.applied.find((a) => a.router === name && a.revision < t.revision);
              if (was === undefined) return;
              h.applied.push({ ...was, at: e.now(), life: mine });
              c.updateRoutes(tableOf(was.text)!);
            });
        } else if (what === 'workers') {
          if (g.spoil !== 'leaving-hidden') return c.updateWorkers(feed.workers());
          for (const x of feed.workers()) known.set(x.id, { ...x, leaving: false });
          c.updateWorkers([...known.values()]);
        }
      },
      onWorkerLoads: (loads) => {
        for (const l of loads)
          c.updateLoad(l.id, {
            queued: l.queued,
            active: l.active,
            kvUsed: l.kvTotal > 0 ? l.kvUsed / l.kvTotal : 0,
            unresponsive: l.silent,
            reportedAt: l.at,
          });
      },
    });
    controlFeed = feed;
    const guide = createControlGateway(w, { self, membership: feed.membership, firstStart: mine === 1 });
    // It draws from numbers of its own, so that days drawn before there was a relay stay what they were.
    const relayWorld = { ...w, random: createSeededRandom(hash32(self) + life) };
    if (!holdsControlState) startMembershipRelay(relayWorld, { self, seeds: () => seeds, membership: feed.membership });
    proc.receive = (m, from) => {
      if (m.kind === 'Answer') asker.handleAnswer(m);
      else if (holdsControlState || !guide(m, from)) feed.receive(m, from);
    };
  }

  function ended(why: string, power: boolean): void {
    const was = [...open.values()];
    open.clear();
    if (!power) for (const f of was) f(why);
    for (const l of h.lives) if (l.router === name && l.to === Infinity) Object.assign(l, { to: e.now() });
    for (const connection of connections) connection.open = false;
    connections.clear();
  }
  function kill(power: boolean): void {
    if (!proc.alive) return;
    if (power) g.silent.add(machine);
    killProcess(proc);
    course = undefined;
    ended('the router died', power);
  }
  function roll(): void {
    if (!proc.alive || shutdown?.hasBegun() === true) return;
    shutdown?.begin();
    if (g.spoil === 'leaves-at-once') left();
  }
  function left(): void {
    killProcess(proc);
    course = undefined;
    ended('router shut down gracefully', false);
    e.at(e.now() + startAgainAfter, start);
  }

  // What was sent on a connection that is closed meanwhile is not read; its requester hears of it.
  function closeIdle(): void {
    for (const connection of connections) {
      if (connection.busy || !connection.open) continue;
      connections.delete(connection);
      createPipe(
        e,
        net,
        machine,
        'clients',
      )(() => {
        connection.open = false;
      });
    }
  }

  function connect(): RequesterConnection {
    const connection = { router, open: true, busy: false, used: false };
    connections.add(connection);
    return connection;
  }

  function take(t: AttemptRecord, q: IncomingRequest, told: Told, connection: RequesterConnection): () => void {
    const there = createPipe(e, net, 'clients', machine);
    const back = createPipe(e, net, machine, 'clients');
    const gone = new AbortController();
    const incarnation = proc.incarnation;
    let over = false;
    // What the head of the answer says, so as it was when the answer began.
    let closes: boolean | undefined;
    function begins(): void {
      closes ??= shutdown?.hasBegun() === true;
    }
    function finish(how: AttemptRecord['ended'], why: string, retryAfter?: number): void {
      if (over) return;
      over = true;
      open.delete(t);
      begins();
      back(() => {
        connection.busy = false;
        connection.used = true;
        if (closes === true || how === 'cut') connection.open = false;
        told.ended(how, why, retryAfter);
      });
    }
    connection.busy = true;
    open.set(t, (why) => finish(t.readAt === undefined ? 'unread' : 'cut', why));
    there(() =>
      deliver(proc, incarnation, () => {
        if (!connections.has(connection)) return finish('unread', 'the connection was closed');
        t.readAt = e.now();
        const refusal = shutdown?.checkArrival(connection.used);
        if (refusal !== undefined) return finish('refused', refusal.kind, refusal.retryAfterSeconds);
        if (isLeftOut(g.spoil, t.tenant)) return finish('refused', 'overloaded');
        void course!.serve(
          q,
          {
            head: () => {
              begins();
              back(told.first);
            },
            chunk: (b) => {
              const copy = Buffer.from(b);
              back(() => told.bytes(copy));
              if (random() > 0.05) return undefined;
              return new Promise((ok) =>
                e.at(e.now() + random() * 20_000, () => deliver(proc, incarnation, () => ok())),
              );
            },
            end: () => finish('whole', ''),
            abort: () => finish('cut', 'cut by the router'),
            respond: (a) => finish([408, 421, 429, 503].includes(a.status) ? 'refused' : 'failed', `${a.status}`),
            reject: (x) => finish(endOf(x), x.kind, x.retryAfterSeconds),
          },
          gone.signal,
        );
      }),
    );
    return function leave() {
      there(() => deliver(proc, incarnation, () => gone.abort()));
    };
  }

  const router: VirtualRouter = {
    name,
    machine,
    zone,
    proc,
    start,
    kill,
    roll,
    wake: () => resumeProcess(e, proc),
    ready: () => proc.alive && !proc.frozen && shutdown?.hasBegun() !== true && course?.isReady() === true,
    controlNode: () => (proc.alive ? controlFeed?.source() : undefined),
    figures: () => ({ ...course?.metrics(), learning: learning?.figures() }),
    connect,
    take,
  };
  return router;
}
