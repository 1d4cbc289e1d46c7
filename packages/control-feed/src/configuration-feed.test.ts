/**
 * Distribution of the configuration from control nodes to routers, over the simulated network. The replicas of the
 * control nodes are fakes: the test sets which version each knows to be committed, and whether it holds a lease.
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
import {
  createEngine,
  createNetwork,
  createSimProcess,
  killProcess,
  createProcessWorld,
  resumeProcess,
  type SimProcess,
} from '@tansypost/simulator';
import { configurationKey } from './configuration.js';
import { createControlFeed, type ControlFeed } from './control-feed.js';
import { createFeedServer } from './feed-server.js';

interface FakeNode {
  readonly name: string;
  readonly address: Address;
  readonly proc: SimProcess;
  version: number;
  leased: boolean;
  /** The version of the additional key. */
  additionalVersion: number;
}
interface Router {
  readonly name: string;
  readonly feed: ControlFeed;
  readonly proc: SimProcess;
  /** The adopted versions, with the time in milliseconds. */
  readonly adopted: { readonly version: number; readonly at: number }[];
  /** The received versions of the additional key. */
  readonly additionalVersions: number[];
}
const additionalKey = 'second/main';
const zones = ['east', 'west', 'south'];
const unconfirmedTimeout = 3_000_000;

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
  net.intercept((message, from, to) => {
    if (from !== to) sent.push({ kind: message.kind, from, to, message });
    return undefined;
  });

  function worldOf(proc: SimProcess, address: Address): World {
    return createProcessWorld(
      engine,
      proc,
      random,
      (to, message) => net.send(proc, address, to, message),
      () => undefined,
    );
  }

  function startProc(name: string): { proc: SimProcess; address: Address; world: World } {
    const proc = createSimProcess(name, name);
    const address = `${name}:1` as Address;
    net.add(address, proc);
    proc.alive = true;
    return { proc, address, world: worldOf(proc, address) };
  }

  const addresses = zones.map((_, i) => `c${i}:1` as Address);
  const sendCommitted = new Map<FakeNode, () => void>();
  const sendCommittedAdditional = new Map<FakeNode, () => void>();
  const nodes = zones.map((zone, i): FakeNode => {
    const { proc, address, world } = startProc(`c${i}`);
    const state: FakeNode = { name: `c${i}`, address, proc, version: 0, leased: true, additionalVersion: 0 };
    function sendConfiguration(): void {
      const news = [{ key: configurationKey, epoch: 1, version: state.version, value: valueOf(state.version) }];
      world.send(address, { kind: 'News', news, membershipEpoch: 1, replicas: [] });
    }
    function sendAdditional(): void {
      const news = [{ key: additionalKey, epoch: 1, version: state.additionalVersion, value: Buffer.from('second') }];
      world.send(address, { kind: 'News', news, membershipEpoch: 1, replicas: [] });
    }
    sendCommitted.set(state, sendConfiguration);
    sendCommittedAdditional.set(state, sendAdditional);
    const members = addresses.map((member, slot) => ({ slot, address: member, disk: `d${slot}` }));
    const node = {
      follow: (key: string, version: number) => {
        if (key === additionalKey) return followAdditional(state, version, sendAdditional);
        if (state.version > version) sendConfiguration();
        return { version: state.version, membershipEpoch: 1, voting: true, leased: state.leased };
      },
      rankAmongLive: () => i,
      liveReplicas: () => addresses,
      replica: {
        state: () => 'voting',
        membership: () => ({ membershipEpoch: 1, replicas: members }),
        row: () => ({ version: state.additionalVersion }),
      },
    } as unknown as ControlNode;
    const server = createFeedServer(world, {
      self: address,
      zone,
      controlNode: () => node,
      fetchWorkerList: async () => undefined,
    });
    proc.receive = (message, from) => void server.receive(message, from);
    return state;
  });

  /** A version is committed, and these nodes know it. */
  function commit(version: number, knownBy: readonly FakeNode[] = nodes): void {
    for (const node of knownBy) {
      node.version = version;
      if (node.proc.alive && !node.proc.frozen) sendCommitted.get(node)!();
    }
  }

  /** The leader of the additional key has written it; the other nodes have it too. */
  function writeAdditional(version: number, leader: FakeNode): void {
    for (const node of nodes) node.additionalVersion = version;
    sendCommittedAdditional.get(leader)!();
  }

  function router(name: string, zone = 'east'): Router {
    const { proc, address, world } = startProc(name);
    const adopted: Router['adopted'] = [];
    const additionalVersions: number[] = [];
    const feed = createControlFeed(world, {
      self: address,
      member: name,
      zone,
      seeds: addresses,
      unconfirmedTimeout,
      additionalKey: {
        key: additionalKey,
        version: () => additionalVersions.at(-1) ?? 0,
        onUpdate: ({ version }) => additionalVersions.push(version),
      },
      fetchWorkerList: async () => undefined,
      onChange: (what) => {
        if (what !== 'configuration') return;
        const configuration = feed.configuration()!;
        expect(configuration.value).toEqual(valueOf(configuration.version));
        adopted.push({ version: configuration.version, at: engine.now() / 1000 });
      },
    });
    proc.receive = feed.receive;
    return { name, feed, proc, adopted, additionalVersions };
  }

  /** Messages that carry a configuration to a router. */
  function configurationsSentTo(to: string) {
    return sent.filter(
      ({ kind, to: receiver, message }) =>
        receiver === to && (kind === 'ConfigurationPatch' || (message.kind === 'News' && message.news.length > 0)),
    );
  }

  return {
    net,
    sent,
    nodes,
    commit,
    writeAdditional,
    router,
    configurationsSentTo,
    now: () => engine.now() / 1000,
    run: (ms: number) => engine.run(micros(engine.now() + ms * 1000)),
    cut: (...names: string[]) => net.partition('cut', (a, b) => names.includes(a) !== names.includes(b)),
    wake: (node: FakeNode) => resumeProcess(engine, node.proc),
  };
}

function followAdditional(node: FakeNode, version: number, send: () => void) {
  if (node.additionalVersion > version) send();
  return { version: node.additionalVersion, membershipEpoch: 1, voting: true, leased: node.leased };
}

function adoptedVersions(router: Router): number[] {
  return router.adopted.map(({ version }) => version);
}

it('sends a starting router the configuration once and at once, and gives it a source in its own zone', async () => {
  const fleet = createFleet(1);
  fleet.commit(3);
  await fleet.run(500);
  const routers = zones.map((zone) => fleet.router(`r-${zone}`, zone));
  await fleet.run(30);
  for (const router of routers) expect(adoptedVersions(router)).toEqual([3]);
  await fleet.run(3000);
  for (const [i, router] of routers.entries())
    expect([fleet.configurationsSentTo(router.name).length, router.feed.source()]).toEqual([1, `c${i}:1`]);
});

it('sends a change to a router once, as a patch, from its source', async () => {
  const fleet = createFleet(2);
  fleet.commit(1);
  const routers = zones.map((zone) => fleet.router(`r-${zone}`, zone));
  await fleet.run(2000);
  fleet.sent.length = 0;
  for (const version of [2, 3, 4]) {
    const committedAt = fleet.now();
    fleet.commit(version);
    await fleet.run(1500);
    for (const router of routers) {
      expect(router.adopted.at(-1)!.version).toBe(version);
      expect(router.adopted.at(-1)!.at - committedAt).toBeLessThan(10);
      expect(router.feed.adoption()).toMatchObject({ reason: 'newer', form: 'difference' });
    }
  }
  for (const [i, router] of routers.entries()) {
    const sent = fleet.configurationsSentTo(router.name);
    expect(sent.map(({ kind, from }) => [kind, from])).toEqual(Array(3).fill(['ConfigurationPatch', `c${i}`]));
  }
});

it('lets a starting router that only reaches a partitioned control node with an old configuration wait for a lease', async () => {
  const fleet = createFleet(3);
  fleet.commit(1);
  await fleet.run(500);
  const [stale, ...majority] = fleet.nodes;
  fleet.commit(2, majority);
  stale!.leased = false;
  fleet.cut('c0', 'r');
  const router = fleet.router('r');
  await fleet.run(1500);
  expect([adoptedVersions(router), router.feed.configuration()]).toEqual([[], undefined]);
  fleet.net.heal('cut');
  await fleet.run(500);
  expect(adoptedVersions(router)).toEqual([2]);
});

it('adopts the newest unconfirmed configuration after the timeout, and newer ones from then on', async () => {
  const fleet = createFleet(4);
  const [first, second, third] = fleet.nodes;
  for (const node of fleet.nodes) node.leased = false;
  fleet.commit(1, [first!]);
  fleet.commit(2, [second!]);
  await fleet.run(500);
  fleet.cut('c2');
  const router = fleet.router('r');
  await fleet.run(2900);
  expect(adoptedVersions(router)).toEqual([]);
  await fleet.run(600);
  expect(adoptedVersions(router)).toEqual([2]);
  fleet.commit(3, [third!]);
  fleet.net.heal('cut');
  await fleet.run(1500);
  expect(adoptedVersions(router)).toEqual([2, 3]);
});

it('ignores the lease in a heartbeat that arrives long after its request', async () => {
  const fleet = createFleet(5);
  fleet.commit(1);
  await fleet.run(500);
  fleet.net.intercept((m) => (m.kind === 'Beat' ? [{ message: m, delayUs: 800_000 }] : undefined));
  const router = fleet.router('r');
  await fleet.run(2500);
  expect(adoptedVersions(router)).toEqual([]);
  await fleet.run(2000);
  expect(adoptedVersions(router)).toEqual([1]);
});

it('keeps the configuration of a running router when its control nodes lose their leases or have an older version', async () => {
  const fleet = createFleet(6);
  fleet.commit(5);
  const router = fleet.router('r');
  await fleet.run(1000);
  for (const node of fleet.nodes) Object.assign(node, { leased: false, version: 4 });
  await fleet.run(6000);
  expect(adoptedVersions(router)).toEqual([5]);
  fleet.commit(6);
  await fleet.run(500);
  expect(adoptedVersions(router)).toEqual([5, 6]);
});

it.each(['dies', 'freezes', 'is cut off', 'falls behind'])(
  'adopts a change within a few hundred milliseconds although its source %s just before',
  async (failure) => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const fleet = createFleet(100 + seed);
      fleet.commit(1);
      const router = fleet.router('r');
      await fleet.run(2000 + 45 * seed);
      const [source, ...others] = fleet.nodes;
      expect(router.feed.source()).toBe(source!.address);
      if (failure === 'dies') killProcess(source!.proc);
      else if (failure === 'freezes') source!.proc.frozen = true;
      else if (failure === 'is cut off') fleet.cut('c0');
      const committedAt = fleet.now();
      fleet.commit(2, others);
      await fleet.run(1000);
      expect(adoptedVersions(router)).toEqual([1, 2]);
      expect(router.adopted.at(-1)!.at - committedAt).toBeLessThan(300);
      // The source has 100 ms to send a version that another node has.
      expect(router.feed.adoption()!.toldBefore).toBeGreaterThan(99_000);
      expect(router.feed.adoption()!.toldBefore).toBeLessThan(300_000);
      fleet.commit(3, others);
      await fleet.run(2000);
      expect(adoptedVersions(router)).toEqual([1, 2, 3]);
      expect(router.feed.source()).not.toBe(source!.address);
    }
  },
);

it('receives the whole configuration if a patch is lost or does not apply', async () => {
  const fleet = createFleet(7);
  fleet.commit(1);
  const router = fleet.router('r');
  await fleet.run(1000);
  let lost = 0;
  fleet.net.intercept((m) => {
    if (m.kind !== 'ConfigurationPatch') return undefined;
    lost += 1;
    return lost === 1 ? [] : [{ message: { ...m, digest: 'another' } }];
  });
  fleet.commit(2);
  await fleet.run(1500);
  expect(adoptedVersions(router)).toEqual([1, 2]);
  fleet.commit(3);
  await fleet.run(500);
  expect(adoptedVersions(router)).toEqual([1, 2, 3]);
  expect(lost).toBeGreaterThan(1);
});

it('limits the rate during a burst of changes and ends it with the newest version at every router', async () => {
  const fleet = createFleet(8);
  fleet.commit(1);
  const routers = zones.map((zone) => fleet.router(`r-${zone}`, zone));
  await fleet.run(1000);
  fleet.sent.length = 0;
  const startedAt = fleet.now();
  for (let version = 2; version <= 101; version += 1) {
    fleet.commit(version);
    await fleet.run(10);
  }
  const seconds = (fleet.now() - startedAt) / 1000;
  await fleet.run(200);
  for (const router of routers) {
    expect(adoptedVersions(router).at(-1)).toBe(101);
    const sent = fleet.configurationsSentTo(router.name);
    expect(sent.length).toBeGreaterThan(10 * seconds);
    expect(sent.length).toBeLessThan(21 * seconds + 2);
    expect(sent.every(({ kind }) => kind === 'ConfigurationPatch')).toBe(true);
    const unsolicited = fleet.sent.filter(
      ({ to, message }) => to === router.name && message.kind === 'Beat' && message.asked === 0,
    );
    expect(unsolicited.length).toBeLessThan(2 * (5 * seconds + 2));
  }
});

it('sends an additional key to all followers when it is written, and later to one that polls for it', async () => {
  const fleet = createFleet(9);
  const routers = ['r0', 'r1', 'r2'].map((name) => fleet.router(name));
  await fleet.run(1000);
  fleet.sent.length = 0;
  fleet.writeAdditional(4, fleet.nodes[1]!);
  await fleet.run(100);
  expect(routers.map(({ additionalVersions }) => additionalVersions)).toEqual([[4], [4], [4]]);
  expect(fleet.sent.filter(({ message }) => message.kind === 'News').length).toBe(3);
  const late = fleet.router('late');
  await fleet.run(11_000);
  expect(late.additionalVersions).toEqual([4]);
  expect(fleet.sent.filter(({ message }) => message.kind === 'News' && message.news.length > 0).length).toBe(4);
});
