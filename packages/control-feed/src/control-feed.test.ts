import { expect, it } from 'vitest';
import { micros, createSeededRandom, type Address, type Message } from '@tansypost/inner-protocol';
import { createEngine, createNetwork, createProc, die, procWorld } from '@tansypost/simulator';
import { configurationKey } from './configuration.js';
import { createControlFeed } from './control-feed.js';
import { createFeedServer } from './feed-server.js';
import type { ListedWorker } from './listed-worker.js';

function worker(id: string, leaving = false): ListedWorker {
  return { id, service: 's', address: `${id}:1`, zone: 'z', slots: 1, leaving, coldMs: 0, part: 'decode' };
}

const startOfClocks = 1_790_000_000_000;

// Two keepers without a core behind them, and one router.
function world(seed: number) {
  const r = createSeededRandom(seed);
  const e = createEngine();
  const net = createNetwork(e, r);
  const list: { now: readonly ListedWorker[] | undefined } = { now: [worker('a'), worker('b')] };
  const looks = { keepers: 0, router: 0 };
  const times: { source: string; wall: number; askedAt: number; heardAt: number }[] = [];
  const changed: string[] = [];
  const ks = ['k0', 'k1'].map((name) => {
    const proc = createProc(name, name);
    net.add(`${name}:1`, proc);
    proc.alive = true;
    const k = createFeedServer(
      procWorld(
        e,
        proc,
        r,
        (to, m) => net.send(proc, `${name}:1`, to, m),
        () => undefined,
      ),
      {
        self: `${name}:1` as Address,
        controlNode: () => undefined,
        fetchWorkerList: async () => {
          looks.keepers += 1;
          return list.now;
        },
        // The second one tells no time.
        ...(name === 'k0' ? { wallClock: () => startOfClocks + e.now() / 1000 } : {}),
      },
    );
    proc.receive = (m, from) => void k.receive(m, from);
    return proc;
  });
  const proc = createProc('r', 'r');
  net.add('r:1', proc);
  proc.alive = true;
  const feed = createControlFeed(
    procWorld(
      e,
      proc,
      r,
      (to, m) => net.send(proc, 'r:1', to, m),
      () => undefined,
    ),
    {
      self: 'r:1' as Address,
      member: 'r',
      zone: 'z',
      seeds: ['k0:1', 'k1:1'] as Address[],
      fetchWorkerList: async () => {
        looks.router += 1;
        return list.now;
      },
      onChange: (what) => changed.push(what),
      onClockReading: (source, wall, askedAt, heardAt) => times.push({ source, wall, askedAt, heardAt }),
    },
  );
  proc.receive = feed.receive;
  function shown(): string[] {
    return feed.workers().map((x) => `${x.id}${x.leaving ? ' leaving' : ''}`);
  }
  return { e, net, ks, feed, list, looks, times, changed, shown, run: (ms: number) => e.run(e.now() + ms * 1000) };
}

it('shows a router within a second and a half what the list shows, and never a leaving worker as ready again', async () => {
  const x = world(1);
  await x.run(2000);
  expect(x.shown()).toEqual(['a', 'b']);
  expect(x.feed.routerCount()).toBe(1);
  x.list.now = [worker('a', true), worker('b'), worker('c')];
  await x.run(1500);
  expect(x.shown()).toEqual(['a leaving', 'b', 'c']);
  x.list.now = [worker('a'), worker('b')];
  await x.run(1500);
  expect(x.shown()).toEqual(['a leaving', 'b']);
  expect(x.looks.router).toBeLessThan(2);
});

it('sends what changed alone, and the whole to who has another list', async () => {
  const x = world(2);
  const sent: Message[] = [];
  x.net.tamper((m) => {
    if (m.kind === 'WorkerList') sent.push(m);
    return undefined;
  });
  await x.run(3000);
  const whole = sent.length;
  expect(sent.every((m) => m.kind === 'WorkerList' && m.base === 0)).toBe(true);
  x.list.now = [worker('a'), worker('b', true)];
  await x.run(2000);
  const part = sent.slice(whole);
  expect(part.length).toBe(2);
  expect(part.every((m) => m.kind === 'WorkerList' && m.base !== 0 && m.workers.length === 1)).toBe(true);
  x.net.tamper((m) => (m.kind === 'WorkerList' && m.base !== 0 ? [] : undefined));
  x.list.now = [worker('a')];
  await x.run(2500);
  expect(x.shown()).toEqual(['a']);
});

it('looks at the list itself, not too often, while no keeper tells of it, and keeps what it knows when it cannot', async () => {
  const x = world(3);
  await x.run(2000);
  for (const k of x.ks) die(k);
  x.looks.router = 0;
  x.list.now = [worker('a', true)];
  await x.run(3000);
  expect(x.shown()).toEqual(['a leaving']);
  expect(x.looks.router).toBeLessThan(4);
  x.list.now = undefined;
  await x.run(10_000);
  expect(x.shown()).toEqual(['a leaving']);
  expect(x.looks.router).toBeLessThan(16);
});

it('says what time control nodes tell, and between which moments each has read it', async () => {
  const x = world(4);
  x.net.tamper((m) => (m.kind === 'Beat' ? [{ m }, { m, after: 700_000 }] : undefined));
  await x.run(5000);
  expect(x.times.length).toBeGreaterThan(8);
  for (const { source, wall, askedAt, heardAt } of x.times) {
    expect(source).toBe('k0:1');
    expect(askedAt).toBeGreaterThanOrEqual(0);
    expect(wall - startOfClocks).toBeGreaterThanOrEqual(askedAt / 1000 - 1);
    expect(wall - startOfClocks).toBeLessThanOrEqual(heardAt / 1000 + 1);
    expect(heardAt - askedAt).toBeLessThan(10_000);
  }
});

it('never goes back to an older configuration or an older membership', () => {
  const got: string[] = [];
  const to: string[] = [];
  let asked = 0;
  const timers: (() => void)[] = [];
  let now = 0;
  const f = createControlFeed(
    {
      now: () => micros(now),
      random: () => 0.5,
      after: (_d, g) => {
        timers.push(g);
        return () => undefined;
      },
      send: (a, m) => {
        to.push(a);
        if (m.kind === 'Follow') asked = m.asked;
      },
      log: () => undefined,
    },
    {
      self: 'r:1' as Address,
      member: 'r',
      zone: 'z',
      seeds: ['k0:1' as Address],
      fetchWorkerList: async () => undefined,
      onChange: (what) => got.push(what),
    },
  );
  function news(version: number, membershipEpoch: number): Message {
    const replicas = [{ slot: 0, address: `g${membershipEpoch}:1`, disk: 'd' }];
    return {
      kind: 'News',
      news: [{ key: configurationKey, epoch: 1, version, value: Buffer.from(`v${version}`) }],
      membershipEpoch,
      replicas,
    };
  }
  f.receive(
    {
      kind: 'Beat',
      version: 2,
      membershipEpoch: 5,
      list: 0,
      age: 0,
      followers: 1,
      voting: true,
      leased: true,
      zone: 'z',
      asked,
      wall: 0,
    },
    'k0:1' as Address,
  );
  for (const [v, g] of [
    [2, 5],
    [1, 4],
    [2, 5],
    [4, 6],
    [3, 5],
  ] as const)
    f.receive(news(v, g), 'k0:1' as Address);
  expect(f.configuration()).toEqual({ version: 4, value: Buffer.from('v4') });
  expect(got).toEqual(['configuration', 'configuration']);
  to.length = 0;
  now = 3_000_000;
  timers[0]!();
  expect(to).toEqual(['g6:1', 'k0:1']);
});
