// The keeper's side of the feed: it answers whoever follows it with a beat, and sends the document, the places
// and the list of workers when what the follower has is older. It looks at the list every so often and tells all
// followers at once what has changed. One keeper looks often, the others now and then, as each look is priced; a
// keeper that the first one's place falls to looks often from then on.
import { every, hash32, micros, rendezvous, type Address, type Message, type World } from '@tansypost/inner-protocol';
import type { ControlNode } from '@tansypost/control-state';
import { documentKey, type WorkerLoad } from './control-feed.js';
import { listDigest, sameListed, type ListedWorker } from './listed-worker.js';

export interface FeedServerOptions {
  readonly keeper: () => ControlNode | undefined;
  readonly fetchList: () => Promise<readonly ListedWorker[] | undefined>;
  // Asks one worker for its load; without it, or with a period of 0, no worker is asked.
  readonly fetchLoad?: (x: ListedWorker) => Promise<Omit<WorkerLoad, 'at' | 'silent'> | undefined>;
  readonly loadEvery?: number;
  readonly lookEvery?: number;
  readonly lookSeldom?: number;
}
export interface FeedServer {
  readonly receive: (m: Message, from: Address) => void;
  readonly followers: () => number;
  readonly workers: () => readonly ListedWorker[];
  readonly stop: () => void;
}
type Told = Omit<WorkerLoad, 'at'> & { readonly at: number };
const followerKept = 3_000_000;
const peersAtMost = 16;
const relayWithin = 40_000;

export function createFeedServer(w: World, o: FeedServerOptions): FeedServer {
  const followers = new Map<Address, number>();
  let list: readonly ListedWorker[] = [];
  let digest = 0;
  let lookedAt = 0;
  let looking = false;
  let askedAt = -Infinity;
  let asking = 0;
  let told: Extract<Message, { kind: 'Reading' }>['reads'] = [];

  function age(): number {
    return Math.round((w.now() - lookedAt) / 1000);
  }

  function live(): Address[] {
    for (const [a, at] of followers) if (w.now() - at > followerKept) followers.delete(a);
    return [...followers.keys()];
  }

  // A follower's part of the others: all of them while they are few.
  function peersOf(from: Address): Address[] {
    const others = live().filter((a) => a !== from);
    return rendezvous(from, others, (a) => a)
      .slice(0, peersAtMost)
      .sort();
  }

  function whole(): Message {
    return { kind: 'WorkerList', base: 0, digest, age: age(), workers: [...list], gone: [] };
  }

  // The first of the live places looks often.
  function period(): number {
    const k = o.keeper();
    const often = o.lookEvery ?? 1_000_000;
    return k === undefined || k.rank() === 0 ? often : (o.lookSeldom ?? 3 * often);
  }

  function tick(): void {
    const now = w.now();
    if (looking || now < askedAt + period() - 50_000) return;
    looking = true;
    askedAt = now;
    o.fetchList().then(looked, () => looked(undefined));
    function looked(xs: readonly ListedWorker[] | undefined): void {
      looking = false;
      if (xs !== undefined) take(xs, now);
    }
  }

  function take(xs: readonly ListedWorker[], at: number): void {
    const had = new Map(list.map((x) => [x.id, x]));
    const ids = new Set(xs.map((x) => x.id));
    const base = digest;
    list = xs;
    digest = listDigest(xs);
    lookedAt = at;
    if (digest === base) return;
    const m: Message =
      base === 0
        ? whole()
        : {
            kind: 'WorkerList',
            base,
            digest,
            age: age(),
            workers: xs.filter((x) => !sameListed(had.get(x.id), x)),
            gone: [...had.keys()].filter((id) => !ids.has(id)),
          };
    for (const a of live()) w.send(a, m);
  }

  function onFollow(m: Extract<Message, { kind: 'Follow' }>, from: Address): void {
    followers.set(from, w.now());
    // Of any other key only what is newer is told, without a beat.
    if (m.key !== documentKey) {
      const k = o.keeper();
      if (k !== undefined && k.replica.row(m.key).version > 0) k.follow(m.key, m.version, m.membershipEpoch, from);
      return;
    }
    const f = o.keeper()?.follow(m.key, m.version, m.membershipEpoch, from);
    if (digest !== 0 && m.list !== digest) w.send(from, whole());
    if (m.peers >= 0) {
      const addresses = peersOf(from);
      const d = hash32(addresses.join());
      if (d !== m.peers)
        w.send(from, { kind: 'Peers', digest: d, addresses, all: live().length - 1 <= addresses.length });
    }
    w.send(from, {
      kind: 'Beat',
      version: f?.version ?? 0,
      membershipEpoch: f?.membershipEpoch ?? 0,
      list: digest,
      age: age(),
      followers: live().length,
      voting: f?.voting ?? false,
    });
  }

  // What routers that are too many to tell each other say goes out to all of them together.
  function relay(m: Extract<Message, { kind: 'Reading' }>): void {
    const first = told.length === 0;
    told.push(...m.reads);
    if (!first) return;
    w.after(micros(relayWithin), () => {
      const reads = told;
      told = [];
      for (const a of live()) w.send(a, { kind: 'Reading', reads });
    });
  }

  // Each worker is asked by one of the live places, in turn.
  function askLoads(): void {
    const k = o.keeper();
    const fetch = o.fetchLoad;
    if (fetch === undefined || k === undefined || asking > 0) return;
    const n = Math.max(1, k.liveReplicas().length);
    const mine = list.filter((_, i) => i % n === k.rank());
    const got: Told[] = [];
    asking = mine.length;
    for (const x of mine) {
      const at = w.now();
      fetch(x).then(
        (l) => end(l === undefined ? noAnswer(x.id, at) : { ...l, silent: false, at }),
        () => end(noAnswer(x.id, at)),
      );
    }
    function noAnswer(id: string, at: number): Told {
      return { id, queued: 0, active: 0, kvUsed: 0, kvTotal: 0, part: '', silent: true, at };
    }
    function end(l: Told): void {
      got.push(l);
      asking -= 1;
      if (asking > 0) return;
      const ls = got.map(({ at, ...x }) => ({ ...x, age: Math.round((w.now() - at) / 1000) }));
      for (const a of live()) w.send(a, { kind: 'WorkerLoads', loads: ls });
    }
  }

  tick();
  const stops = [every(w, () => micros(250_000), tick)];
  if ((o.loadEvery ?? 0) > 0) stops.push(every(w, () => micros(o.loadEvery!), askLoads));
  return {
    receive: (m, from) => {
      if (m.kind === 'Follow') onFollow(m, from);
      else if (m.kind === 'Reading') relay(m);
    },
    followers: () => live().length,
    workers: () => list,
    stop: () => stops.forEach((s) => s()),
  };
}
