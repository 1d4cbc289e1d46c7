/**
 * The mechanisms that docs/control-safety.md names, each brought to the point where it matters, on whole control nodes
 * in virtual time. Each of these fails when its mechanism is taken out; the page says how.
 */
import { describe, expect, it } from 'vitest';
import * as E from 'fp-ts/lib/Either.js';
import { encodeMembership, servingLeaseUs, membershipKey, readJournal } from '@tansypost/control-state';
import type { Address } from '@tansypost/inner-protocol';
import { foundControlCluster, seedNames, type ClusterMachine, type ControlCluster } from '@tansypost/simulator';
import type { ControlResponse } from './asker.js';
import { configurationKey } from './configuration.js';

const router = 'r:1' as Address;

async function answered(cluster: ControlCluster, asked: Promise<ControlResponse>): Promise<ControlResponse> {
  const got: { answer?: ControlResponse } = {};
  void asked.then((answer) => (got.answer = answer));
  for (let n = 0; n < 100 && got.answer === undefined; n += 1) await cluster.run(10);
  return got.answer ?? { status: 'silent', epoch: 0, version: 0, value: Buffer.alloc(0) };
}

function put(cluster: ControlCluster, via: string, base: number, text: string, key = configurationKey) {
  const value = Buffer.from(text);
  return answered(cluster, cluster.ask(via, { op: 'write', key, change: text, base, value }));
}

function replicaOf(machine: ClusterMachine) {
  return machine.host!.controlNode()!.replica;
}

function follow(cluster: ControlCluster, name: string) {
  return cluster.machine(name).host!.controlNode()!.follow(configurationKey, 0, 0, router);
}

async function leasedAt(cluster: ControlCluster, name: string): Promise<boolean> {
  follow(cluster, name);
  await cluster.run(50);
  return follow(cluster, name).leased;
}

describe('serving leases', () => {
  it('hands out as current only for so long after a majority confirmed it, and again once it is back', async () => {
    const cluster = await foundControlCluster(21);
    expect((await put(cluster, 'c1', 0, 'one')).status).toBe('done');
    await cluster.run(100);
    for (const name of seedNames) expect(await leasedAt(cluster, name)).toBe(true);
    cluster.net.cut('alone', (from, to) => (from === 'c0') !== (to === 'c0'));
    expect((await put(cluster, 'c1', 1, 'two')).status).toBe('done');
    await cluster.run(servingLeaseUs / 1000);
    expect(follow(cluster, 'c0')).toMatchObject({ version: 1, voting: true, leased: false });
    expect(await leasedAt(cluster, 'c1')).toBe(true);
    await cluster.run(20_000);
    expect(follow(cluster, 'c0').leased).toBe(false);
    cluster.net.heal('alone');
    await cluster.run(1000);
    expect(follow(cluster, 'c0')).toMatchObject({ version: 2, leased: true });
  });

  it('holds none after a freeze until a majority was asked again', async () => {
    const cluster = await foundControlCluster(22);
    expect((await put(cluster, 'c1', 0, 'one')).status).toBe('done');
    expect(await leasedAt(cluster, 'c0')).toBe(true);
    cluster.machine('c0').proc.frozen = true;
    expect((await put(cluster, 'c2', 1, 'two')).status).toBe('done');
    await cluster.run(20_000);
    expect(follow(cluster, 'c0').leased).toBe(false);
  });

  it('is not renewed where a majority shows something newer than what is handed out', async () => {
    const cluster = await foundControlCluster(23);
    expect((await put(cluster, 'c1', 0, 'one')).status).toBe('done');
    for (const name of seedNames) expect(await leasedAt(cluster, name)).toBe(true);
    // This node votes and hears all but what would tell it of newer values.
    cluster.net.tamper((message, _from, to) =>
      to === 'c0' && ['Accept', 'Committed', 'CopyPage', 'News'].includes(message.kind) ? [] : undefined,
    );
    expect((await put(cluster, 'c1', 1, 'two')).status).toBe('done');
    await cluster.run(servingLeaseUs / 1000);
    expect(follow(cluster, 'c0')).toMatchObject({ version: 1, leased: false });
  });
});

describe('a leader that is cut off', () => {
  it('answers neither a read nor an order, however well it knows what was in force', async () => {
    const cluster = await foundControlCluster(37);
    expect((await put(cluster, 'c0', 0, 'one')).status).toBe('done');
    const leader = cluster.leaders()[0]!;
    const others = seedNames.filter((name) => name !== leader);
    cluster.net.cut('alone', (from, to) => (from === leader) !== (to === leader));
    expect((await put(cluster, others[0]!, 1, 'two')).status).toBe('done');
    for (let second = 0; second < 20; second += 1) {
      const before = cluster.e.now();
      const read = await answered(cluster, cluster.ask(leader, { op: 'read', key: configurationKey }));
      const [again, stale, next] = await Promise.all([
        put(cluster, leader, 0, 'one'),
        put(cluster, leader, 0, 'stale'),
        put(cluster, leader, 1, 'next'),
      ]);
      for (const answer of [read, again, stale, next]) expect(answer.status).toBe('unknown');
      expect(cluster.e.now() - before).toBeLessThan(2_000_000);
    }
  });
});

describe('identity of orders', () => {
  it('acknowledges an order that is sent again after hundreds of others, by any node, also after takeovers', async () => {
    const cluster = await foundControlCluster(24);
    for (let n = 0; n < 600; n += 1)
      expect((await put(cluster, seedNames[n % 3]!, n, `order ${n}`)).status).toBe('done');
    for (const [leaver, asked] of [
      ['c0', 'c1'],
      ['c1', 'c2'],
      ['c2', 'c0'],
    ] as const) {
      cluster.kill(leaver);
      await cluster.run(1500);
      for (const n of [0, 1, 2, 300, 599])
        expect(await put(cluster, asked, n, `order ${n}`)).toMatchObject({ status: 'done', version: n + 1 });
      expect((await put(cluster, asked, 3, 'another')).status).toBe('lost');
      cluster.start(leaver);
      await cluster.run(1500);
    }
  });

  it('writes as much for the six hundredth change as for the first', async () => {
    const cluster = await foundControlCluster(25);
    const sizes: number[] = [];
    for (let n = 0; n < 600; n += 1) {
      const before = cluster.machine('c1').disk.bytes().length;
      await put(cluster, 'c1', n, `order ${1000 + n}`);
      sizes.push(cluster.machine('c1').disk.bytes().length - before);
    }
    const early = sizes.slice(10, 60).reduce((sum, size) => sum + size, 0);
    const late = sizes.slice(550, 600).reduce((sum, size) => sum + size, 0);
    expect(late).toBeLessThan(1.2 * early);
  });

  it('confirms one of two operators only under one base, and one order in eight copies each time', async () => {
    const cluster = await foundControlCluster(26);
    for (let base = 0; base < 12; base += 1) {
      const copies = seedNames.concat(seedNames).map((via) => put(cluster, via, base, `left ${base}`));
      const others = ['c0', 'c1'].map((via) => put(cluster, via, base, `right ${base}`));
      const [left, right] = [await Promise.all(copies), await Promise.all(others)];
      const takenLeft = left.some((answer) => answer.status === 'done');
      const takenRight = right.some((answer) => answer.status === 'done');
      expect([takenLeft, takenRight].filter((taken) => taken)).toHaveLength(1);
      const ofTaken = takenLeft ? left : right;
      expect(ofTaken.every((answer) => answer.status === 'done' || answer.status === 'unknown')).toBe(true);
    }
  });
});

describe('changes of the membership', () => {
  it('writes a machine into the record only once it has copied, and lets it vote within 100 ms then', async () => {
    const cluster = await foundControlCluster(27);
    for (let n = 0; n < 40; n += 1) await put(cluster, 'c0', 0, `value ${n}`, `paths/${n}`);
    cluster.kill('c2');
    await cluster.run(2000);
    cluster.add('n');
    cluster.machine('n').disk.slowUs = 30_000;
    cluster.start('n', false, ['n', 'c0', 'c1']);
    for (let ms = 0; !cluster.replicas('c0').includes('n'); ms += 10) {
      expect(ms).toBeLessThan(4000);
      await cluster.run(10);
    }
    const synced = readJournal(cluster.machine('n').disk.bytes());
    const keys = E.isRight(synced) ? synced.right.records.map((record) => record.key) : [];
    expect(keys).toEqual(expect.arrayContaining(['paths/0', 'paths/39']));
    await cluster.run(100);
    expect(cluster.voting()).toEqual(['c0', 'c1', 'n']);
  });

  it('does not replace a replica that one of the others still hears', async () => {
    const cluster = await foundControlCluster(28);
    expect((await put(cluster, 'c0', 0, 'one')).status).toBe('done');
    cluster.add('n');
    cluster.start('n', false, ['n', 'c0', 'c1', 'c2']);
    for (const deaf of seedNames) {
      const lost = seedNames[(seedNames.indexOf(deaf) + 1) % 3]!;
      cluster.net.cut('one way', (from, to) => from === lost && to === deaf);
      await cluster.run(6000);
      expect(cluster.replicas('n')).toEqual(seedNames);
      cluster.net.heal('one way');
      await cluster.run(1500);
    }
  });

  it('leaves a replica its slot that was frozen for less than the time after which it may be replaced', async () => {
    const cluster = await foundControlCluster(29);
    cluster.add('n');
    cluster.start('n', false, ['n', 'c0', 'c1', 'c2']);
    await cluster.run(1000);
    cluster.machine('c1').proc.frozen = true;
    await cluster.run(1100);
    cluster.wake('c1');
    await cluster.run(3000);
    expect(cluster.voting()).toEqual(seedNames);
  });
});

describe('a leaving replica', () => {
  it('ends only when a successor votes, where a machine stands ready', async () => {
    const cluster = await foundControlCluster(30);
    expect((await put(cluster, 'c0', 0, 'one')).status).toBe('done');
    cluster.add('n');
    cluster.start('n', false, ['n', 'c0', 'c1', 'c2']);
    await cluster.run(1000);
    const ended: { result?: string; voting?: string[] } = {};
    cluster
      .machine('c1')
      .host!.leave(6_000_000, (result) => Object.assign(ended, { result, voting: cluster.voting() }));
    await cluster.run(3000);
    expect(ended).toEqual({ result: 'replaced', voting: ['c0', 'c2', 'n'] });
  });

  it('brings the only fresh copy beside one other to all that stay before it ends', async () => {
    const cluster = await foundControlCluster(31);
    expect((await put(cluster, 'c0', 0, 'one')).status).toBe('done');
    const leader = cluster.leaders()[0]!;
    const [third, leaver] = seedNames.filter((name) => name !== leader) as [string, string];
    // The third is there, but nothing new reaches it; later only what the one that leaves sends on.
    let leaving = false;
    cluster.net.tamper((message, from, to) => {
      if (to !== third || !['Accept', 'CopyPage'].includes(message.kind)) return undefined;
      const repair = message.kind === 'Accept' && message.id.startsWith('repair/');
      return leaving && from === leaver && message.kind === 'Accept' && !repair ? undefined : [];
    });
    expect((await put(cluster, leader, 1, 'two')).status).toBe('done');
    expect(replicaOf(cluster.machine(third)).row(configurationKey).version).toBeLessThan(2);
    const ended: { result?: string } = {};
    leaving = true;
    cluster.machine(leaver).host!.leave(6_000_000, (result) => (ended.result = result));
    await cluster.run(2000);
    expect(ended.result).toBe('copied');
    expect(replicaOf(cluster.machine(third)).row(configurationKey)).toMatchObject({ version: 2 });
  });

  it('says that it could not hand over where those that stay are no majority', async () => {
    const cluster = await foundControlCluster(32);
    expect((await put(cluster, 'c0', 0, 'one')).status).toBe('done');
    cluster.kill('c0');
    const ended: { result?: string; at?: number } = {};
    const begun = cluster.e.now();
    cluster.machine('c1').host!.leave(3_000_000, (result) => Object.assign(ended, { result, at: cluster.e.now() }));
    await cluster.run(5000);
    expect(ended.result).toBe('incomplete');
    expect(ended.at! - begun).toBeLessThanOrEqual(3_100_000);
  });
});

describe('catching up', () => {
  it('brings a member that was away all it missed within a second, whatever the number of keys', async () => {
    const cluster = await foundControlCluster(33);
    cluster.kill('c2');
    for (let n = 0; n < 120; n += 1) await put(cluster, 'c0', 0, `value ${n}`, `paths/${n}`);
    cluster.start('c2');
    await cluster.run(1000);
    for (let n = 0; n < 120; n += 1)
      expect(replicaOf(cluster.machine('c2')).row(`paths/${n}`).value.toString()).toBe(`value ${n}`);
  });

  it('brings the same to one that was cut off, though its process went on', async () => {
    const cluster = await foundControlCluster(34);
    cluster.net.cut('alone', (from, to) => (from === 'c2') !== (to === 'c2'));
    for (let n = 0; n < 120; n += 1) await put(cluster, 'c0', 0, `value ${n}`, `paths/${n}`);
    cluster.net.heal('alone');
    await cluster.run(1500);
    for (let n = 0; n < 120; n += 1)
      expect(replicaOf(cluster.machine('c2')).row(`paths/${n}`).value.toString()).toBe(`value ${n}`);
  });
});

describe('a disk that is not of this cluster, or cannot be read', () => {
  async function withRecord(seed: number, value: Buffer): Promise<ControlCluster> {
    const cluster = await foundControlCluster(seed);
    expect((await put(cluster, 'c0', 0, 'one')).status).toBe('done');
    const replica = replicaOf(cluster.machine('c2'));
    const row = replica.row(membershipKey);
    replica.putRow(membershipKey, { ...row, promised: 800, epoch: 800, version: 9, value }, [], () => undefined);
    await cluster.run(100);
    cluster.kill('c2');
    cluster.start('c2');
    await cluster.run(3000);
    return cluster;
  }

  it.each([
    ['damaged', Buffer.from('{"format":2,"cluster":"x","replicas":[{"slot":"one"}]}')],
    ['no record at all', Buffer.from('\u0000')],
    ['from a newer release', Buffer.from('{"format":3}')],
  ])('does not vote with a membership record that is %s, and the others go on', async (_what, value) => {
    const cluster = await withRecord(35, value);
    expect(replicaOf(cluster.machine('c2')).state()).toBe('unusable');
    expect(cluster.voting()).toEqual(['c0', 'c1']);
    expect((await put(cluster, 'c1', 1, 'two')).status).toBe('done');
  });

  it('does not vote, nor bring its record to the others, with the disk of another cluster', async () => {
    const entries = seedNames.map((name, slot) => ({ slot, address: `${name}:1`, disk: `other${slot}` }));
    const foreign = await foundControlCluster(36);
    const own = replicaOf(foreign.machine('c2')).diskId();
    const record = encodeMembership('other', [...entries.slice(0, 2), { slot: 2, address: 'c2:1', disk: own }]);
    const cluster = await withRecord(36, record);
    expect(replicaOf(cluster.machine('c2')).state()).toBe('unusable');
    expect(cluster.replicas('c0')).toEqual(seedNames);
    expect((await put(cluster, 'c0', 1, 'two')).status).toBe('done');
  });
});
