// What a router hears of the core: the document in force, the workers there are and their loads. It follows
// every keeper it knows of with one small message; a keeper answers with a beat and sends only what is newer.
// Keepers tell which machines hold the core's places now, so that a router outlives all of its seeds. Without
// news of the workers for a while it looks at the list itself, and with nobody to tell it, it goes on with what it has.
import {
  every,
  hash32,
  micros,
  type Address,
  type Message,
  type Micros,
  type NewsItem,
  type World,
} from '@tansypost/inner-protocol';
import { fromWire, listDigest, type ListedWorker } from './listed-worker.js';
import { createWorkerBook } from './worker-book.js';

export const documentKey = 'paths/main';

// `at` is the local time that the figures stand for.
export interface WorkerLoad {
  readonly id: string;
  readonly queued: number;
  readonly active: number;
  readonly kvUsed: number;
  readonly kvTotal: number;
  readonly part: string;
  // It was asked and did not answer; the figures say nothing then.
  readonly silent: boolean;
  readonly at: Micros;
}
export interface ControlFeedOptions {
  readonly self: Address;
  readonly member: string;
  readonly zone: string;
  readonly seeds: readonly Address[];
  readonly fetchList: () => Promise<readonly ListedWorker[] | undefined>;
  readonly changed: (what: 'document' | 'workers' | 'loads') => void;
  // Another router has sent a worker a prompt that takes so long to read, in microseconds.
  readonly elsewhere?: (worker: string, service: number, bad: boolean) => void;
  // A second key to be told of, with the version that is had here, and what is told of any other key.
  readonly more?: { readonly key: string; readonly version: () => number; readonly take: (n: NewsItem) => void };
  readonly followEvery?: number;
  // How old the newest look at the list may get before the router looks itself.
  readonly listPatience?: number;
}
export interface ControlFeed {
  readonly receive: (m: Message, from: Address) => void;
  readonly document: () => { readonly version: number; readonly value: Buffer } | undefined;
  readonly workers: () => readonly ListedWorker[];
  readonly loads: () => ReadonlyMap<string, WorkerLoad>;
  // How many routers follow the core, as the keepers count them; 0 when none has told.
  readonly routers: () => number;
  readonly heardCore: () => boolean;
  // The keepers heard that hold a place, in an order that is the same for all routers.
  readonly keepers: () => readonly Address[];
  // Tells the other routers of a read; those within a moment go out together.
  readonly reading: (worker: string, service: number, bad?: boolean) => void;
  // The seeds of a settings file that has changed.
  readonly reseed: (seeds: readonly Address[]) => void;
  readonly stop: () => void;
}
interface Source {
  heardAt: number;
  voting: boolean;
  followers: number;
  // The digest of the list as this keeper last told it.
  list: number;
}
const coreSilence = 2_000_000;
const firstFollow = 120_000;
const firstLook = 200_000;
const leastTold = 20_000;
const leastRelayed = 40_000;
const tellWithin = 5_000;
const ownLookAgain = 700_000;
const moreEvery = 10_000_000;

export function createControlFeed(w: World, o: ControlFeedOptions): ControlFeed {
  const book = createWorkerBook();
  const sources = new Map<Address, Source>();
  const loads = new Map<string, WorkerLoad>();
  let seeds = o.seeds;
  let replicas: readonly Address[] = [];
  let membershipEpoch = 0;
  let peers: readonly Address[] = [];
  let peersKnown = 0;
  let peersAll = true;
  let reads: { worker: string; service: number; bad: boolean; by: number }[] = [];
  const me = hash32(o.self);
  let doc: { version: number; value: Buffer } | undefined;
  let moreAt = 0;
  let looking = false;
  // A keeper that is up tells within moments; only then is it worth a look of its own.
  let lookAgain = w.now() + firstLook * (1 + 2 * w.random());
  const patience = o.listPatience ?? 1_500_000;

  function heardCore(): boolean {
    for (const s of sources.values()) if (s.voting && w.now() - s.heardAt < coreSilence) return true;
    return false;
  }

  function source(a: Address): Source {
    let s = sources.get(a);
    if (s === undefined) sources.set(a, (s = { heardAt: -Infinity, voting: false, followers: 0, list: 0 }));
    return s;
  }

  // One keeper tells of the other routers, as what two of them know may differ for a moment.
  function teller(): Address | undefined {
    return keepers()[0];
  }
  function keepers(): Address[] {
    return [...sources].flatMap(([a, s]) => (s.voting && w.now() - s.heardAt < coreSilence ? [a] : [])).sort();
  }

  function follow(a: Address): void {
    w.send(a, {
      kind: 'Follow',
      key: documentKey,
      version: doc?.version ?? 0,
      membershipEpoch,
      list: source(a).list,
      peers: a === teller() ? peersKnown : -1,
    });
  }

  function tick(): void {
    const to = new Set(replicas.length === 0 || !heardCore() ? [...replicas, ...seeds] : replicas);
    for (const a of to) follow(a);
    for (const a of sources.keys()) if (!to.has(a)) sources.delete(a);
    followMore();
    lookYourself();
  }

  // What is pushed to all may have been missed: so one keeper is asked now and then.
  function followMore(): void {
    const a = teller();
    if (o.more === undefined || a === undefined || w.now() < moreAt) return;
    moreAt = w.now() + moreEvery;
    w.send(a, {
      kind: 'Follow',
      key: o.more.key,
      version: o.more.version(),
      membershipEpoch,
      list: source(a).list,
      peers: -1,
    });
  }

  function lookYourself(): void {
    const now = w.now();
    if (looking || now < lookAgain || now - book.newest() < patience) return;
    looking = true;
    lookAgain = now + ownLookAgain + w.random() * ownLookAgain;
    o.fetchList().then(looked, () => looked(undefined));
    function looked(xs: readonly ListedWorker[] | undefined): void {
      looking = false;
      if (xs !== undefined && book.look('', { at: now, workers: xs })) o.changed('workers');
    }
  }

  function onList(m: Extract<Message, { kind: 'WorkerList' }>, from: Address): void {
    const s = source(from);
    const had = m.base === 0 ? [] : (book.lookOf(from)?.workers ?? []);
    if (m.base !== 0 && m.base !== s.list) return follow(from);
    const by = new Map(had.map((x) => [x.id, x]));
    for (const id of m.gone) by.delete(id);
    for (const x of m.workers) by.set(x.id, fromWire(x));
    const xs = [...by.values()];
    if (listDigest(xs) !== m.digest) {
      s.list = 0;
      return;
    }
    s.list = m.digest;
    if (book.look(from, { at: w.now() - m.age * 1000, workers: xs })) o.changed('workers');
  }

  function receive(m: Message, from: Address): void {
    if (m.kind === 'Beat') {
      const s = source(from);
      Object.assign(s, { heardAt: w.now(), voting: m.voting, followers: m.followers });
      if (m.list !== 0 && m.list === s.list && book.again(from, w.now() - m.age * 1000)) o.changed('workers');
    } else if (m.kind === 'News') {
      if (m.membershipEpoch > membershipEpoch && m.replicas.length > 0) {
        membershipEpoch = m.membershipEpoch;
        replicas = m.replicas.map((p) => p.address as Address);
      }
      for (const n of m.news) {
        if (n.key !== documentKey) {
          o.more?.take(n);
          continue;
        }
        if (n.version <= (doc?.version ?? 0)) continue;
        doc = { version: n.version, value: Buffer.from(n.value) };
        o.changed('document');
      }
    } else if (m.kind === 'Peers') {
      peersKnown = m.digest;
      peers = m.addresses as Address[];
      peersAll = m.all;
    } else if (m.kind === 'Reading') {
      for (const x of m.reads) if (x.by !== me) o.elsewhere?.(x.worker, x.service, x.bad);
    } else if (m.kind === 'WorkerList') onList(m, from);
    else if (m.kind === 'WorkerLoads') {
      for (const { age, ...x } of m.loads) {
        const at = micros(w.now() - age * 1000);
        if ((loads.get(x.id)?.at ?? -Infinity) <= at) loads.set(x.id, { ...x, at });
      }
      for (const [id, x] of loads) if (w.now() - x.at > 60_000_000) loads.delete(id);
      o.changed('loads');
    }
  }

  function reading(worker: string, service: number, bad = false): void {
    if (peers.length === 0 || (!bad && service < (peersAll ? leastTold : leastRelayed))) return;
    reads.push({ worker, service: Math.round(service), bad, by: me });
    if (reads.length > 1) return;
    w.after(micros(tellWithin), () => {
      const keeper = teller();
      const to = peersAll ? peers : keeper === undefined ? [] : [keeper];
      for (const a of to) w.send(a, { kind: 'Reading', reads });
      reads = [];
    });
  }

  tick();
  // One that has just started asks often until it has the document.
  const stop = every(
    w,
    () => micros((doc === undefined ? firstFollow : (o.followEvery ?? 450_000)) * (0.9 + 0.2 * w.random())),
    tick,
  );
  return {
    receive,
    document: () => doc,
    workers: () => book.workers(w.now()),
    loads: () => loads,
    routers: () =>
      Math.max(0, ...[...sources.values()].filter((s) => w.now() - s.heardAt < 3_000_000).map((s) => s.followers)),
    heardCore,
    keepers,
    reading,
    reseed: (x) => {
      seeds = x;
    },
    stop,
  };
}
