/**
 * The safety mechanisms described in docs/control-safety.md, each in a situation that depends on it, on complete
 * control nodes in virtual time. Each test fails if its mechanism is removed; the document says how.
 */
import { describe, expect, it } from 'vitest';
import * as E from 'fp-ts/lib/Either.js';
import { encodeMembership, servingLeaseUs, membershipKey, readJournal } from '@tansypost/control-state';
import type { Address } from '@tansypost/inner-protocol';
import {
  bootstrapControlCluster,
  bootstrapMemberNames,
  type ClusterMachine,
  type ControlCluster,
} from '@tansypost/simulator';
import type { ControlResponse } from './control-client.js';
import { configurationKey } from './configuration.js';

const router = 'r:1' as Address;

/** Runs virtual time until there is a response, for up to a second. */
async function responseOf(cluster: ControlCluster, pending: Promise<ControlResponse>): Promise<ControlResponse> {
  const result: { response?: ControlResponse } = {};
  void pending.then((response) => (result.response = response));
  for (let n = 0; n < 100 && result.response === undefined; n += 1) await cluster.run(10);
  return result.response ?? { status: 'silent', epoch: 0, version: 0, value: Buffer.alloc(0) };
}

function write(cluster: ControlCluster, via: string, base: number, text: string, key = configurationKey) {
  const value = Buffer.from(text);
  return responseOf(cluster, cluster.request(via, { op: 'write', key, change: text, base, value }));
}

function replicaOf(machine: ClusterMachine) {
  return machine.host!.core()!.replica;
}

function follow(cluster: ControlCluster, name: string) {
  return cluster.machine(name).host!.core()!.follow(configurationKey, 0, 0, router);
}

async function leasedAt(cluster: ControlCluster, name: string): Promise<boolean> {
  follow(cluster, name);
  await cluster.run(50);
  return follow(cluster, name).leased;
}

describe('serving leases', () => {
  it('serves a version as current only for a limited time after a majority confirmed it, and again after reconnecting', async () => {
    const cluster = await bootstrapControlCluster(21);
    expect((await write(cluster, 'c1', 0, 'one')).status).toBe('done');
    await cluster.run(100);
    for (const name of bootstrapMemberNames) expect(await leasedAt(cluster, name)).toBe(true);
    cluster.network.partition('alone', (from, to) => (from === 'c0') !== (to === 'c0'));
    expect((await write(cluster, 'c1', 1, 'two')).status).toBe('done');
    await cluster.run(servingLeaseUs / 1000);
    expect(follow(cluster, 'c0')).toMatchObject({ version: 1, voting: true, leased: false });
    expect(await leasedAt(cluster, 'c1')).toBe(true);
    await cluster.run(20_000);
    expect(follow(cluster, 'c0').leased).toBe(false);
    cluster.network.heal('alone');
    await cluster.run(1000);
    expect(follow(cluster, 'c0')).toMatchObject({ version: 2, leased: true });
  });

  it('holds no lease after a freeze until a majority has confirmed again', async () => {
    const cluster = await bootstrapControlCluster(22);
    expect((await write(cluster, 'c1', 0, 'one')).status).toBe('done');
    expect(await leasedAt(cluster, 'c0')).toBe(true);
    cluster.machine('c0').proc.frozen = true;
    expect((await write(cluster, 'c2', 1, 'two')).status).toBe('done');
    await cluster.run(20_000);
    expect(follow(cluster, 'c0').leased).toBe(false);
  });

  it('is not renewed if a majority has something newer than what the node serves', async () => {
    const cluster = await bootstrapControlCluster(23);
    expect((await write(cluster, 'c1', 0, 'one')).status).toBe('done');
    for (const name of bootstrapMemberNames) expect(await leasedAt(cluster, name)).toBe(true);
    // This node votes and receives everything but the messages that carry newer values.
    cluster.network.intercept((message, _from, to) =>
      to === 'c0' && ['Accept', 'Committed', 'CopyPage', 'News'].includes(message.kind) ? [] : undefined,
    );
    expect((await write(cluster, 'c1', 1, 'two')).status).toBe('done');
    await cluster.run(servingLeaseUs / 1000);
    expect(follow(cluster, 'c0')).toMatchObject({ version: 1, leased: false });
  });
});

describe('a partitioned leader', () => {
  it('answers neither reads nor writes, although it knows the last committed version', async () => {
    const cluster = await bootstrapControlCluster(37);
    expect((await write(cluster, 'c0', 0, 'one')).status).toBe('done');
    const leader = cluster.leaders()[0]!;
    const others = bootstrapMemberNames.filter((name) => name !== leader);
    cluster.network.partition('alone', (from, to) => (from === leader) !== (to === leader));
    expect((await write(cluster, others[0]!, 1, 'two')).status).toBe('done');
    for (let round = 0; round < 20; round += 1) {
      const startedAt = cluster.engine.now();
      const read = await responseOf(cluster, cluster.request(leader, { op: 'read', key: configurationKey }));
      const [repeated, stale, next] = await Promise.all([
        write(cluster, leader, 0, 'one'),
        write(cluster, leader, 0, 'stale'),
        write(cluster, leader, 1, 'next'),
      ]);
      for (const answer of [read, repeated, stale, next]) expect(answer.status).toBe('unknown');
      expect(cluster.engine.now() - startedAt).toBeLessThan(2_000_000);
    }
  });
});

describe('idempotency of writes', () => {
  it('acknowledges a write that is repeated after hundreds of others, at any node and also after leadership changes', async () => {
    const cluster = await bootstrapControlCluster(24);
    for (let n = 0; n < 600; n += 1)
      expect((await write(cluster, bootstrapMemberNames[n % 3]!, n, `write ${n}`)).status).toBe('done');
    for (const [stopped, contacted] of [
      ['c0', 'c1'],
      ['c1', 'c2'],
      ['c2', 'c0'],
    ] as const) {
      cluster.kill(stopped);
      await cluster.run(1500);
      for (const n of [0, 1, 2, 300, 599])
        expect(await write(cluster, contacted, n, `write ${n}`)).toMatchObject({ status: 'done', version: n + 1 });
      expect((await write(cluster, contacted, 3, 'another')).status).toBe('lost');
      cluster.start(stopped);
      await cluster.run(1500);
    }
  });

  it('writes no more to disk for the six hundredth write than for the first ones', async () => {
    const cluster = await bootstrapControlCluster(25);
    const bytesWritten: number[] = [];
    for (let n = 0; n < 600; n += 1) {
      const sizeBefore = cluster.machine('c1').disk.bytes().length;
      await write(cluster, 'c1', n, `write ${1000 + n}`);
      bytesWritten.push(cluster.machine('c1').disk.bytes().length - sizeBefore);
    }
    const early = bytesWritten.slice(10, 60).reduce((sum, size) => sum + size, 0);
    const late = bytesWritten.slice(550, 600).reduce((sum, size) => sum + size, 0);
    expect(late).toBeLessThan(1.2 * early);
  });

  it('acknowledges only one of two conflicting writes with the same base, and every copy of that one', async () => {
    const cluster = await bootstrapControlCluster(26);
    for (let base = 0; base < 12; base += 1) {
      const copies = bootstrapMemberNames
        .concat(bootstrapMemberNames)
        .map((via) => write(cluster, via, base, `left ${base}`));
      const others = ['c0', 'c1'].map((via) => write(cluster, via, base, `right ${base}`));
      const [left, right] = [await Promise.all(copies), await Promise.all(others)];
      const leftWon = left.some((answer) => answer.status === 'done');
      const rightWon = right.some((answer) => answer.status === 'done');
      expect([leftWon, rightWon].filter((won) => won)).toHaveLength(1);
      const winner = leftWon ? left : right;
      expect(winner.every((answer) => answer.status === 'done' || answer.status === 'unknown')).toBe(true);
    }
  });
});

describe('membership changes', () => {
  it('adds a machine to the record only once it has caught up, and lets it vote within 100 ms after that', async () => {
    const cluster = await bootstrapControlCluster(27);
    for (let n = 0; n < 40; n += 1) await write(cluster, 'c0', 0, `value ${n}`, `paths/${n}`);
    cluster.kill('c2');
    await cluster.run(2000);
    cluster.add('n');
    cluster.machine('n').disk.extraLatencyUs = 30_000;
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

  it('does not replace a replica that any other replica is still in contact with', async () => {
    const cluster = await bootstrapControlCluster(28);
    expect((await write(cluster, 'c0', 0, 'one')).status).toBe('done');
    cluster.add('n');
    cluster.start('n', false, ['n', 'c0', 'c1', 'c2']);
    for (const isolated of bootstrapMemberNames) {
      const unheard = bootstrapMemberNames[(bootstrapMemberNames.indexOf(isolated) + 1) % 3]!;
      cluster.network.partition('one way', (from, to) => from === unheard && to === isolated);
      await cluster.run(6000);
      expect(cluster.replicas('n')).toEqual(bootstrapMemberNames);
      cluster.network.heal('one way');
      await cluster.run(1500);
    }
  });

  it('keeps a replica that was frozen for less than the time after which it may be replaced', async () => {
    const cluster = await bootstrapControlCluster(29);
    cluster.add('n');
    cluster.start('n', false, ['n', 'c0', 'c1', 'c2']);
    await cluster.run(1000);
    cluster.machine('c1').proc.frozen = true;
    await cluster.run(1100);
    cluster.resume('c1');
    await cluster.run(3000);
    expect(cluster.voting()).toEqual(bootstrapMemberNames);
  });
});

describe('a leaving replica', () => {
  it('stops only once a successor votes, if a standby machine is available', async () => {
    const cluster = await bootstrapControlCluster(30);
    expect((await write(cluster, 'c0', 0, 'one')).status).toBe('done');
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

  it('copies a value that only one other replica has to all remaining replicas before it stops', async () => {
    const cluster = await bootstrapControlCluster(31);
    expect((await write(cluster, 'c0', 0, 'one')).status).toBe('done');
    const leader = cluster.leaders()[0]!;
    const [outdated, leaver] = bootstrapMemberNames.filter((name) => name !== leader) as [string, string];
    // The third replica is up but receives no new values; once the other one leaves, only those that it sends.
    let leaving = false;
    cluster.network.intercept((message, from, to) => {
      if (to !== outdated || !['Accept', 'CopyPage'].includes(message.kind)) return undefined;
      const repair = message.kind === 'Accept' && message.id.startsWith('repair/');
      return leaving && from === leaver && message.kind === 'Accept' && !repair ? undefined : [];
    });
    expect((await write(cluster, leader, 1, 'two')).status).toBe('done');
    expect(replicaOf(cluster.machine(outdated)).row(configurationKey).version).toBeLessThan(2);
    const ended: { result?: string } = {};
    leaving = true;
    cluster.machine(leaver).host!.leave(6_000_000, (result) => (ended.result = result));
    await cluster.run(2000);
    expect(ended.result).toBe('copied');
    expect(replicaOf(cluster.machine(outdated)).row(configurationKey)).toMatchObject({ version: 2 });
  });

  it('reports that the handover is incomplete if the remaining replicas are no majority', async () => {
    const cluster = await bootstrapControlCluster(32);
    expect((await write(cluster, 'c0', 0, 'one')).status).toBe('done');
    cluster.kill('c0');
    const ended: { result?: string; at?: number } = {};
    const startedAt = cluster.engine.now();
    cluster
      .machine('c1')
      .host!.leave(3_000_000, (result) => Object.assign(ended, { result, at: cluster.engine.now() }));
    await cluster.run(5000);
    expect(ended.result).toBe('incomplete');
    expect(ended.at! - startedAt).toBeLessThanOrEqual(3_100_000);
  });
});

describe('catching up', () => {
  it('brings a replica that was stopped up to date within a second, whatever the number of keys', async () => {
    const cluster = await bootstrapControlCluster(33);
    cluster.kill('c2');
    for (let n = 0; n < 120; n += 1) await write(cluster, 'c0', 0, `value ${n}`, `paths/${n}`);
    cluster.start('c2');
    await cluster.run(1000);
    for (let n = 0; n < 120; n += 1)
      expect(replicaOf(cluster.machine('c2')).row(`paths/${n}`).value.toString()).toBe(`value ${n}`);
  });

  it('brings a replica up to date that was partitioned while its process kept running', async () => {
    const cluster = await bootstrapControlCluster(34);
    cluster.network.partition('alone', (from, to) => (from === 'c2') !== (to === 'c2'));
    for (let n = 0; n < 120; n += 1) await write(cluster, 'c0', 0, `value ${n}`, `paths/${n}`);
    cluster.network.heal('alone');
    await cluster.run(1500);
    for (let n = 0; n < 120; n += 1)
      expect(replicaOf(cluster.machine('c2')).row(`paths/${n}`).value.toString()).toBe(`value ${n}`);
  });
});

describe('a disk of another cluster or with an unreadable membership record', () => {
  async function restartWithRecord(seed: number, value: Buffer): Promise<ControlCluster> {
    const cluster = await bootstrapControlCluster(seed);
    expect((await write(cluster, 'c0', 0, 'one')).status).toBe('done');
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
  ])('does not vote with a membership record that is %s, and the others continue', async (_description, value) => {
    const cluster = await restartWithRecord(35, value);
    expect(replicaOf(cluster.machine('c2')).state()).toBe('unusable');
    expect(cluster.voting()).toEqual(['c0', 'c1']);
    expect((await write(cluster, 'c1', 1, 'two')).status).toBe('done');
  });

  it('neither votes nor spreads its membership record with the disk of another cluster', async () => {
    const entries = bootstrapMemberNames.map((name, slot) => ({ slot, address: `${name}:1`, disk: `other${slot}` }));
    const foreign = await bootstrapControlCluster(36);
    const own = replicaOf(foreign.machine('c2')).diskId();
    const record = encodeMembership('other', [...entries.slice(0, 2), { slot: 2, address: 'c2:1', disk: own }]);
    const cluster = await restartWithRecord(36, record);
    expect(replicaOf(cluster.machine('c2')).state()).toBe('unusable');
    expect(cluster.replicas('c0')).toEqual(bootstrapMemberNames);
    expect((await write(cluster, 'c0', 1, 'two')).status).toBe('done');
  });
});
