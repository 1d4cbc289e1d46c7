/** A replica on a disk in memory: rewriting of its file, and when it gives no vote. */
import { expect, it } from 'vitest';
import { micros, type Address, type World } from '@tansypost/inner-protocol';
import type { Disk } from './disk.js';
import type { JournalRecord } from './journal.js';
import { createReplica, type Replica } from './replica.js';

/** Time stands still, and nobody else is there. */
const w: World = {
  now: () => micros(0),
  random: () => 0.5,
  after: () => () => undefined,
  send: () => undefined,
  log: () => undefined,
};

it('rewrites its file when it gets long, and comes back from it with every row', () => {
  let file: JournalRecord[] = [];
  let rewrites = 0;
  const disk: Disk = {
    append: (r, done) => {
      file.push(r);
      done();
    },
    rewrite: (rs, done) => {
      rewrites += 1;
      file = [...rs];
      done();
    },
    size: () => file.length * 400,
  };
  function open(): Replica {
    return createReplica(w, {
      slot: 0,
      self: 'a' as Address,
      bootstrapMembers: [],
      disk,
      found: [...file],
      newDiskId: 'fresh',
      compactAboveBytes: 4000,
    });
  }
  const a = open();
  for (let n = 1; n <= 60; n += 1)
    a.putRow(
      `k${n % 3}`,
      { promised: n, epoch: n, version: n, value: Buffer.from(`v${n}`) },
      [{ id: `c${n}`, version: n, epoch: n }],
      () => undefined,
    );
  expect(rewrites).toBeGreaterThan(2);
  expect(file.length).toBeLessThan(30);
  const b = open();
  expect(b.diskId()).toBe('fresh');
  for (const k of ['k0', 'k1', 'k2']) {
    expect(b.row(k)).toEqual(a.row(k));
    expect(b.history(k).list()).toEqual(a.history(k).list());
    expect(b.history(k).list()).toHaveLength(20);
  }
});

it('gives no vote to who knows an older core, to a lower epoch, or before it may vote', () => {
  const file: JournalRecord[] = [];
  const disk: Disk = { append: (r, done) => done(void file.push(r)), rewrite: (_r, done) => done(), size: () => 0 };
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
  function accept(o: { membershipEpoch?: number; epoch?: number }, from = found): boolean {
    const p = createReplica(w, {
      slot: undefined,
      self: 'a' as Address,
      bootstrapMembers: [],
      disk,
      found: from,
      newDiskId: 'x',
    });
    let ok = false;
    p.vote(
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
        ...o,
      },
      (v) => {
        ok = v.ok;
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

it('votes after a loss of power between the record of the founding that names its disk and its state', () => {
  const disk: Disk = { append: (_r, done) => done(), rewrite: (_r, done) => done(), size: () => 0 };
  function stateAfterStart(own: string, membershipEpoch: number): string {
    const members = ['a', 'b', 'c'].map((address, slot) => ({ slot, address, disk: `d${slot}` }));
    const value = Buffer.from(JSON.stringify({ format: 2, cluster: 'd0-d1-d2', replicas: members }));
    const row = { promised: membershipEpoch, epoch: membershipEpoch, version: 1 };
    const found: JournalRecord[] = [
      { kind: 'disk', key: own, promised: 0, epoch: 0, version: 0, value: Buffer.alloc(0), changes: [] },
      { kind: 'row', key: 'core', ...row, value, changes: [] },
    ];
    const replica = createReplica(w, {
      slot: undefined,
      self: 'a' as Address,
      bootstrapMembers: [],
      disk,
      found,
      newDiskId: 'x',
    });
    replica.tick();
    return replica.state();
  }
  expect(stateAfterStart('d0', 1)).toBe('voting');
  expect(stateAfterStart('other', 1)).toBe('blank');
  // A later record may name a disk that has yet to copy what others have voted for.
  expect(stateAfterStart('d0', 18)).toBe('blank');
});
