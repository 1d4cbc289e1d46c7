/** A replica on an in-memory disk: compaction of its journal, and when it votes. */
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

it('compacts its journal when it grows, and restarts from the compacted journal with all rows and their histories', () => {
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
    // 400 bytes for each record, so that the journal is compacted when it has more than ten.
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

it('refuses to vote for an older membership epoch or a lower epoch, before it is voting, and where its disk is not a member', () => {
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
  const storedRecords = [
    record('disk', 'd0', 0),
    record('state', 'voting', 0),
    record('row', 'core', 32, Buffer.from(JSON.stringify(replicas))),
    record('row', 'k', 17),
  ];
  /** Whether a replica that starts with these records accepts a write with these epochs. */
  function isAccepted(overrides: { membershipEpoch?: number; epoch?: number }, records = storedRecords): boolean {
    const replica = createReplica(world, {
      slot: undefined,
      self: 'a' as Address,
      bootstrapMembers: [],
      disk,
      storedRecords: records,
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
  expect(isAccepted({})).toBe(true);
  expect(isAccepted({ membershipEpoch: 31 })).toBe(false);
  expect(isAccepted({ epoch: 16 })).toBe(false);
  expect(isAccepted({}, [storedRecords[0]!, ...storedRecords.slice(2)])).toBe(false);
  expect(isAccepted({}, [record('disk', 'other', 0), ...storedRecords.slice(1)])).toBe(false);
});

it('becomes voting where power was lost after the bootstrap membership record was written, but before its state was', () => {
  const disk: Disk = { append: (_record, done) => done(), rewrite: (_r, done) => done(), size: () => 0 };
  function stateAfterStart(ownDiskId: string, membershipEpoch: number): string {
    const members = ['a', 'b', 'c'].map((address, slot) => ({ slot, address, disk: `d${slot}` }));
    const value = Buffer.from(JSON.stringify({ format: 2, cluster: 'd0-d1-d2', replicas: members }));
    const row = { promised: membershipEpoch, epoch: membershipEpoch, version: 1 };
    const storedRecords: JournalRecord[] = [
      { kind: 'disk', key: ownDiskId, promised: 0, epoch: 0, version: 0, value: Buffer.alloc(0), changes: [] },
      { kind: 'row', key: 'core', ...row, value, changes: [] },
    ];
    const replica = createReplica(world, {
      slot: undefined,
      self: 'a' as Address,
      bootstrapMembers: [],
      disk,
      storedRecords,
      newDiskId: 'x',
    });
    replica.tick();
    return replica.state();
  }
  // Epoch 1 is that of the record that a bootstrap writes.
  expect(stateAfterStart('d0', 1)).toBe('voting');
  expect(stateAfterStart('other', 1)).toBe('blank');
  // A later membership record may name a disk that still lacks rows that a majority has accepted, so it must not vote.
  expect(stateAfterStart('d0', 18)).toBe('blank');
});
