import { expect, it } from 'vitest';
import { micros, type Address, type World } from '@tansypost/inner-protocol';
import type { Disk } from './disk.js';
import type { JournalRecord } from './journal.js';
import { createPlace, type Place } from './place.js';

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
  const w: World = {
    now: () => micros(0),
    random: () => 0.5,
    after: () => () => undefined,
    send: () => undefined,
    log: () => undefined,
  };
  function open(): Place {
    return createPlace(w, {
      slot: 0,
      self: 'a' as Address,
      core: [],
      disk,
      found: [...file],
      newDiskId: 'fresh',
      rewriteOver: 4000,
    });
  }
  const a = open();
  for (let n = 1; n <= 60; n += 1)
    a.keep(
      `k${n % 3}`,
      { promised: n, epoch: n, version: n, value: Buffer.from(`v${n}`), changes: [`c@${n}`] },
      () => undefined,
    );
  expect(rewrites).toBeGreaterThan(2);
  expect(file.length).toBeLessThan(30);
  const b = open();
  expect(b.diskId()).toBe('fresh');
  for (const k of ['k0', 'k1', 'k2']) expect(b.row(k)).toEqual(a.row(k));
});
