/**
 * The recovery of decode workers in virtual time, with the production candidates and voters. Three control nodes see the
 * same workers, which take time to change their stage; orders are checked as the workers receive them.
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
const stageSwitchTime = 1.8 * second;
const minTakeoverGap = 3 * second;
const leaseDuration = 1.5 * minTakeoverGap;
const nodeCount = 3;

interface SimulatedWorker {
  listed: ListedWorker;
  changing: boolean;
  ordersTaken: number;
  load: number;
}
interface ReceivedOrder {
  readonly at: number;
  readonly worker: string;
  readonly holder: string;
  readonly fence: number;
}
/**
 * What happens to an order: it is carried out and answered (`answered`) or not (`taken`), received without any effect or
 * answer (`heard`), lost in transit, or refused.
 */
type OrderFate = 'answered' | 'taken' | 'heard' | 'lost' | 'refused';

function worker(id: string, part: Stage, leaving = false, service = 's'): ListedWorker {
  return { id, service, address: `${id}:1`, zone: 'z', slots: 8, leaving, coldMs: 0, part };
}

function createScenario(list: readonly ListedWorker[], random: () => number = () => 0.5) {
  const clock = createVirtualClock({ random });
  const workers = new Map<string, SimulatedWorker>();
  const orders: ReceivedOrder[] = [];
  const recordWrites: { readonly at: number; readonly version: number }[] = [];
  const stored: { version: number; value: Buffer } = { version: 0, value: Buffer.alloc(0) };
  const alive = new Set<number>();
  const recoveries: DecodeRecovery[] = [];
  const voters: Voter[] = [];
  const disks: Map<string, number>[] = [];
  const scenario = {
    /** What happens to the next order. */
    fate: (): OrderFate => 'answered',
    served: ['s'],
    /** Whether workers answer report requests. */
    reachable: () => true,
    /** Whether writes of the order record succeed. */
    writable: () => true,
    /** The node that is partitioned from the other nodes; -1 for none. */
    partitionedNode: -1,
    /** Workers that are listed but answer no node. */
    unresponsive: new Set<string>(),
    /** Workers at which a request for a report fails with an error. */
    failing: new Set<string>(),
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
  function changeStage(id: string, stage: Stage): void {
    const entry = workers.get(id)!;
    entry.changing = true;
    entry.ordersTaken += 1;
    clock.world.after(stageSwitchTime as never, () => {
      entry.changing = false;
      entry.listed = { ...entry.listed, part: stage };
    });
  }
  function receiveOrder(order: ReceivedOrder & { readonly stage: Stage }): OrderOutcome {
    const fate = scenario.fate();
    if (fate === 'lost') return 'unknown';
    orders.push({ at: order.at, worker: order.worker, holder: order.holder, fence: order.fence });
    if (fate === 'refused') return 'refused';
    if (fate === 'heard') return 'unknown';
    changeStage(order.worker, order.stage);
    return fate === 'answered' ? 'accepted' : 'unknown';
  }

  function send(from: number): World['send'] {
    return (to: Address, message: Message) => {
      const target = Number(to.slice(1, 2));
      if (!alive.has(target) || !alive.has(from)) return;
      if (target !== from && (scenario.partitionedNode === target || scenario.partitionedNode === from)) return;
      clock.world.after(1000 as never, () => {
        if (!alive.has(target)) return;
        if (message.kind === 'Ballot')
          voters[target]!.requestVote(message, (vote) => send(target)(message.from as Address, vote));
        if (message.kind === 'BallotVote') recoveries[target]!.receiveVote(message);
      });
    };
  }

  function startNode(node: number): void {
    const name = `c${node}`;
    alive.add(node);
    const world: World = { ...clock.world, send: send(node) };
    const epochs = (disks[node] ??= new Map<string, number>());
    // A restarted voter does not know whom it voted for, so it must wait; at the first start there were no votes yet.
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
    const replicas = Array.from({ length: nodeCount }, (_, slot) => ({
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
      services: () => scenario.served.map((service) => ({ name: service, stageSwitchTime })),
      record: { read: async () => readStored(), write: async (base, value) => write(base, value) },
      workerClient: {
        report: async ({ id }) => {
          const entry = workers.get(id);
          if (scenario.failing.has(id)) throw new Error('report failed');
          if (entry === undefined || !scenario.reachable() || scenario.unresponsive.has(id)) return undefined;
          return { stage: entry.listed.part, ...entry };
        },
        order: async ({ worker: to, stage, holder, fence }) =>
          alive.has(node) ? receiveOrder({ at: clock.world.now(), worker: to.id, holder, fence, stage }) : 'unknown',
      },
      leaseDuration,
      minTakeoverGap,
    });
  }
  function readStored(): StoredVersion {
    return { ...stored };
  }
  function write(base: number, value: Buffer): number | undefined {
    if (base !== stored.version || !scenario.writable()) return undefined;
    Object.assign(stored, { version: base + 1, value });
    recordWrites.push({ at: clock.world.now(), version: stored.version });
    return stored.version;
  }
  function kill(node: number): void {
    alive.delete(node);
    recoveries[node]!.stop();
  }
  for (let node = 0; node < nodeCount; node += 1) startNode(node);
  return { clock, scenario, orders, recordWrites, workers, setList, stored, kill, startNode, alive };
}

const prefill = ['r0', 'r1', 'r2'].map((id) => worker(id, 'prefill'));
const decodeWorker = worker('d0', 'decode');

it('orders no worker for a service with a decode worker, nor for one that gets no requests', async () => {
  const withDecode = createScenario([...prefill, decodeWorker]);
  await withDecode.clock.runTo(60 * second);
  expect([withDecode.orders, withDecode.recordWrites]).toEqual([[], []]);
  const notServed = createScenario(prefill.map((entry) => ({ ...entry, service: 'stranger' })));
  await notServed.clock.runTo(60 * second);
  expect([notServed.orders, notServed.recordWrites]).toEqual([[], []]);
});

it('orders one worker within two seconds when the last decode worker leaves gracefully, and records the order first', async () => {
  const { clock, orders, recordWrites, setList, workers } = createScenario([...prefill, decodeWorker]);
  await clock.runTo(10 * second);
  workers.get('r0')!.load = 5;
  setList([...prefill, { ...decodeWorker, leaving: true }]);
  await clock.runTo(30 * second);
  expect(orders).toHaveLength(1);
  expect(orders[0]!.worker).not.toBe('r0');
  expect(orders[0]!.at).toBeLessThan(12 * second);
  expect(recordWrites.map((entry) => entry.version)).toEqual([orders[0]!.fence]);
  expect(clock.logged.filter((entry) => entry.event === 4103)).toHaveLength(1);
});

// Guards against control nodes that ended at a report that was null, again after each start, while a service was down.
it('orders another worker if the request for a report of one fails with an error', async () => {
  const { clock, scenario, orders, setList } = createScenario([...prefill, decodeWorker]);
  scenario.failing.add('r0').add('r1');
  await clock.runTo(10 * second);
  setList([...prefill, { ...decodeWorker, leaving: true }]);
  const rejections: unknown[] = [];
  function recordRejection(reason: unknown): void {
    rejections.push(reason);
  }
  process.on('unhandledRejection', recordRejection);
  await clock.runTo(30 * second);
  await new Promise((done) => setImmediate(done));
  process.off('unhandledRejection', recordRejection);
  expect(rejections).toEqual([]);
  expect(orders.map((order) => order.worker)).toEqual(['r2']);
});

it('waits for decode workers that vanished, and orders no worker if one comes back', async () => {
  const { clock, orders, setList } = createScenario([...prefill, decodeWorker]);
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

it('RECOVER: orders a worker if all decode workers are listed but unresponsive, also right after a start', async () => {
  for (const unresponsiveFrom of [0, 20 * second]) {
    const { clock, scenario, orders } = createScenario([...prefill, decodeWorker, worker('d1', 'decode')]);
    await clock.runTo(unresponsiveFrom);
    scenario.unresponsive = new Set(['d0', 'd1']);
    await clock.runTo(unresponsiveFrom + 9 * second);
    expect([unresponsiveFrom, orders.length]).toEqual([unresponsiveFrom, 1]);
    await clock.runTo(unresponsiveFrom + 60 * second);
    expect([unresponsiveFrom, orders.length]).toEqual([unresponsiveFrom, 1]);
  }
});

it('orders no worker while one of many decode workers answers, nor if unresponsive ones soon answer again', async () => {
  const many = Array.from({ length: 9 }, (_, i) => worker(`d${i}`, 'decode'));
  const { clock, scenario, orders } = createScenario([...prefill, ...many]);
  scenario.unresponsive = new Set(many.slice(1).map((entry) => entry.id));
  await clock.runTo(60 * second);
  scenario.unresponsive = new Set(many.map((entry) => entry.id));
  await clock.runTo(62 * second);
  scenario.unresponsive.clear();
  await clock.runTo(90 * second);
  expect(orders).toEqual([]);
});

it('gives decode workers time to start if none was seen yet, and then orders a prefill worker', async () => {
  const { clock, orders } = createScenario(prefill);
  await clock.runTo(5.9 * second);
  expect(orders).toEqual([]);
  await clock.runTo(9 * second);
  expect(orders).toHaveLength(1);
});

it('orders more workers only when the first one runs requests, up to a third of all', async () => {
  const many = Array.from({ length: 12 }, (_, i) => worker(`r${i}`, 'prefill'));
  const { clock, orders, workers } = createScenario(many);
  await clock.runTo(30 * second);
  expect(orders).toHaveLength(1);
  for (const entry of workers.values()) entry.load = 1;
  await clock.runTo(90 * second);
  expect(orders).toHaveLength(4);
  const fences = orders.map((order) => order.fence);
  expect(fences).toEqual([...fences].sort((a, b) => a - b));
});

it('asks a worker for a report after an order without an answer, and waits for it or orders it with a higher fence', async () => {
  for (const fate of ['taken', 'lost'] as const) {
    const { clock, scenario, orders, recordWrites } = createScenario(prefill);
    let first = true;
    scenario.fate = () => {
      const next = first ? fate : 'answered';
      first = false;
      return next;
    };
    await clock.runTo(40 * second);
    expect([fate, orders.length, recordWrites.length]).toEqual([fate, 1, fate === 'taken' ? 1 : 2]);
    expect(orders[0]!.fence).toBe(recordWrites.at(-1)!.version);
  }
});

it('chooses another worker if one refuses, and orders none that does not answer', async () => {
  const { clock, scenario, orders } = createScenario(prefill);
  scenario.fate = () => (orders.length === 0 ? 'refused' : 'answered');
  await clock.runTo(20 * second);
  expect(new Set(orders.map((order) => order.worker)).size).toBe(2);
  const unreachable = createScenario(prefill);
  unreachable.scenario.reachable = () => false;
  await unreachable.clock.runTo(30 * second);
  expect(unreachable.orders).toEqual([]);
});

it('sends no order that is not recorded', async () => {
  const { clock, scenario, orders } = createScenario(prefill);
  scenario.writable = () => clock.world.now() > 20 * second;
  await clock.runTo(20 * second);
  expect(orders).toEqual([]);
  await clock.runTo(30 * second);
  expect(orders).toHaveLength(1);
});

it('orders no worker while the record cannot be decoded, and logs it', async () => {
  const { clock, orders, stored } = createScenario(prefill);
  Object.assign(stored, { version: 3, value: Buffer.from('{') });
  await clock.runTo(20 * second);
  expect(orders).toEqual([]);
  expect(clock.logged.some((entry) => entry.event === 4106)).toBe(true);
});

it('keeps the takeover gap between orders of two leaders to one worker, and fences increasing, while nodes fail', async () => {
  let takeovers = 0;
  for (let seed = 1; seed <= 150; seed += 1) {
    const random = createSeededRandom(seed);
    const { clock, scenario, orders, kill, startNode, alive } = createScenario(prefill, random);
    // No order has an effect, so the same workers are ordered repeatedly, by one leader and by the next.
    scenario.fate = () => (random() < 0.9 ? 'heard' : 'refused');
    for (let at = 5 * second; at < 60 * second; at += second * (0.3 + 7 * random())) {
      await clock.runTo(at);
      const node = Math.floor(random() * nodeCount);
      scenario.partitionedNode = -1;
      if (!alive.has(node)) startNode(node);
      else if (alive.size === nodeCount && random() < 0.5) kill(node);
      // Partitioned from the other nodes, but not from the workers.
      else scenario.partitionedNode = node;
    }
    for (const [index, order] of orders.entries())
      for (const earlier of orders.slice(0, index)) {
        expect([seed, order.fence > earlier.fence]).toEqual([seed, true]);
        if (earlier.worker !== order.worker || earlier.holder === order.holder) continue;
        takeovers += 1;
        expect([seed, order.at - earlier.at >= minTakeoverGap]).toEqual([seed, true]);
      }
  }
  expect(takeovers).toBeGreaterThan(20);
});
