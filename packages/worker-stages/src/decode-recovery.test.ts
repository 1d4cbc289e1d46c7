/**
 * The recovery of decode workers in virtual time, with the shipped candidates and voters: three control nodes see the same
 * workers, which take their time to change, and each order is looked at as the workers see it.
 */
import { expect, it } from 'vitest';
import type { ControlNode } from '@tansypost/control-state';
import type { ListedWorker, StoredVersion } from '@tansypost/control-feed';
import { createVoter, type Voter } from '@tansypost/duty';
import {
  createVirtualClock,
  createSeededRandom,
  type Address,
  type Message,
  type World,
} from '@tansypost/inner-protocol';
import type { OrderOutcome, Stage } from './ports.js';
import { orderRecordKey } from './order-record.js';
import { createDecodeRecovery, type DecodeRecovery } from './decode-recovery.js';

const second = 1_000_000;
const switchTime = 1.8 * second;
const betweenHolders = 3 * second;
const leaseDuration = 1.5 * betweenHolders;
const nodes = 3;

interface PlayedWorker {
  listed: ListedWorker;
  changing: boolean;
  ordersTaken: number;
  load: number;
}
interface SeenOrder {
  readonly at: number;
  readonly worker: string;
  readonly holder: string;
  readonly fence: number;
}
/** What becomes of an order: it is carried out and answered or not, heard to no effect, lost on its way, or refused. */
type Fate = 'answered' | 'taken' | 'heard' | 'lost' | 'refused';

function worker(id: string, part: Stage, leaving = false, service = 's'): ListedWorker {
  return { id, service, address: `${id}:1`, zone: 'z', slots: 8, leaving, coldMs: 0, part };
}

function createScene(list: readonly ListedWorker[], random: () => number = () => 0.5) {
  const clock = createVirtualClock({ random });
  const workers = new Map<string, PlayedWorker>();
  const orders: SeenOrder[] = [];
  const written: { readonly at: number; readonly version: number }[] = [];
  const stored: { version: number; value: Buffer } = { version: 0, value: Buffer.alloc(0) };
  const alive = new Set<number>();
  const recoveries: DecodeRecovery[] = [];
  const voters: Voter[] = [];
  const disks: Map<string, number>[] = [];
  const scene = {
    fate: (): Fate => 'answered',
    served: ['s'],
    reachable: () => true,
    writable: () => true,
    cutOff: -1,
    /** Workers that are listed and answer nobody. */
    silent: new Set<string>(),
  };
  setList(list);

  function setList(next: readonly ListedWorker[]): void {
    const ids = new Set(next.map((entry) => entry.id));
    for (const id of workers.keys()) if (!ids.has(id)) workers.delete(id);
    for (const listed of next) {
      const known = workers.get(listed.id);
      if (known === undefined) workers.set(listed.id, { listed, changing: false, ordersTaken: 0, load: 0 });
      else known.listed = { ...listed, part: known.listed.part };
    }
  }
  function listed(): ListedWorker[] {
    return [...workers.values()].map((entry) => entry.listed);
  }
  function change(id: string, stage: Stage): void {
    const entry = workers.get(id)!;
    entry.changing = true;
    entry.ordersTaken += 1;
    clock.world.after(switchTime as never, () => {
      entry.changing = false;
      entry.listed = { ...entry.listed, part: stage };
    });
  }
  function take(order: SeenOrder & { readonly stage: Stage }): OrderOutcome {
    const fate = scene.fate();
    if (fate === 'lost') return 'unknown';
    orders.push({ at: order.at, worker: order.worker, holder: order.holder, fence: order.fence });
    if (fate === 'refused') return 'refused';
    if (fate === 'heard') return 'unknown';
    change(order.worker, order.stage);
    return fate === 'answered' ? 'accepted' : 'unknown';
  }

  function send(from: number): World['send'] {
    return (to: Address, message: Message) => {
      const target = Number(to.slice(1, 2));
      if (!alive.has(target) || !alive.has(from)) return;
      if (target !== from && (scene.cutOff === target || scene.cutOff === from)) return;
      clock.world.after(1000 as never, () => {
        if (!alive.has(target)) return;
        if (message.kind === 'Ballot')
          voters[target]!.requestVote(message, (vote) => send(target)(message.from as Address, vote));
        if (message.kind === 'BallotVote') recoveries[target]!.handleVote(message);
      });
    };
  }

  function startNode(node: number): void {
    const name = `c${node}`;
    alive.add(node);
    const world: World = { ...clock.world, send: send(node) };
    const epochs = (disks[node] ??= new Map<string, number>());
    // A voter that starts again does not know whom it voted for; at the first start there was nobody.
    const votingSince = clock.world.now() === 0 ? -leaseDuration : clock.world.now();
    voters[node] = createVoter(world, {
      slot: () => node,
      diskId: () => `disk${node}`,
      isVoting: () => true,
      votingSince: () => votingSince,
      membershipEpoch: () => 1,
      leaseDuration,
      store: {
        epoch: (duty) => epochs.get(duty) ?? 0,
        save: (duty, epoch, done) => {
          epochs.set(duty, epoch);
          done(true);
        },
      },
    });
    const replicas = Array.from({ length: nodes }, (_, slot) => ({
      slot,
      address: `c${slot}:1`,
      disk: `disk${slot}`,
    }));
    const replica = {
      slot: node,
      state: () => 'voting',
      membership: () => ({ membershipEpoch: 1, replicas }),
      row: (key: string) => ({ version: 0, value: Buffer.alloc(0), ...(key === orderRecordKey ? stored : {}) }),
    };
    const rank = [...alive].sort().indexOf(node);
    const controlNode = { replica, rankAmongLive: () => rank } as unknown as ControlNode;
    recoveries[node] = createDecodeRecovery(world, {
      self: `${name}:1` as Address,
      member: name,
      controlNode: () => (alive.has(node) ? controlNode : undefined),
      workers: listed,
      services: () => scene.served.map((service) => ({ name: service, stageSwitchTime: switchTime })),
      record: { read: async () => readStored(), write: async (base, value) => write(base, value) },
      workerClient: {
        report: async ({ id }) => {
          const entry = workers.get(id);
          if (entry === undefined || !scene.reachable() || scene.silent.has(id)) return undefined;
          return { stage: entry.listed.part, ...entry };
        },
        order: async ({ worker: to, stage, holder, fence }) =>
          alive.has(node) ? take({ at: clock.world.now(), worker: to.id, holder, fence, stage }) : 'unknown',
      },
      leaseDuration,
      minTakeoverGap: betweenHolders,
    });
  }
  function readStored(): StoredVersion {
    return { ...stored };
  }
  function write(base: number, value: Buffer): number | undefined {
    if (base !== stored.version || !scene.writable()) return undefined;
    Object.assign(stored, { version: base + 1, value });
    written.push({ at: clock.world.now(), version: stored.version });
    return stored.version;
  }
  function kill(node: number): void {
    alive.delete(node);
    recoveries[node]!.stop();
  }
  for (let node = 0; node < nodes; node += 1) startNode(node);
  return { clock, scene, orders, written, workers, setList, stored, kill, startNode, alive };
}

const prefill = ['r0', 'r1', 'r2'].map((id) => worker(id, 'prefill'));
const decodeWorker = worker('d0', 'decode');

it('leaves a service alone that has a decode worker, and one that nobody sends requests to', async () => {
  const running = createScene([...prefill, decodeWorker]);
  await running.clock.runTo(60 * second);
  expect([running.orders, running.written]).toEqual([[], []]);
  const other = createScene(prefill.map((entry) => ({ ...entry, service: 'stranger' })));
  await other.clock.runTo(60 * second);
  expect([other.orders, other.written]).toEqual([[], []]);
});

it('orders one worker within two seconds when the last decode worker leaves in order, and writes it down before', async () => {
  const { clock, orders, written, setList, workers } = createScene([...prefill, decodeWorker]);
  await clock.runTo(10 * second);
  workers.get('r0')!.load = 5;
  setList([...prefill, { ...decodeWorker, leaving: true }]);
  await clock.runTo(30 * second);
  expect(orders).toHaveLength(1);
  expect(orders[0]!.worker).not.toBe('r0');
  expect(orders[0]!.at).toBeLessThan(12 * second);
  expect(written.map((entry) => entry.version)).toEqual([orders[0]!.fence]);
  expect(clock.logged.filter((entry) => entry.event === 4103)).toHaveLength(1);
});

it('waits for decode workers that vanished, and orders nobody if they come back', async () => {
  const { clock, orders, setList } = createScene([...prefill, decodeWorker]);
  await clock.runTo(10 * second);
  setList(prefill);
  await clock.runTo(11.9 * second);
  expect(orders).toEqual([]);
  setList([...prefill, worker('d1', 'decode')]);
  await clock.runTo(60 * second);
  expect(orders).toEqual([]);
  setList(prefill);
  await clock.runTo(65 * second);
  expect(orders).toHaveLength(1);
});

it('RECOVER: orders a worker where all decode workers are listed and silent, also after a start', async () => {
  for (const silentFrom of [0, 20 * second]) {
    const { clock, scene, orders } = createScene([...prefill, decodeWorker, worker('d1', 'decode')]);
    await clock.runTo(silentFrom);
    scene.silent = new Set(['d0', 'd1']);
    await clock.runTo(silentFrom + 9 * second);
    expect([silentFrom, orders.length]).toEqual([silentFrom, 1]);
    await clock.runTo(silentFrom + 60 * second);
    expect([silentFrom, orders.length]).toEqual([silentFrom, 1]);
  }
});

it('orders nobody while one of many decode workers answers, nor where the silent ones answer again soon', async () => {
  const many = Array.from({ length: 9 }, (_, i) => worker(`d${i}`, 'decode'));
  const { clock, scene, orders } = createScene([...prefill, ...many]);
  scene.silent = new Set(many.slice(1).map((entry) => entry.id));
  await clock.runTo(60 * second);
  scene.silent = new Set(many.map((entry) => entry.id));
  await clock.runTo(62 * second);
  scene.silent.clear();
  await clock.runTo(90 * second);
  expect(orders).toEqual([]);
});

it('gives decode workers that were never seen time to start, and then does without them', async () => {
  const { clock, orders } = createScene(prefill);
  await clock.runTo(5.9 * second);
  expect(orders).toEqual([]);
  await clock.runTo(9 * second);
  expect(orders).toHaveLength(1);
});

it('orders more workers only once the first runs requests, up to a third of all', async () => {
  const many = Array.from({ length: 12 }, (_, i) => worker(`r${i}`, 'prefill'));
  const { clock, orders, workers } = createScene(many);
  await clock.runTo(30 * second);
  expect(orders).toHaveLength(1);
  for (const entry of workers.values()) entry.load = 1;
  await clock.runTo(90 * second);
  expect(orders).toHaveLength(4);
  const fences = orders.map((order) => order.fence);
  expect(fences).toEqual([...fences].sort((a, b) => a - b));
});

it('asks the worker again after an order without an answer: it is waited for, or ordered under a higher fence', async () => {
  for (const fate of ['taken', 'lost'] as const) {
    const { clock, scene, orders, written } = createScene(prefill);
    let first = true;
    scene.fate = () => {
      const now = first ? fate : 'answered';
      first = false;
      return now;
    };
    await clock.runTo(40 * second);
    expect([fate, orders.length, written.length]).toEqual([fate, 1, fate === 'taken' ? 1 : 2]);
    expect(orders[0]!.fence).toBe(written.at(-1)!.version);
  }
});

it('turns to another worker where one refuses or does not answer', async () => {
  const { clock, scene, orders } = createScene(prefill);
  scene.fate = () => (orders.length === 0 ? 'refused' : 'answered');
  await clock.runTo(20 * second);
  expect(new Set(orders.map((order) => order.worker)).size).toBe(2);
  const silent = createScene(prefill);
  silent.scene.reachable = () => false;
  await silent.clock.runTo(30 * second);
  expect(silent.orders).toEqual([]);
});

it('gives no order that is not written down', async () => {
  const { clock, scene, orders } = createScene(prefill);
  scene.writable = () => clock.world.now() > 20 * second;
  await clock.runTo(20 * second);
  expect(orders).toEqual([]);
  await clock.runTo(30 * second);
  expect(orders).toHaveLength(1);
});

it('orders nobody by a record that cannot be read, and says so', async () => {
  const { clock, orders, stored } = createScene(prefill);
  Object.assign(stored, { version: 3, value: Buffer.from('{') });
  await clock.runTo(20 * second);
  expect(orders).toEqual([]);
  expect(clock.logged.some((entry) => entry.event === 4106)).toBe(true);
});

it('never lets two holders order one worker within the time between them, nor a fence fall, whoever dies', async () => {
  let takeovers = 0;
  for (let seed = 1; seed <= 150; seed += 1) {
    const random = createSeededRandom(seed);
    const { clock, scene, orders, kill, startNode, alive } = createScene(prefill, random);
    // The same workers are ordered again and again, by one holder and by the next.
    scene.fate = () => (random() < 0.9 ? 'heard' : 'refused');
    for (let at = 5 * second; at < 60 * second; at += second * (0.3 + 7 * random())) {
      await clock.runTo(at);
      const node = Math.floor(random() * nodes);
      scene.cutOff = -1;
      if (!alive.has(node)) startNode(node);
      else if (alive.size === nodes && random() < 0.5) kill(node);
      // Cut off from the other nodes, but not from the workers.
      else scene.cutOff = node;
    }
    for (const [index, order] of orders.entries())
      for (const before of orders.slice(0, index)) {
        expect([seed, order.fence > before.fence]).toEqual([seed, true]);
        if (before.worker !== order.worker || before.holder === order.holder) continue;
        takeovers += 1;
        expect([seed, order.at - before.at >= betweenHolders]).toEqual([seed, true]);
      }
  }
  expect(takeovers).toBeGreaterThan(20);
});
