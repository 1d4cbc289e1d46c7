/**
 * The form with one process a machine, at some size: hollow routers follow five keepers through the real feed, and are
 * told the document, the workers, their loads and each other's reads. No worker exists and no request is served.
 */
import * as E from 'fp-ts/lib/Either.js';
import {
  createControlFeed,
  createCoreAsker,
  createFeedServer,
  createReplicaList,
  configurationKey,
  type ControlFeed,
  type CoreAnswer,
  type ListedWorker,
} from '@tansypost/control-feed';
import { readJournal } from '@tansypost/control-state';
import type { Address } from '@tansypost/inner-protocol';
import { createCourse, type Course } from '@tansypost/pass-through';
import type { PathTable } from '@tansypost/paths';
import { createControlNodeHost, type ControlNodeHost } from '@tansypost/control-node';
import { createCapacityGround, regionOf, zones, type CapacityGround, type RoleFigures } from './capacity-ground.js';
import { heapNow } from './capacity-memory.js';
import type { CapacitySize } from './capacity-sizes.js';
import { createProc } from './process.js';
import { createSimDisk } from './sim-disk.js';

export interface FollowersOptions {
  readonly seed: number;
  // Seconds of the steady state, and of regions apart.
  readonly steady: number;
  readonly apart: number;
  // Requests a second and router.
  readonly reads: number;
  readonly loads: boolean;
  // Whether changes, leaving workers and cuts are played after the steady state.
  readonly scenes: boolean;
}
export interface FollowersFigures {
  readonly replicas: number;
  readonly router: RoleFigures;
  readonly keeper: RoleFigures;
  readonly routerHeap: number;
  readonly controlNodeHeap: number;
  // From the acknowledgement of a change until the last router has it; from the end of a lag-free list; and from the end of a cut.
  readonly changeMs: readonly number[];
  readonly ackMs: readonly number[];
  readonly leavingMs: readonly number[];
  readonly zoneMs: readonly number[];
  readonly apartMs: readonly number[];
  // Whether a change was taken while regions were apart, by the larger side and by the smaller.
  readonly apartTaken: readonly string[];
  readonly documentBytes: number;
  // Bytes and messages in which all machines together send one change to routers, beside the steady state.
  readonly changeBytes: number;
  readonly changeMessages: number;
}
interface Core {
  readonly host: ControlNodeHost;
  readonly zone: number;
  readonly ask: (revision: number) => Promise<CoreAnswer>;
  readonly stop: () => void;
}
const second = 1_000_000;
const models = 13;
const tenants = 200;
const controlNodeZones = [0, 1, 3, 4, 6];

export function documentOf(revision: number): PathTable {
  return {
    revision,
    paths: Array.from({ length: tenants }, (_, i) => ({
      name: `tenant-${i}`,
      host: `tenant-${i}.example`,
      prefix: `/t${i}/`,
      budget: 8_000_000,
      aim: 440_000,
      pause: 28_000,
      rank: i % 3,
      streaming: true,
      repeatable: false,
      resumable: i % 2 === 0,
      sends: 3,
      shares: [{ service: `model-${i % models}`, weight: 1 }],
    })),
    services: Array.from({ length: models }, (_, i) => ({
      name: `model-${i}`,
      vitalsPath: '/health',
      connections: 360,
      slots: 64,
      kvTokens: 400_000,
      tokenBytes: 18_432,
      linkMbps: 740_000,
      handleTtl: 10_000_000,
      switchTime: 2_000_000,
    })),
    limits: { headBytes: 16_384, bodyBytes: 1_048_576, headTime: 5_000_000, idleTime: 60_000_000 },
  };
}

// 34 % of the workers read.
export function listOf(workers: number): ListedWorker[] {
  return Array.from({ length: workers }, (_, i) => ({
    id: `i-${(0x10000000 + i * 7919).toString(16)}`,
    service: `model-${i % models}`,
    address: `10.${128 + (i % zones)}.${i >> 8}.${i & 255}:8080`,
    zone: `zone-${i % zones}`,
    slots: 64,
    leaving: false,
    coldMs: 0,
    part: (i * 37) % 100 < 34 ? 'prefill' : 'decode',
  }));
}

function startControlNode(
  g: CapacityGround,
  i: number,
  seeds: readonly Address[],
  list: () => ListedWorker[],
  loads: boolean,
): Core {
  const m = g.add(`keeper${i}`, 'keeper', controlNodeZones[i]!);
  const w = g.world(m);
  const proc = createProc(m.address, m.address);
  proc.alive = true;
  const disk = createSimDisk(g.e, g.random);
  const host = createControlNodeHost(w, {
    slot: undefined,
    foundingSlot: seeds.includes(m.address) ? seeds.indexOf(m.address) : undefined,
    founds: true,
    rejoins: true,
    firstPause: 300_000,
    longestPause: second,
    self: m.address,
    core: [...seeds],
    seeds: [],
    tenure: 10 * second,
    dutyTenure: 3 * second,
    sweepEvery: 2 * second,
    newDiskId: () => `d${i}`,
    open: async () => {
      const f = readJournal(disk.bytes());
      return E.right({ disk: disk.open(proc), found: E.isRight(f) ? f.right.records : [], cut: 0 });
    },
  });
  const asker = createCoreAsker(
    w,
    m.address,
    createReplicaList(host.core, m.address, () => seeds),
  );
  const feed = createFeedServer(w, {
    self: m.address,
    zone: `zone-${m.zone}`,
    keeper: host.core,
    fetchList: () => new Promise((ok) => g.later(m, 3000, () => ok(list()))),
    fetchLoad: (x) => {
      const l = { id: x.id, queued: 2, active: 12, kvUsed: 120_000, kvTotal: 400_000, part: x.part };
      return new Promise((ok) => g.later(m, 2000, () => ok(l)));
    },
    loadEvery: loads ? second : 0,
  });
  m.receive = (x, from) => {
    if (x.kind === 'Answer') asker.answer(x);
    else if (!feed.receive(x, from)) host.receive(x, from);
  };
  void host.begin();
  function question(q: Parameters<typeof asker.ask>[0]): Promise<CoreAnswer> {
    return new Promise((done) => asker.ask(q, done));
  }
  async function ask(revision: number): Promise<CoreAnswer> {
    const limit = g.e.now() + 2 * second;
    const was = await question({ op: 'read', key: configurationKey, limit });
    if (was.status !== 'value') return was;
    const value = Buffer.from(JSON.stringify(documentOf(revision)));
    return question({ op: 'write', key: configurationKey, change: `c${revision}`, base: was.version, value, limit });
  }
  return {
    host,
    zone: m.zone,
    ask,
    stop: () => {
      feed.stop();
      void host.stop();
    },
  };
}

interface Router {
  readonly zone: number;
  readonly feed: ControlFeed;
  readonly course: Course;
  revision: number;
  heardAt: number;
  stopped: boolean;
}

async function none(): Promise<{ tag: 'unsent'; why: string }> {
  return { tag: 'unsent', why: 'hollow' };
}

function startRouter(
  g: CapacityGround,
  i: number,
  seeds: readonly Address[],
  list: () => ListedWorker[],
  reads: () => number,
): Router {
  const zone = i % zones;
  const m = g.add(`router${i}`, 'router', zone);
  const w = g.world(m);
  const budget = { share: 0.2, always: 58, window: 10 * second, routers: () => Math.max(4, feed.routers()) };
  function regionOfName(name: string): string {
    return `${regionOf(Number(name.slice('zone-'.length)))}`;
  }
  const course = createCourse(
    w,
    { zone: `zone-${zone}`, regionOf: regionOfName, budget },
    { workers: { read: none, run: none, free: () => undefined } },
  );
  const r: Router = { zone, course, feed: undefined as never, revision: 0, heardAt: 0, stopped: false };
  const feed = createControlFeed(w, {
    self: m.address,
    member: m.address,
    zone: `zone-${zone}`,
    regionOf: regionOfName,
    seeds,
    fetchList: () => new Promise((ok) => g.later(m, 3000, () => ok(list()))),
    elsewhere: course.elsewhere,
    changed: (what) => {
      if (what === 'workers') course.workers(feed.workers());
      else if (what === 'configuration') {
        const t = JSON.parse(feed.configuration()!.value.toString()) as PathTable;
        course.paths(t);
        Object.assign(r, { revision: t.revision, heardAt: g.e.now() });
      } else
        for (const l of feed.loads().values())
          course.told(l.id, {
            queued: l.queued,
            active: l.active,
            kvUsed: l.kvUsed / l.kvTotal,
            silent: l.silent,
            at: l.at,
          });
    },
  });
  m.receive = feed.receive;
  function read(): void {
    if (r.stopped) return;
    const rate = reads();
    if (rate > 0) {
      const ws = list();
      feed.reading(ws[Math.floor(g.random() * ws.length)]!.id, 60_000 + Math.floor(60_000 * g.random()));
    }
    w.after(Math.round((second / Math.max(0.5, rate)) * -Math.log(1 - g.random())) as never, read);
  }
  read();
  return Object.assign(r, { feed });
}

export async function measureFollowers(s: CapacitySize, o: FollowersOptions): Promise<FollowersFigures> {
  const g = createCapacityGround(o.seed);
  const before = heapNow();
  let list = listOf(s.workers);
  let reads = 0;
  const seeds = [0, 1, 2].map((i) => `keeper${i}:1` as Address);
  const cores = controlNodeZones.map((_, i) => startControlNode(g, i, seeds, () => list, o.loads));
  await g.run(6 * second);
  const controlNodesOnly = heapNow();
  let routers = Array.from({ length: s.members }, (_, i) =>
    startRouter(
      g,
      i,
      seeds,
      () => list,
      () => reads,
    ),
  );
  let revision = 0;

  // Until that holds, looked at every millisecond; Infinity after 30 s.
  async function until(f: () => boolean): Promise<number> {
    const from = g.e.now();
    while (!f()) {
      if (g.e.now() - from > 30 * second) return Infinity;
      await g.run(1000);
    }
    return (g.e.now() - from) / 1000;
  }
  async function change(c: Core): Promise<{ status: string; ack: number; at: number }> {
    revision += 1;
    const from = g.e.now();
    let end: { status: string; at: number } | undefined;
    void c.ask(revision).then((a) => {
      end = { status: a.status, at: g.e.now() };
    });
    await until(() => end !== undefined);
    return { status: end?.status ?? 'none', at: end?.at ?? Infinity, ack: ((end?.at ?? Infinity) - from) / 1000 };
  }
  function all(rs: readonly Router[]): boolean {
    return rs.every((r) => r.revision === revision);
  }
  async function spreadMs(at: number): Promise<number> {
    if ((await until(() => all(routers))) === Infinity) return Infinity;
    return (Math.max(...routers.map((r) => r.heardAt)) - at) / 1000;
  }

  await change(cores[0]!);
  await until(() => all(routers) && routers.every((r) => r.feed.workers().length === s.workers));
  await g.run(3 * second);
  reads = o.reads;
  await g.run(2 * second);
  g.begin();
  await g.run(o.steady * second);
  const steady = g.end();
  reads = 0;
  const full = heapNow();
  const replicas = cores[0]!.host.core()?.replica.membership().replicas.length ?? 0;

  const [changeMs, ackMs, leavingMs, zoneMs, apartMs]: [number[], number[], number[], number[], number[]] = [
    [],
    [],
    [],
    [],
    [],
  ];
  let apartTaken: readonly string[] = [];
  let changeBytes = 0;
  let changeMessages = 0;
  if (o.scenes) await scenes();

  async function scenes(): Promise<void> {
    g.begin();
    for (let n = 0; n < 3; n += 1) {
      const x = await change(cores[n]!);
      ackMs.push(x.ack);
      changeMs.push(await spreadMs(x.at));
      await g.run(second);
    }
    const carriers = (['News', 'ConfigurationPatch'] as const).map(g.sentOf);
    changeBytes = carriers.reduce((sum, x) => sum + x.bytes, 0) / 3;
    changeMessages = carriers.reduce((sum, x) => sum + x.messages, 0) / 3;

    for (let n = 0; n < 3; n += 1) {
      const { id } = list[n * 3]!;
      list = list.map((x) => (x.id === id ? { ...x, leaving: true } : x));
      leavingMs.push(
        await until(() => routers.every((r) => r.feed.workers().find((x) => x.id === id)?.leaving === true)),
      );
      await g.run(150_000 + 700_000 * g.random());
    }

    g.cut((a, b) => a !== b && (a === 0 || b === 0));
    await g.run(4 * second);
    await change(cores[2]!);
    await g.run(4 * second);
    g.cut(undefined);
    zoneMs.push(await until(() => all(routers)));

    g.cut((a, b) => regionOf(a) !== regionOf(b) && (regionOf(a) === 0 || regionOf(b) === 0));
    await g.run(4 * second);
    const far = await change(cores[0]!);
    if (far.status !== 'done') revision -= 1;
    const near = await change(cores[2]!);
    if (near.status !== 'done') revision -= 1;
    await g.run(Math.max(0, o.apart - 8) * second);
    g.cut(undefined);
    apartMs.push(await until(() => all(routers)));
    apartTaken = [near.status, far.status];
  }

  for (const r of routers) {
    r.feed.stop();
    r.stopped = true;
  }
  for (const c of cores) c.stop();
  await g.run(4 * second);
  routers = [];
  return {
    replicas,
    router: steady['router']!,
    keeper: steady['keeper']!,
    routerHeap: (full - controlNodesOnly) / s.members,
    controlNodeHeap: (controlNodesOnly - before) / cores.length,
    changeMs,
    ackMs,
    leavingMs,
    zoneMs,
    apartMs,
    apartTaken,
    documentBytes: JSON.stringify(documentOf(revision)).length,
    changeBytes,
    changeMessages,
  };
}
