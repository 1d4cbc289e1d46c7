/** The feed between two control nodes without replicas and one router, over the simulated network. */
import { expect, it } from 'vitest';
import { micros, createSeededRandom, type Address, type Message } from '@tansypost/inner-protocol';
import { createEngine, createNetwork, createSimProcess, killProcess, createProcessWorld } from '@tansypost/simulator';
import { configurationKey } from './configuration.js';
import { createControlFeed } from './control-feed.js';
import { createFeedServer } from './feed-server.js';
import type { ListedWorker } from './listed-worker.js';

function worker(id: string, leaving = false): ListedWorker {
  return { id, service: 's', address: `${id}:1`, zone: 'z', slots: 1, leaving, coldMs: 0, part: 'decode' };
}

const clockStartMs = 1_790_000_000_000;

/** Two control nodes without replicas, and one router. */
function createFleet(seed: number) {
  const random = createSeededRandom(seed);
  const engine = createEngine();
  const net = createNetwork(engine, random);
  const list: { now: readonly ListedWorker[] | undefined } = { now: [worker('a'), worker('b')] };
  const fetches = { controlNodes: 0, router: 0 };
  const clockReadings: { source: string; wall: number; requestedAt: number; receivedAt: number }[] = [];
  const changes: string[] = [];
  const controlNodes = ['k0', 'k1'].map((name) => {
    const proc = createSimProcess(name, name);
    net.add(`${name}:1`, proc);
    proc.alive = true;
    const server = createFeedServer(
      createProcessWorld(
        engine,
        proc,
        random,
        (to, message) => net.send(proc, `${name}:1`, to, message),
        () => undefined,
      ),
      {
        self: `${name}:1` as Address,
        controlNode: () => undefined,
        fetchWorkerList: async () => {
          fetches.controlNodes += 1;
          return list.now;
        },
        // The second one sends no time of day.
        ...(name === 'k0' ? { wallClock: () => clockStartMs + engine.now() / 1000 } : {}),
      },
    );
    proc.receive = (message, from) => void server.receive(message, from);
    return proc;
  });
  const proc = createSimProcess('r', 'r');
  net.add('r:1', proc);
  proc.alive = true;
  const feed = createControlFeed(
    createProcessWorld(
      engine,
      proc,
      random,
      (to, message) => net.send(proc, 'r:1', to, message),
      () => undefined,
    ),
    {
      self: 'r:1' as Address,
      member: 'r',
      zone: 'z',
      seeds: ['k0:1', 'k1:1'] as Address[],
      fetchWorkerList: async () => {
        fetches.router += 1;
        return list.now;
      },
      onChange: (what) => changes.push(what),
      onClockReading: (source, wall, requestedAt, receivedAt) =>
        clockReadings.push({ source, wall, requestedAt, receivedAt }),
    },
  );
  proc.receive = feed.receive;
  function workers(): string[] {
    return feed.workers().map((listed) => `${listed.id}${listed.leaving ? ' leaving' : ''}`);
  }
  return {
    engine,
    net,
    controlNodes,
    feed,
    list,
    fetches,
    clockReadings,
    changes,
    workers,
    run: (ms: number) => engine.run(engine.now() + ms * 1000),
  };
}

it('brings the worker list to a router within 1.5 s, and never shows a leaving worker as ready again', async () => {
  const fleet = createFleet(1);
  await fleet.run(2000);
  expect(fleet.workers()).toEqual(['a', 'b']);
  expect(fleet.feed.routerCount()).toBe(1);
  fleet.list.now = [worker('a', true), worker('b'), worker('c')];
  await fleet.run(1500);
  expect(fleet.workers()).toEqual(['a leaving', 'b', 'c']);
  fleet.list.now = [worker('a'), worker('b')];
  await fleet.run(1500);
  expect(fleet.workers()).toEqual(['a leaving', 'b']);
  expect(fleet.fetches.router).toBeLessThan(2);
});

it('sends only the changes to a router with the previous list, and the complete list to others', async () => {
  const fleet = createFleet(2);
  const sent: Message[] = [];
  fleet.net.intercept((message) => {
    if (message.kind === 'WorkerList') sent.push(message);
    return undefined;
  });
  await fleet.run(3000);
  const initialCount = sent.length;
  expect(sent.every((message) => message.kind === 'WorkerList' && message.base === 0)).toBe(true);
  fleet.list.now = [worker('a'), worker('b', true)];
  await fleet.run(2000);
  const changes = sent.slice(initialCount);
  expect(changes.length).toBe(2);
  expect(
    changes.every((message) => message.kind === 'WorkerList' && message.base !== 0 && message.workers.length === 1),
  ).toBe(true);
  fleet.net.intercept((message) => (message.kind === 'WorkerList' && message.base !== 0 ? [] : undefined));
  fleet.list.now = [worker('a')];
  await fleet.run(2500);
  expect(fleet.workers()).toEqual(['a']);
});

it('fetches the list itself, not too often, while no control node sends it, and keeps its list if that fails', async () => {
  const fleet = createFleet(3);
  await fleet.run(2000);
  for (const proc of fleet.controlNodes) killProcess(proc);
  fleet.fetches.router = 0;
  fleet.list.now = [worker('a', true)];
  await fleet.run(3000);
  expect(fleet.workers()).toEqual(['a leaving']);
  expect(fleet.fetches.router).toBeLessThan(4);
  fleet.list.now = undefined;
  await fleet.run(10_000);
  expect(fleet.workers()).toEqual(['a leaving']);
  expect(fleet.fetches.router).toBeLessThan(16);
});

it('reports the time of day of control nodes, and between which local times each was read', async () => {
  const fleet = createFleet(4);
  fleet.net.intercept((m) => (m.kind === 'Beat' ? [{ message: m }, { message: m, delayUs: 700_000 }] : undefined));
  await fleet.run(5000);
  expect(fleet.clockReadings.length).toBeGreaterThan(8);
  for (const { source, wall, requestedAt, receivedAt } of fleet.clockReadings) {
    expect(source).toBe('k0:1');
    expect(requestedAt).toBeGreaterThanOrEqual(0);
    expect(wall - clockStartMs).toBeGreaterThanOrEqual(requestedAt / 1000 - 1);
    expect(wall - clockStartMs).toBeLessThanOrEqual(receivedAt / 1000 + 1);
    expect(receivedAt - requestedAt).toBeLessThan(10_000);
  }
});

it('never returns to an older configuration or membership', () => {
  const changes: string[] = [];
  const receivers: string[] = [];
  let asked = 0;
  const timers: (() => void)[] = [];
  let now = 0;
  const feed = createControlFeed(
    {
      now: () => micros(now),
      random: () => 0.5,
      after: (_delay, run) => {
        timers.push(run);
        return () => undefined;
      },
      send: (to, message) => {
        receivers.push(to);
        if (message.kind === 'Follow') asked = message.asked;
      },
      log: () => undefined,
    },
    {
      self: 'r:1' as Address,
      member: 'r',
      zone: 'z',
      seeds: ['k0:1' as Address],
      fetchWorkerList: async () => undefined,
      onChange: (what) => changes.push(what),
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
  feed.receive(
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
  for (const [version, membershipEpoch] of [
    [2, 5],
    [1, 4],
    [2, 5],
    [4, 6],
    [3, 5],
  ] as const)
    feed.receive(news(version, membershipEpoch), 'k0:1' as Address);
  expect(feed.configuration()).toEqual({ version: 4, value: Buffer.from('v4') });
  expect(changes).toEqual(['configuration', 'configuration']);
  receivers.length = 0;
  now = 3_000_000;
  timers[0]!();
  expect(receivers).toEqual(['g6:1', 'k0:1']);
});
