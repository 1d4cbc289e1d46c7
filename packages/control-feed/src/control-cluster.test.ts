/** A control cluster through failures: acknowledged writes are kept, and followers receive them. */
import { describe, expect, it } from 'vitest';
import type { Message } from '@tansypost/inner-protocol';
import { createSeededRandom } from '@tansypost/inner-protocol';
import {
  createControlCluster,
  bootstrapControlCluster,
  bootstrapMemberNames,
  type ControlCluster,
  type Network,
} from '@tansypost/simulator';
import type { ControlResponse } from './control-client.js';
import { configurationKey } from './configuration.js';
import type { ControlFeed } from './control-feed.js';

type Tamper = Parameters<Network['intercept']>[0];
interface TestCluster extends ControlCluster {
  readonly write: (via: string, base: number, text: string) => Promise<ControlResponse>;
  readonly read: (via: string) => Promise<ControlResponse>;
  readonly put: (via: string, base: number, text: string) => Promise<string>;
  readonly get: (via: string) => Promise<string>;
  readonly router: (name: string) => ControlFeed;
}

/** Adds calls that run virtual time until there is a response. */
function withCalls(cluster: ControlCluster): TestCluster {
  async function responseOf(pending: Promise<ControlResponse>): Promise<ControlResponse> {
    const result: { response?: ControlResponse } = {};
    void pending.then((response) => (result.response = response));
    for (let n = 0; n < 100 && result.response === undefined; n += 1) await cluster.run(10);
    return result.response ?? { status: 'silent', epoch: 0, version: 0, value: Buffer.alloc(0) };
  }
  function write(via: string, base: number, text: string): Promise<ControlResponse> {
    return responseOf(
      cluster.request(via, { op: 'write', key: configurationKey, change: text, base, value: Buffer.from(text) }),
    );
  }
  function read(via: string): Promise<ControlResponse> {
    return responseOf(cluster.request(via, { op: 'read', key: configurationKey }));
  }
  return {
    ...cluster,
    write,
    read,
    put: async (via, base, text) => (await write(via, base, text)).status,
    get: async (via) => (await read(via)).value.toString(),
    router: (name) => cluster.startRouter(name).feed,
  };
}

async function founded(seed: number, names = bootstrapMemberNames): Promise<TestCluster> {
  return withCalls(await bootstrapControlCluster(seed, names));
}

it('is bootstrapped by its seeds, and brings acknowledged writes to every router', async () => {
  const cluster = await founded(1);
  expect(cluster.voting()).toEqual(bootstrapMemberNames);
  const router = cluster.router('r');
  expect(await cluster.put('c1', 0, 'one')).toBe('done');
  expect(await cluster.put('c2', 0, 'two')).toBe('lost');
  expect(await cluster.put('c0', 0, 'one')).toBe('done');
  await cluster.run(1000);
  expect(router.configuration()).toEqual({ version: 1, value: Buffer.from('one') });
  expect([router.isInContact(), router.routerCount()]).toEqual([true, 1]);
});

it('never bootstraps with an empty disk unless configured to', async () => {
  const cluster = createControlCluster(2);
  for (const name of bootstrapMemberNames) {
    cluster.add(name);
    cluster.start(name, name !== 'c2' && false);
  }
  await cluster.run(5000);
  expect(cluster.voting()).toEqual([]);
});

it('grows to five replicas if five machines start the system, and then tolerates the loss of two', async () => {
  const cluster = await founded(3, ['c0', 'c1', 'c2', 'c3', 'c4']);
  await cluster.run(3000);
  expect(cluster.replicas('c4')).toEqual(['c0', 'c1', 'c2', 'c3', 'c4']);
  expect(cluster.voting().length).toBe(5);
  expect(await cluster.put('c3', 0, 'one')).toBe('done');
  cluster.wipe('c0');
  cluster.kill('c1');
  await cluster.run(1300);
  expect(await cluster.get('c2')).toBe('one');
  expect(await cluster.put('c4', 1, 'two')).toBe('done');
});

it('readmits a replica with a wiped disk within two seconds with all data, and then tolerates the next loss', async () => {
  const cluster = await founded(4);
  expect(await cluster.put('c0', 0, 'one')).toBe('done');
  for (const [i, name] of bootstrapMemberNames.entries()) {
    cluster.wipe(name);
    await cluster.run(700);
    cluster.start(name);
    await cluster.run(2000);
    expect(cluster.voting()).toEqual(bootstrapMemberNames);
    expect(await cluster.get(name)).toBe(i === 0 ? 'one' : `after ${i - 1}`);
    expect(await cluster.put(name, i + 1, `after ${i}`)).toBe('done');
  }
});

it('readmits a replica with a wiped disk although all its seeds are gone and the first hellos of the cluster are lost', async () => {
  const cluster = await founded(12);
  cluster.network.intercept((m, _from, to) =>
    m.kind === 'ReplicaHello' && m.replicas.length > 0 && to === 'c0' ? [] : undefined,
  );
  cluster.wipe('c0');
  cluster.start('c0', false, ['x0', 'x1', 'x2']);
  await cluster.run(700);
  cluster.network.intercept(undefined);
  await cluster.run(1300);
  expect(cluster.voting()).toEqual(bootstrapMemberNames);
});

it('lets no wiped disk vote before it has copied from enough replicas to have every acknowledged write', async () => {
  const cluster = await founded(11);
  for (const unresponsive of ['c1', 'c2']) {
    cluster.network.intercept((m, from) => (m.kind === 'CopyPage' && from === unresponsive ? [] : undefined));
    cluster.wipe('c0');
    cluster.start('c0');
    await cluster.run(2500);
    expect(cluster.voting()).toEqual(['c1', 'c2']);
    cluster.network.intercept(undefined);
    await cluster.run(1000);
    expect(cluster.voting()).toEqual(bootstrapMemberNames);
  }
});

it('replaces a failed machine by one at a new address, and routers keep working without any of their seeds', async () => {
  const cluster = await founded(5);
  const router = cluster.router('r');
  expect(await cluster.put('c0', 0, 'v0')).toBe('done');
  for (const [i, name] of bootstrapMemberNames.entries()) {
    cluster.kill(name);
    cluster.add(`n${i}`);
    await cluster.run(500);
    cluster.start(`n${i}`, false, [`n${i}`, ...cluster.voting()]);
    await cluster.run(3000);
    expect(cluster.voting().length).toBe(3);
    expect(await cluster.put(`n${i}`, i + 1, `v${i + 1}`)).toBe('done');
  }
  expect(cluster.replicas('n0')).toEqual(['n0', 'n1', 'n2']);
  await cluster.run(500);
  expect(router.configuration()?.value.toString()).toBe('v3');
});

it('replaces a leaving machine at once, and keeps a standby waiting while no replica is missing', async () => {
  const cluster = await founded(6);
  expect(await cluster.put('c0', 0, 'one')).toBe('done');
  cluster.add('n');
  cluster.start('n');
  await cluster.run(3000);
  expect(cluster.voting()).toEqual(bootstrapMemberNames);
  expect(await cluster.get('n')).toBe('one');
  cluster.machine('c1').host!.leave(5_000_000, () => undefined);
  await cluster.run(700);
  expect(cluster.replicas('n')).toEqual(['c0', 'c2', 'n']);
  expect(cluster.voting()).toEqual(['c0', 'c2', 'n']);
});

it('fences a machine that was replaced while it was frozen, and uses it again as a standby', async () => {
  const cluster = await founded(7);
  expect(await cluster.put('c0', 0, 'one')).toBe('done');
  cluster.machine('c1').proc.frozen = true;
  cluster.add('n');
  cluster.start('n');
  await cluster.run(5000);
  expect(cluster.replicas('n')).toEqual(['c0', 'c2', 'n']);
  expect(await cluster.put('n', 1, 'two')).toBe('done');
  cluster.resume('c1');
  await cluster.run(50);
  expect(await cluster.put('c1', 1, 'three')).not.toBe('done');
  await cluster.run(3000);
  expect(cluster.replicas('c1')).toEqual(['c0', 'c2', 'n']);
  expect(await cluster.get('c1')).toBe('two');
  cluster.kill('c0');
  await cluster.run(3000);
  expect(cluster.voting()).toEqual(['c1', 'c2', 'n']);
  expect(await cluster.put('c1', 2, 'three')).toBe('done');
});

it('replaces no replica after a freeze of its own, during which it received nothing', async () => {
  const cluster = await founded(8);
  cluster.add('n');
  cluster.start('n');
  await cluster.run(1000);
  for (const name of bootstrapMemberNames) {
    cluster.machine(name).proc.frozen = true;
    await cluster.run(900);
    cluster.resume(name);
    await cluster.run(1500);
  }
  expect(cluster.replicas('c0')).toEqual(bootstrapMemberNames);
});

it('acknowledges at most one of several writes on the same version, whichever machines they reach', async () => {
  for (let seed = 20; seed < 30; seed += 1) {
    const cluster = await founded(seed);
    expect(await cluster.put('c0', 0, 'one')).toBe('done');
    const request = { op: 'write', key: configurationKey, base: 1 } as const;
    const statuses: string[] = [];
    for (const [i, name] of bootstrapMemberNames.entries())
      void cluster
        .request(name, { ...request, change: `x${i}`, value: Buffer.from(`x${i}`) })
        .then((response) => statuses.push(response.status));
    if (seed % 2 === 0) cluster.kill('c0');
    await cluster.run(2500);
    expect(statuses.filter((status) => status === 'done').length).toBeLessThan(2);
    expect((await cluster.get('c1')).length).toBeGreaterThan(0);
  }
});

it('serves all acknowledged writes again within two seconds after all replicas were killed', async () => {
  const cluster = await founded(9);
  expect(await cluster.put('c2', 0, 'one')).toBe('done');
  for (const name of bootstrapMemberNames) cluster.kill(name);
  await cluster.run(1000);
  for (const name of bootstrapMemberNames) cluster.start(name);
  await cluster.run(300);
  expect(await cluster.get('c1')).toBe('one');
  expect(await cluster.put('c0', 1, 'two')).toBe('done');
});

it('keeps acknowledging writes at every node while one disk hangs or is full', async () => {
  const cluster = await founded(10);
  let version = 0;
  for (const name of bootstrapMemberNames) {
    const disk = cluster.machine(name).disk;
    for (const fault of ['stalled', 'full'] as const) {
      disk[fault] = true;
      for (const via of bootstrapMemberNames) {
        const previous = version;
        for (let attempts = 0; attempts < 3 && version === previous; attempts += 1)
          if ((await cluster.put(via, version, `v${version}`)) === 'done') version += 1;
        expect([name, fault, via, version]).toEqual([name, fault, via, previous + 1]);
      }
      disk.full = false;
      disk.resume();
      await cluster.run(2500);
    }
  }
  expect(cluster.voting()).toEqual(bootstrapMemberNames);
});

it('brings an acknowledged write to routers although the leader of the key was killed right after it', async () => {
  for (let seed = 40; seed < 46; seed += 1) {
    const cluster = await founded(seed);
    const routers = [cluster.router('r0'), cluster.router('r1')];
    await cluster.run(1000);
    let leader = '';
    cluster.network.intercept((m, from) =>
      m.kind === 'News' && m.news.length > 0 && (leader === '' || from === leader) ? [] : undefined,
    );
    expect(await cluster.put('c0', 0, 'one')).toBe('done');
    leader = bootstrapMemberNames.find((name) =>
      cluster
        .machine(name)
        .host!.core()!
        .ledKeys()
        .some((led) => led.key === configurationKey),
    )!;
    cluster.kill(leader);
    await cluster.run(1700);
    for (const router of routers) expect(router.configuration()?.value.toString()).toBe('one');
  }
});

/**
 * Injects random faults one after the other, with recovery in between and at most one disk lost in each, while writes
 * are made and routers follow. Returns the violations that it found.
 */
async function injectFaults(seed: number, rounds: number, tamper?: Tamper): Promise<string[]> {
  const random = createSeededRandom(seed * 7919);
  const names = seed % 3 === 0 ? ['c0', 'c1', 'c2', 'c3', 'c4'] : [...bootstrapMemberNames];
  const cluster = await founded(seed, names);
  await cluster.run(2000);
  const feeds = [cluster.router('r0'), cluster.router('r1')];
  cluster.network.intercept(tamper);
  const acknowledged = new Map<number, string>();
  const seenVersions = feeds.map(() => 0);
  const violations: string[] = [];
  let writeCount = 0;

  function randomOf(items: readonly string[]): string {
    return items[Math.floor(random() * items.length)]!;
  }
  function alive(): string[] {
    return names.filter((name) => cluster.machine(name).proc.alive && !cluster.machine(name).proc.frozen);
  }
  /** Reads, then writes on the version that was read, sometimes twice at the same time. */
  async function readAndWrite(): Promise<boolean> {
    if (alive().length === 0) return false;
    const current = await cluster.read(randomOf(alive()));
    if (current.status !== 'value') return false;
    const newest = Math.max(0, ...acknowledged.keys());
    if (current.version < newest) violations.push(`read version ${current.version} after ${newest} was acknowledged`);
    const expected = acknowledged.get(current.version);
    if (expected !== undefined && expected !== current.value.toString())
      violations.push(`read ${current.value.toString()}, expected ${expected}`);
    if (alive().length === 0) return false;
    const texts = random() < 0.3 ? [`w${(writeCount += 1)}`, `w${(writeCount += 1)}`] : [`w${(writeCount += 1)}`];
    const responses = await Promise.all(texts.map((text) => cluster.write(randomOf(alive()), current.version, text)));
    responses.forEach((response, i) => {
      if (response.status !== 'done') return;
      if (response.version !== current.version + 1)
        violations.push(`${texts[i]} on version ${current.version} became version ${response.version}`);
      if (acknowledged.has(response.version))
        violations.push(`two writes on version ${current.version}: ${acknowledged.get(response.version)}, ${texts[i]}`);
      acknowledged.set(response.version, texts[i]!);
    });
    feeds.forEach((feed, i) => {
      const adopted = feed.configuration();
      if ((adopted?.version ?? 0) < seenVersions[i]!)
        violations.push(`a router returned to version ${adopted?.version}`);
      seenVersions[i] = adopted?.version ?? 0;
      const value = acknowledged.get(seenVersions[i]!);
      if (value !== undefined && value !== adopted?.value.toString())
        violations.push(`a router has ${adopted?.value.toString()}, expected ${value}`);
    });
    return responses.some((response) => response.status === 'done');
  }

  for (let round = 0; round < rounds; round += 1) {
    const name = randomOf(names);
    const machine = cluster.machine(name);
    const fault = randomOf(['kill', 'wipe', 'freeze', 'stall', 'full', 'cut', 'herd', 'replace', 'slow', 'leave']);
    if (fault === 'kill') cluster.kill(name);
    if (fault === 'wipe') cluster.wipe(name);
    if (fault === 'freeze') machine.proc.frozen = true;
    if (fault === 'stall') machine.disk.stalled = true;
    if (fault === 'full') machine.disk.full = true;
    if (fault === 'slow') machine.disk.extraLatencyUs = 125_000;
    if (fault === 'cut') cluster.network.partition('k', (from, to) => (from === name) !== (to === name));
    if (fault === 'herd') for (const other of names) cluster.kill(other);
    if (fault === 'leave') machine.host?.leave(5_000_000, () => undefined);
    if (fault === 'replace') {
      cluster.kill(name);
      names.splice(names.indexOf(name), 1, `s${round}`);
      cluster.add(`s${round}`);
      cluster.start(`s${round}`, false, [`s${round}`, ...cluster.voting()]);
    }
    const writes = 3 + Math.floor(random() * 10);
    for (let i = 0; i < writes; i += 1) {
      await readAndWrite();
      await cluster.run(random() * 500);
      if (i === 2) for (const other of names) if (!cluster.machine(other).proc.alive) cluster.start(other);
    }
    cluster.network.heal('k');
    machine.disk.full = false;
    machine.disk.extraLatencyUs = 0;
    machine.disk.resume();
    if (machine.proc.frozen) cluster.resume(name);
    if (fault === 'leave') cluster.kill(name);
    for (const other of names) if (!cluster.machine(other).proc.alive) cluster.start(other);
    await cluster.run(3000);
    let done = false;
    for (let i = 0; i < 4 && !done; i += 1) done = await readAndWrite();
    if (!done) violations.push(`${round}: no write acknowledged after ${fault} of ${name}`);
    await cluster.run(2000);
    if (cluster.voting().length < (seed % 3 === 0 ? 5 : 3))
      violations.push(`${round}: only ${cluster.voting().join()} vote after ${fault} of ${name}`);
    for (const feed of feeds)
      if ((feed.configuration()?.version ?? 0) < Math.max(...acknowledged.keys()))
        violations.push(`${round}: a router lags after ${fault}`);
    for (const feed of feeds) {
      if (
        feed
          .workers()
          .map((worker) => `${worker.id} ${worker.leaving}`)
          .join() !== 'a false,b true'
      )
        violations.push(`${round}: wrong list of workers`);
      if (feed.loads().size !== 2 || !feed.isInContact())
        violations.push(`${round}: loads missing, or no contact with the control nodes`);
    }
    if (violations.length > 0) break;
  }
  return violations.map((violation) => `seed ${seed}: ${violation}`);
}

it('loses no acknowledged write, never acknowledges two on one version and recovers from every fault', async () => {
  for (let seed = 1; seed <= 12; seed += 1) expect(await injectFaults(seed, 15)).toEqual([]);
});

/** Messages of the control cluster and its followers; those of other programs are covered by the tests of the fleet. */
const tamperedKinds = [
  'Join',
  'Committed',
  'Follow',
  'Beat',
  'WorkerList',
  'WorkerLoads',
  'News',
  'ReplicaHello',
  'CopyAsk',
  'CopyPage',
  'Prepare',
  'Accept',
  'Check',
  'Vote',
  'Ask',
  'Answer',
] as const;

/** Tampers with every third message of a kind; `counter` counts these. */
function tamperWith(kind: string, method: string, counter: { count: number }): Tamper {
  let seen = 0;
  const earlier = new Map<string, Message>();
  return function tamper(m, from, to) {
    if (m.kind !== kind) return undefined;
    seen += 1;
    if (seen % 3 !== 0) {
      if (seen % 7 === 1) earlier.set(`${from}>${to}`, m);
      return undefined;
    }
    counter.count += 1;
    if (method === 'dropped') return [];
    if (method === 'repeated') return [{ message: m }, { message: m }];
    if (method === 'late') return [{ message: m, delayUs: 400_000 }];
    const stale = earlier.get(`${from}>${to}`);
    return stale === undefined ? undefined : [{ message: stale }, { message: m }];
  };
}

describe.each(['dropped', 'repeated', 'late', 'stale'])('%s', (method) => {
  it.each(tamperedKinds)('%s', async (kind) => {
    const counter = { count: 0 };
    for (let seed = 1; seed <= 4; seed += 1)
      expect(await injectFaults(seed, 10, tamperWith(kind, method, counter))).toEqual([]);
    expect(counter.count).toBeGreaterThan(0);
  });
});

it('gives a starting router no old configuration from a partitioned control node, and the newest after the partition', async () => {
  const cluster = await founded(21);
  expect(await cluster.put('c0', 0, 'one')).toBe('done');
  await cluster.run(500);
  for (const cut of bootstrapMemberNames) {
    const [via] = bootstrapMemberNames.filter((name) => name !== cut);
    const routerName = `r-${cut}`;
    cluster.network.partition(
      'apart',
      (from, to) => [cut, routerName].includes(from) !== [cut, routerName].includes(to),
    );
    await cluster.run(2500);
    const version = 1 + bootstrapMemberNames.indexOf(cut);
    expect(await cluster.put(via!, version, `after ${cut}`)).toBe('done');
    const router = cluster.router(routerName);
    await cluster.run(2000);
    expect(router.configuration()).toBeUndefined();
    cluster.network.heal('apart');
    await cluster.run(1000);
    expect(router.configuration()).toEqual({ version: version + 1, value: Buffer.from(`after ${cut}`) });
  }
});
