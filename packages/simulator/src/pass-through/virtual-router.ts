/**
 * A router of a simulated run over its restarts: request handler and configuration feed, wired as in the real program,
 * and the connections of clients.
 */
import {
  createControlFeed,
  createControlGateway,
  createControlClient,
  startMembershipRelay,
  type ControlFeed,
} from '@tansypost/control-feed';
import {
  createControlStateClient,
  createRouterLearning,
  rehearsalRecordKey,
  type RouterLearning,
} from '@tansypost/learning';
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
import type { Spoil } from './spoil.js';
import { isLeftOut, sabotageRouteTable, sabotageTenantHeaders } from './spoiled-tenants.js';
import { parseRouteTable } from './submit.js';
import type { VirtualControlCluster } from './virtual-core.js';
import { createVirtualWorkerClient } from './virtual-port.js';
import type { VirtualWorkers } from './virtual-workers.js';

/** The location of a router. `machine` is its own name, or that of a machine that also runs a control node. */
export interface RouterLocation {
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
  // SIGTERM: active requests complete, then the process exits and is started again.
  readonly restartGracefully: () => void;
  readonly ready: () => boolean;
  /** The control node that a machine without control state redirects operators to; undefined if it knows none. */
  readonly controlNode: () => Address | undefined;
  readonly metrics: () => Record<string, unknown>;
  /** Opens a new client connection. */
  readonly connect: () => ClientConnection;
  /** Sends a request on a connection. Returns the client's abort; `clientHandler` is called at the client's end. */
  readonly receiveRequest: (
    t: AttemptRecord,
    request: IncomingRequest,
    clientHandler: ClientHandler,
    connection: ClientConnection,
  ) => () => void;
}
/** A client connection. It ends with the router process, or after a response that closes it. */
export interface ClientConnection {
  readonly router: VirtualRouter;
  open: boolean;
  busy: boolean;
  /** Whether a request has been served on it before. */
  used: boolean;
}
export interface ClientHandler {
  readonly onHead: () => void;
  readonly onBytes: (b: Buffer) => void;
  readonly onEnd: (outcome: AttemptRecord['ended'], why: string, retryAfter?: number) => void;
}
function outcomeOf({ kind, ran }: Rejection): AttemptRecord['ended'] {
  if (kind === 'unknown_path' || kind === 'unknown_key') return kind;
  return ran === 'no' ? 'refused' : 'gave_up';
}

const gracePeriodUs = 8_000_000;
const restartDelayUs = 400_000;

/** What a router passes on of a piece that drops or doubles pieces; before it, the router itself would detect that. */
function spoilPiece(spoil: Spoil | undefined, piece: Buffer, position: number): Buffer {
  const isEvent = piece.toString().startsWith('id:');
  if (spoil === 'piece-dropped' && position % 5 === 2 && isEvent) return Buffer.alloc(0);
  if (spoil === 'piece-doubled' && position === 2 && isEvent) return Buffer.concat([piece, piece]);
  return Buffer.from(piece);
}

function sabotageWorkerClient(ground: Ground, p: WorkerPort): WorkerPort {
  const s = ground.spoil;
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
    run: async (worker, request, t, sink, abortSignal) => {
      let n = 0;
      const x = await p.run(
        worker,
        request,
        t,
        {
          head: sink.head,
          chunk: (b) => {
            n += 1;
            return sink.chunk(b);
          },
        },
        abortSignal,
      );
      if (x.tag !== 'unknown' || abortSignal.aborted) return x;
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
  ground: Ground,
  core: VirtualControlCluster,
  workers: VirtualWorkers,
  location: RouterLocation,
  resetRate: () => number,
): VirtualRouter {
  const { engine, network, random, h: history } = ground;
  const { name, zone, machine } = location;
  const holdsControlState = machine !== name;
  const proc = createSimProcess(name, machine);
  const self = `${machine}:${holdsControlState ? 2 : 1}` as Address;
  network.add(self, proc);
  let requestHandler: RequestHandler | undefined;
  let learning: RouterLearning | undefined;
  let controlFeed: ControlFeed | undefined;
  let life = 0;
  let shutdown: GracefulShutdown | undefined;
  const openAttempts = new Map<AttemptRecord, (why: string) => void>();
  const connections = new Set<ClientConnection>();

  function start(): void {
    if (proc.alive) return;
    proc.alive = true;
    ground.silent.delete(machine);
    life += 1;
    const ownLife = life;
    history.lives.push({ router: name, life, from: engine.now(), to: Infinity });
    const world = createProcessWorld(
      engine,
      proc,
      random,
      (to, m) => network.send(proc, self, to, m),
      (n, f) => {
        if (n === 5105) history.unforeseen.push(JSON.stringify(f));
      },
    );
    const streaming = new Map(ground.d.kinds.map((k) => [`${k.name}.example`, k.streaming]));
    const workerClient = createVirtualWorkerClient(engine, {
      proc,
      network,
      random,
      lifeAt: workers.lifeAt,
      machineAt: workers.machineAt,
      isMachineSilent: (m) => ground.silent.has(m),
      onArrival: (a) => history.arrivals.push(a),
      isStreaming: (request) => streaming.get(request.host) ?? true,
      resetRate,
    });
    const controlClient = createControlClient(world, self, () => feed.votingNodes());
    const learningAgent = createRouterLearning(world, {
      member: name,
      controlNodes: () => feed.votingNodes(),
      controlClient: createControlStateClient(world, controlClient),
    });
    learning = learningAgent;
    const handler = createRequestHandler(
      world,
      {
        zone,
        regionOf: () => 'region',
        ...(ground.learning === undefined
          ? {}
          : {
              placement: {
                ...placementDefaults,
                minSamples: ground.learning.samplesPerTraining,
                maxExpectedSlowdown: ground.learning.trust ?? placementDefaults.maxExpectedSlowdown,
              },
            }),
        retryBudget:
          ground.spoil === 'budget-ignored'
            ? { ratio: 50, slack: 5000, window: 10_000_000, routerCount: () => 1 }
            : {
                ratio: 0.2,
                slack: ground.d.sendSlack,
                window: 10_000_000,
                routerCount: () => Math.max(4, feed.routerCount()),
                isFirstStart: proc.incarnation === 0,
              },
      },
      {
        workers: sabotageTenantHeaders(ground.spoil, sabotageWorkerClient(ground, workerClient)),
        announceActivity: (id, us) => feed.announcePrefill(id, us),
        recordSample: learningAgent.recordSample,
        assignCohort: learningAgent.assignCohort,
      },
    );
    requestHandler = handler;
    shutdown = createGracefulShutdown(world, {
      gracePeriod: gracePeriodUs,
      activeRequests: handler.activeRequests,
      closeIdleConnections: closeIdle,
      rejectUnstarted: handler.rejectUnstarted,
      exit: exitGracefully,
    });
    const known = new Map<string, FleetWorker>();
    const appliedTables: RouteTable[] = [];
    const seeds = core.seeds(machine);
    const feed = createControlFeed(world, {
      self,
      member: name,
      zone,
      seeds,
      fetchWorkerList: core.fetchList(name, proc),
      onPeerPrefill: handler.recordPeerActivity,
      additionalKey: {
        key: rehearsalRecordKey,
        version: learningAgent.recordVersion,
        onUpdate: learningAgent.applyUpdate,
      },
      onChange: (what) => {
        if (what === 'configuration') {
          const text = feed.configuration()!.value.toString();
          const t = parseRouteTable(text);
          if (t === undefined || (ground.spoil !== 'invalid-let-through' && validateRouteTable(t).length > 0))
            return void history.unforeseen.push('an invalid document was delivered to a router');
          if (ground.spoil === 'news-withheld' && name === 'r1' && t.revision > 1) return;
          history.applied.push({ at: engine.now(), router: name, life: ownLife, revision: t.revision, text });
          handler.updateRoutes(sabotageRouteTable(ground.spoil, t, appliedTables));
          appliedTables.push(t);
          if (ground.spoil === 'document-set-back' && t.revision > 1)
            world.after(micros(1_000_000), () => {
              const previous = history.applied.find((a) => a.router === name && a.revision < t.revision);
              if (previous === undefined) return;
              history.applied.push({ ...previous, at: engine.now(), life: ownLife });
              handler.updateRoutes(parseRouteTable(previous.text)!);
            });
        } else if (what === 'workers') {
          if (ground.spoil !== 'leaving-hidden') return handler.updateWorkers(feed.workers());
          for (const x of feed.workers()) known.set(x.id, { ...x, leaving: false });
          handler.updateWorkers([...known.values()]);
        }
      },
      onWorkerLoads: (loads) => {
        for (const l of loads)
          handler.updateLoad(l.id, {
            queued: l.queued,
            active: l.active,
            kvUsed: l.kvTotal > 0 ? l.kvUsed / l.kvTotal : 0,
            unresponsive: l.silent,
            reportedAt: l.at,
          });
      },
    });
    controlFeed = feed;
    const gateway = createControlGateway(world, { self, membership: feed.membership, firstStart: ownLife === 1 });
    // A separate generator, so that runs of earlier seeds keep their random draws.
    const relayWorld = { ...world, random: createSeededRandom(hash32(self) + life) };
    if (!holdsControlState) startMembershipRelay(relayWorld, { self, seeds: () => seeds, membership: feed.membership });
    proc.receive = (m, from) => {
      if (m.kind === 'Answer') controlClient.handleAnswer(m);
      else if (holdsControlState || !gateway(m, from)) feed.receive(m, from);
    };
  }

  function closeAll(why: string, power: boolean): void {
    const previous = [...openAttempts.values()];
    openAttempts.clear();
    if (!power) for (const f of previous) f(why);
    for (const l of history.lives) if (l.router === name && l.to === Infinity) Object.assign(l, { to: engine.now() });
    for (const connection of connections) connection.open = false;
    connections.clear();
  }
  function kill(power: boolean): void {
    if (!proc.alive) return;
    if (power) ground.silent.add(machine);
    killProcess(proc);
    requestHandler = undefined;
    closeAll('router killed', power);
  }
  function restartGracefully(): void {
    if (!proc.alive || shutdown?.hasBegun() === true) return;
    shutdown?.begin();
    if (ground.spoil === 'leaves-at-once') exitGracefully();
  }
  function exitGracefully(): void {
    killProcess(proc);
    requestHandler = undefined;
    closeAll('router shut down gracefully', false);
    engine.at(engine.now() + restartDelayUs, start);
  }

  // Requests sent on a connection that has been closed meanwhile are not read, and the client learns of it.
  function closeIdle(): void {
    for (const connection of connections) {
      if (connection.busy || !connection.open) continue;
      connections.delete(connection);
      createPipe(
        engine,
        network,
        machine,
        'clients',
      )(() => {
        connection.open = false;
      });
    }
  }

  function connect(): ClientConnection {
    const connection = { router, open: true, busy: false, used: false };
    connections.add(connection);
    return connection;
  }

  function receiveRequest(
    attempt: AttemptRecord,
    request: IncomingRequest,
    clientHandler: ClientHandler,
    connection: ClientConnection,
  ): () => void {
    const toRouter = createPipe(engine, network, 'clients', machine);
    const toClient = createPipe(engine, network, machine, 'clients');
    const abortController = new AbortController();
    const incarnation = proc.incarnation;
    let isEnded = false;
    // Whether the response head announces that the connection closes; decided when the response starts.
    let closesConnection: boolean | undefined;
    function noteResponseStart(): void {
      closesConnection ??= shutdown?.hasBegun() === true;
    }
    function finish(outcome: AttemptRecord['ended'], why: string, retryAfter?: number): void {
      if (isEnded) return;
      isEnded = true;
      openAttempts.delete(attempt);
      noteResponseStart();
      toClient(() => {
        connection.busy = false;
        connection.used = true;
        if (closesConnection === true || outcome === 'cut') connection.open = false;
        clientHandler.onEnd(outcome, why, retryAfter);
      });
    }
    connection.busy = true;
    openAttempts.set(attempt, (why) => finish(attempt.readAt === undefined ? 'unread' : 'cut', why));
    toRouter(() =>
      deliver(proc, incarnation, () => {
        if (!connections.has(connection)) return finish('unread', 'connection closed');
        attempt.readAt = engine.now();
        const refusal = shutdown?.checkArrival(connection.used);
        if (refusal !== undefined) return finish('refused', refusal.kind, refusal.retryAfterSeconds);
        if (isLeftOut(ground.spoil, attempt.tenant)) return finish('refused', 'overloaded');
        let pieces = 0;
        void requestHandler!.serve(
          request,
          {
            head: () => {
              noteResponseStart();
              toClient(clientHandler.onHead);
            },
            chunk: (b) => {
              const copy = spoilPiece(ground.spoil, b, (pieces += 1));
              if (copy.length > 0) toClient(() => clientHandler.onBytes(copy));
              if (random() > 0.05) return undefined;
              return new Promise((ok) =>
                engine.at(engine.now() + random() * 20_000, () => deliver(proc, incarnation, () => ok())),
              );
            },
            end: () => finish('whole', ''),
            abort: () => finish('cut', 'aborted by the router'),
            respond: (a) => finish([408, 421, 429, 503].includes(a.status) ? 'refused' : 'failed', `${a.status}`),
            reject: (x) => finish(outcomeOf(x), x.kind, x.retryAfterSeconds),
          },
          abortController.signal,
        );
      }),
    );
    return function leave() {
      toRouter(() => deliver(proc, incarnation, () => abortController.abort()));
    };
  }

  const router: VirtualRouter = {
    name,
    machine,
    zone,
    proc,
    start,
    kill,
    restartGracefully,
    wake: () => resumeProcess(engine, proc),
    ready: () => proc.alive && !proc.frozen && shutdown?.hasBegun() !== true && requestHandler?.isReady() === true,
    controlNode: () => (proc.alive ? controlFeed?.source() : undefined),
    metrics: () => ({ ...requestHandler?.metrics(), learning: learning?.metrics() }),
    connect,
    receiveRequest,
  };
  return router;
}
