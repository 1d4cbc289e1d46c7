/** A replica on an in-memory disk: compaction of its journal, and when it refuses to vote. */
import { expect, it } from 'vitest';
import { micros, type Address, type World } from '@tansypost/inner-protocol';
import type { Disk } from './disk.js';
import type { JournalRecord } from './journal.js';
import { createReplica, type Replica } from './replica.js';

/** A world in which time stands still and no other process exists. */
const world: World = {
  now: () => micros(0),
  random: () => 0.5,
  after: () => () => undefined,
  send: () => undefined,
  log: () => undefined,
};

it('compacts its journal when it grows, and restarts from it with every row', () => {
  let file: JournalRecord[] = [];
  let rewrites = 0;
  const disk: Disk = {
    append: (record, done) => {
      file.push(record);
      done();
    },
    rewrite: (records, done) => {
      rewrites += 1;
      file = [...records];
      done();
    },
    size: () => file.length * 400,
  };
  function open(): Replica {
    return createReplica(world, {
      slot: 0,
      self: 'a' as Address,
      bootstrapMembers: [],
      disk,
      storedRecords: [...file],
      newDiskId: 'fresh',
      compactAboveBytes: 4000,
    });
  }
  const replica = open();
  for (let n = 1; n <= 60; n += 1)
    replica.putRow(
      `k${n % 3}`,
      { promised: n, epoch: n, version: n, value: Buffer.from(`v${n}`) },
      [{ id: `c${n}`, version: n, epoch: n }],
      () => undefined,
    );
  expect(rewrites).toBeGreaterThan(2);
  expect(file.length).toBeLessThan(30);
  const reopened = open();
  expect(reopened.diskId()).toBe('fresh');
  for (const key of ['k0', 'k1', 'k2']) {
    expect(reopened.row(key)).toEqual(replica.row(key));
    expect(reopened.history(key).list()).toEqual(replica.history(key).list());
    expect(reopened.history(key).list()).toHaveLength(20);
  }
});

it('refuses a vote for an older membership or a lower epoch, and before it is a voting member', () => {
  const file: JournalRecord[] = [];
  const disk: Disk = {
    append: (record, done) => done(void file.push(record)),
    rewrite: (_records, done) => done(),
    size: () => 0,
  };
  const replicas = ['a', 'b', 'c'].map((address, slot) => ({ slot, address, disk: `d${slot}` }));
  function record(kind: string, key: string, epoch: number, value = Buffer.alloc(0)): JournalRecord {
    return { kind, key, promised: epoch, epoch, version: epoch, value, changes: [] };
  }
  const found = [
    record('disk', 'd0', 0),
    record('state', 'voting', 0),
    record('row', 'core', 32, Buffer.from(JSON.stringify(replicas))),
    record('row', 'k', 17),
  ];
  function accept(overrides: { membershipEpoch?: number; epoch?: number }, from = found): boolean {
    const replica = createReplica(world, {
      slot: undefined,
      self: 'a' as Address,
      bootstrapMembers: [],
      disk,
      storedRecords: from,
      newDiskId: 'x',
    });
    let ok = false;
    replica.vote(
      {
        kind: 'Accept',
        id: '',
        from: '',
        key: 'k',
        membershipEpoch: 32,
        epoch: 17,
        version: 18,
        value: Buffer.from('v'),
        changes: [],
        ...overrides,
      },
      (vote) => {
        ok = vote.ok;
      },
    );
    return ok;
  }
  expect(accept({})).toBe(true);
  expect(accept({ membershipEpoch: 31 })).toBe(false);
  expect(accept({ epoch: 16 })).toBe(false);
  expect(accept({}, [found[0]!, ...found.slice(2)])).toBe(false);
  expect(accept({}, [record('disk', 'other', 0), ...found.slice(1)])).toBe(false);
});

it('votes after a power loss between writing the bootstrap membership record, which names its disk, and its state', () => {
  const disk: Disk = { append: (_record, done) => done(), rewrite: (_r, done) => done(), size: () => 0 };
  function stateAfterStart(own: string, membershipEpoch: number): string {
    const members = ['a', 'b', 'c'].map((address, slot) => ({ slot, address, disk: `d${slot}` }));
    const value = Buffer.from(JSON.stringify({ format: 2, cluster: 'd0-d1-d2', replicas: members }));
    const row = { promised: membershipEpoch, epoch: membershipEpoch, version: 1 };
    const found: JournalRecord[] = [
      { kind: 'disk', key: own, promised: 0, epoch: 0, version: 0, value: Buffer.alloc(0), changes: [] },
      { kind: 'row', key: 'core', ...row, value, changes: [] },
    ];
    const replica = createReplica(world, {
      slot: undefined,
      self: 'a' as Address,
      bootstrapMembers: [],
      disk,
      storedRecords: found,
      newDiskId: 'x',
    });
    replica.tick();
    return replica.state();
  }
  expect(stateAfterStart('d0', 1)).toBe('voting');
  expect(stateAfterStart('other', 1)).toBe('blank');
  // A later record may name a disk that has not yet copied what others have voted for.
  expect(stateAfterStart('d0', 18)).toBe('blank');
});
