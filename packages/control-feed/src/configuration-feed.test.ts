/**
 * The configuration on its way from control nodes to routers, over the simulated network. The control nodes' replicas are
 * stood in for: what each knows to be on a majority, and whether it holds a lease, is set by the test.
 */
import { expect, it } from 'vitest';
import type { ControlNode } from '@tansypost/control-state';
import {
  micros,
  createSeededRandom,
  type Address,
  type MessageKind,
  type Message,
  type World,
} from '@tansypost/inner-protocol';
import { createEngine, createNetwork, createProc, die, procWorld, wake, type Proc } from '@tansypost/simulator';
import { configurationKey } from './configuration.js';
import { createControlFeed, type ControlFeed } from './control-feed.js';
import { createFeedServer } from './feed-server.js';

interface Replica {
  readonly name: string;
  readonly address: Address;
  readonly proc: Proc;
  version: number;
  leased: boolean;
  /** The version of the second key. */
  second: number;
}
interface Router {
  readonly name: string;
  readonly feed: ControlFeed;
  readonly proc: Proc;
  /** Versions as they were taken, with the time in milliseconds. */
  readonly taken: { readonly version: number; readonly at: number }[];
  /** Versions of the second key as they were told. */
  readonly second: number[];
}
const secondKey = 'second/main';
const zones = ['east', 'west', 'south'];
const contactTime = 3_000_000;

function valueOf(version: number): Buffer {
  const routes = Array.from({ length: 40 }, (_, i) => ({
    name: `route-${i}`,
    weight: i === version % 40 ? version : 0,
  }));
  return Buffer.from(JSON.stringify({ revision: version, routes }));
}

function createFleet(seed: number) {
  const random = createSeededRandom(seed);
  const engine = createEngine();
  const net = createNetwork(engine, random);
  const sent: { readonly kind: MessageKind; readonly from: string; readonly to: string; readonly message: Message }[] =
    [];
  net.tamper((message, from, to) => {
    if (from !== to) sent.push({ kind: message.kind, from, to, message });
    return undefined;
  });

  function worldOf(proc: Proc, address: Address): World {
    return procWorld(
      engine,
      proc,
      random,
      (to, message) => net.send(proc, address, to, message),
      () => undefined,
    );
  }

  function startProc(name: string): { proc: Proc; address: Address; world: World } {
    const proc = createProc(name, name);
    const address = `${name}:1` as Address;
    net.add(address, proc);
    proc.alive = true;
    return { proc, address, world: worldOf(proc, address) };
  }

  const addresses = zones.map((_, i) => `c${i}:1` as Address);
  const pushes = new Map<Replica, () => void>();
  const secondPushes = new Map<Replica, () => void>();
  const replicas = zones.map((zone, i): Replica => {
    const { proc, address, world } = startProc(`c${i}`);
    const replica: Replica = { name: `c${i}`, address, proc, version: 0, leased: true, second: 0 };
    function tell(): void {
      const news = [{ key: configurationKey, epoch: 1, version: replica.version, value: valueOf(replica.version) }];
      world.send(address, { kind: 'News', news, membershipEpoch: 1, replicas: [] });
    }
    function tellSecond(): void {
      const news = [{ key: secondKey, epoch: 1, version: replica.second, value: Buffer.from('second') }];
      world.send(address, { kind: 'News', news, membershipEpoch: 1, replicas: [] });
    }
    pushes.set(replica, tell);
    secondPushes.set(replica, tellSecond);
    const members = addresses.map((member, slot) => ({ slot, address: member, disk: `d${slot}` }));
    const node = {
      follow: (key: string, version: number) => {
        if (key === secondKey) return followSecond(replica, version, tellSecond);
        if (replica.version > version) tell();
        return { version: replica.version, membershipEpoch: 1, voting: true, leased: replica.leased };
      },
      rankAmongLive: () => i,
      liveReplicas: () => addresses,
      replica: {
        state: () => 'voting',
        membership: () => ({ membershipEpoch: 1, replicas: members }),
        row: () => ({ version: replica.second }),
      },
    } as unknown as ControlNode;
    const server = createFeedServer(world, {
      self: address,
      zone,
      controlNode: () => node,
      fetchWorkerList: async () => undefined,
    });
    proc.receive = (message, from) => void server.receive(message, from);
    return replica;
  });

  /** A version is on a majority, and these replicas know it. */
  function commit(version: number, at: readonly Replica[] = replicas): void {
    for (const replica of at) {
      replica.version = version;
      if (replica.proc.alive && !replica.proc.frozen) pushes.get(replica)!();
    }
  }

  /** The leader of the second key has written it; the other replicas hold it too. */
  function writeSecond(version: number, leader: Replica): void {
    for (const replica of replicas) replica.second = version;
    secondPushes.get(leader)!();
  }

  function router(name: string, zone = 'east'): Router {
    const { proc, address, world } = startProc(name);
    const taken: Router['taken'] = [];
    const second: number[] = [];
    const feed = createControlFeed(world, {
      self: address,
      member: name,
      zone,
      seeds: addresses,
      unconfirmedTimeout: contactTime,
      additionalKey: { key: secondKey, version: () => second.at(-1) ?? 0, take: ({ version }) => second.push(version) },
      fetchWorkerList: async () => undefined,
      onChange: (what) => {
        if (what !== 'configuration') return;
        const configuration = feed.configuration()!;
        expect(configuration.value).toEqual(valueOf(configuration.version));
        taken.push({ version: configuration.version, at: engine.now() / 1000 });
      },
    });
    proc.receive = feed.receive;
    return { name, feed, proc, taken, second };
  }

  /** Messages of these kinds that carry configurations to a router. */
  function carried(to: string) {
    return sent.filter(
      ({ kind, to: receiver, message }) =>
        receiver === to && (kind === 'ConfigurationPatch' || (message.kind === 'News' && message.news.length > 0)),
    );
  }

  return {
    net,
    sent,
    replicas,
    commit,
    writeSecond,
    router,
    carried,
    now: () => engine.now() / 1000,
    run: (ms: number) => engine.run(micros(engine.now() + ms * 1000)),
    cut: (...names: string[]) => net.cut('cut', (a, b) => names.includes(a) !== names.includes(b)),
    wake: (replica: Replica) => wake(engine, replica.proc),
  };
}

function followSecond(replica: Replica, version: number, tell: () => void) {
  if (replica.second > version) tell();
  return { version: replica.second, membershipEpoch: 1, voting: true, leased: replica.leased };
}

function versions(router: Router): number[] {
  return router.taken.map(({ version }) => version);
}

it('gives a starting router the configuration once and within moments, and a source in its own zone', async () => {
  const fleet = createFleet(1);
  fleet.commit(3);
  await fleet.run(500);
  const routers = zones.map((zone) => fleet.router(`r-${zone}`, zone));
  await fleet.run(30);
  for (const router of routers) expect(versions(router)).toEqual([3]);
  await fleet.run(3000);
  for (const [i, router] of routers.entries())
    expect([fleet.carried(router.name).length, router.feed.source()]).toEqual([1, `c${i}:1`]);
});

it('sends a change to a router once, as a difference, from its source', async () => {
  const fleet = createFleet(2);
  fleet.commit(1);
  const routers = zones.map((zone) => fleet.router(`r-${zone}`, zone));
  await fleet.run(2000);
  fleet.sent.length = 0;
  for (const version of [2, 3, 4]) {
    const at = fleet.now();
    fleet.commit(version);
    await fleet.run(1500);
    for (const router of routers) {
      expect(router.taken.at(-1)!.version).toBe(version);
      expect(router.taken.at(-1)!.at - at).toBeLessThan(10);
      expect(router.feed.adoption()).toMatchObject({ reason: 'newer', form: 'difference' });
    }
  }
  for (const [i, router] of routers.entries()) {
    const carried = fleet.carried(router.name);
    expect(carried.map(({ kind, from }) => [kind, from])).toEqual(Array(3).fill(['ConfigurationPatch', `c${i}`]));
  }
});

it('lets a starting router wait for a lease beside a control node that is cut off with an old configuration', async () => {
  const fleet = createFleet(3);
  fleet.commit(1);
  await fleet.run(500);
  const [stale, ...majority] = fleet.replicas;
  fleet.commit(2, majority);
  stale!.leased = false;
  fleet.cut('c0', 'r');
  const router = fleet.router('r');
  await fleet.run(1500);
  expect([versions(router), router.feed.configuration()]).toEqual([[], undefined]);
  fleet.net.heal('cut');
  await fleet.run(500);
  expect(versions(router)).toEqual([2]);
});

it('takes the newest unleased answer after the time of contact, and newer ones from then on', async () => {
  const fleet = createFleet(4);
  const [a, b, c] = fleet.replicas;
  for (const replica of fleet.replicas) replica.leased = false;
  fleet.commit(1, [a!]);
  fleet.commit(2, [b!]);
  await fleet.run(500);
  fleet.cut('c2');
  const router = fleet.router('r');
  await fleet.run(2900);
  expect(versions(router)).toEqual([]);
  await fleet.run(600);
  expect(versions(router)).toEqual([2]);
  fleet.commit(3, [c!]);
  fleet.net.heal('cut');
  await fleet.run(1500);
  expect(versions(router)).toEqual([2, 3]);
});

it('does not count a lease of a beat that comes long after its question', async () => {
  const fleet = createFleet(5);
  fleet.commit(1);
  await fleet.run(500);
  fleet.net.tamper((m) => (m.kind === 'Beat' ? [{ m, after: 800_000 }] : undefined));
  const router = fleet.router('r');
  await fleet.run(2500);
  expect(versions(router)).toEqual([]);
  await fleet.run(2000);
  expect(versions(router)).toEqual([1]);
});

it('keeps what a running router has when its control nodes lose their leases or know less', async () => {
  const fleet = createFleet(6);
  fleet.commit(5);
  const router = fleet.router('r');
  await fleet.run(1000);
  for (const replica of fleet.replicas) Object.assign(replica, { leased: false, version: 4 });
  await fleet.run(6000);
  expect(versions(router)).toEqual([5]);
  fleet.commit(6);
  await fleet.run(500);
  expect(versions(router)).toEqual([5, 6]);
});

it.each(['dies', 'freezes', 'is cut off', 'falls behind'])(
  'takes a change within a few hundred milliseconds though its source %s just before',
  async (fate) => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const fleet = createFleet(100 + seed);
      fleet.commit(1);
      const router = fleet.router('r');
      await fleet.run(2000 + 45 * seed);
      const [source, ...others] = fleet.replicas;
      expect(router.feed.source()).toBe(source!.address);
      if (fate === 'dies') die(source!.proc);
      else if (fate === 'freezes') source!.proc.frozen = true;
      else if (fate === 'is cut off') fleet.cut('c0');
      const at = fleet.now();
      fleet.commit(2, others);
      await fleet.run(1000);
      expect(versions(router)).toEqual([1, 2]);
      expect(router.taken.at(-1)!.at - at).toBeLessThan(300);
      // Its source was given 100 ms to follow what another node had told.
      expect(router.feed.adoption()!.toldBefore).toBeGreaterThan(99_000);
      expect(router.feed.adoption()!.toldBefore).toBeLessThan(300_000);
      fleet.commit(3, others);
      await fleet.run(2000);
      expect(versions(router)).toEqual([1, 2, 3]);
      expect(router.feed.source()).not.toBe(source!.address);
    }
  },
);

it('takes the whole where a difference is lost or does not fit', async () => {
  const fleet = createFleet(7);
  fleet.commit(1);
  const router = fleet.router('r');
  await fleet.run(1000);
  let lost = 0;
  fleet.net.tamper((m) => {
    if (m.kind !== 'ConfigurationPatch') return undefined;
    lost += 1;
    return lost === 1 ? [] : [{ m: { ...m, digest: 'another' } }];
  });
  fleet.commit(2);
  await fleet.run(1500);
  expect(versions(router)).toEqual([1, 2]);
  fleet.commit(3);
  await fleet.run(500);
  expect(versions(router)).toEqual([1, 2, 3]);
  expect(lost).toBeGreaterThan(1);
});

it('paces a storm and ends it with the newest version at every router', async () => {
  const fleet = createFleet(8);
  fleet.commit(1);
  const routers = zones.map((zone) => fleet.router(`r-${zone}`, zone));
  await fleet.run(1000);
  fleet.sent.length = 0;
  const from = fleet.now();
  for (let version = 2; version <= 101; version += 1) {
    fleet.commit(version);
    await fleet.run(10);
  }
  const seconds = (fleet.now() - from) / 1000;
  await fleet.run(200);
  for (const router of routers) {
    expect(versions(router).at(-1)).toBe(101);
    const carried = fleet.carried(router.name);
    expect(carried.length).toBeGreaterThan(10 * seconds);
    expect(carried.length).toBeLessThan(21 * seconds + 2);
    expect(carried.every(({ kind }) => kind === 'ConfigurationPatch')).toBe(true);
    const unasked = fleet.sent.filter(
      ({ to, message }) => to === router.name && message.kind === 'Beat' && message.asked === 0,
    );
    expect(unasked.length).toBeLessThan(2 * (5 * seconds + 2));
  }
});

it('tells a second key to all followers when it is written, and to one that asks otherwise', async () => {
  const fleet = createFleet(9);
  const routers = ['r0', 'r1', 'r2'].map((name) => fleet.router(name));
  await fleet.run(1000);
  fleet.sent.length = 0;
  fleet.writeSecond(4, fleet.replicas[1]!);
  await fleet.run(100);
  expect(routers.map(({ second }) => second)).toEqual([[4], [4], [4]]);
  expect(fleet.sent.filter(({ message }) => message.kind === 'News').length).toBe(3);
  const late = fleet.router('late');
  await fleet.run(11_000);
  expect(late.second).toEqual([4]);
  expect(fleet.sent.filter(({ message }) => message.kind === 'News' && message.news.length > 0).length).toBe(4);
});
