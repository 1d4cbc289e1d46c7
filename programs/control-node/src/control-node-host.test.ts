/** A control node on a disk that fails and recovers. */
import { expect, it } from 'vitest';
import * as E from 'fp-ts/lib/Either.js';
import type { Disk, JournalRecord } from '@tansypost/control-state';
import { micros, type Address, type World } from '@tansypost/inner-protocol';
import { createControlNodeHost } from './control-node-host.js';

it('stops the control node when its disk fails, retries until the disk works, and restores what was stored', async () => {
  let now = 0;
  let timers: { at: number; f: () => void }[] = [];
  let file: JournalRecord[] = [];
  let isBroken = false;
  const opened: boolean[] = [];
  const logged: number[] = [];
  const world: World = {
    now: () => micros(now),
    random: () => 0.5,
    send: () => undefined,
    log: (n) => logged.push(n),
    after: (delay, task) => {
      const x = { at: now + delay, f: task };
      timers.push(x);
      return () => {
        timers = timers.filter((y) => y !== x);
      };
    },
  };
  async function step(us: number): Promise<void> {
    const end = now + us;
    for (let n = next(end); n !== undefined; n = next(end)) {
      const due = n;
      timers = timers.filter((x) => x !== due);
      now = due.at;
      due.f();
      for (let i = 0; i < 5; i += 1) await Promise.resolve();
    }
    now = end;
  }
  function next(end: number): { at: number; f: () => void } | undefined {
    return timers.filter((x) => x.at <= end).sort((p, q) => p.at - q.at)[0];
  }
  const disk: Disk = {
    append: (r, done) => {
      if (isBroken) return done(new Error('no space left'));
      file.push(r);
      done();
    },
    rewrite: (rs, done) => {
      file = [...rs];
      done();
    },
    size: () => file.length,
  };
  let ids = 0;
  const host = createControlNodeHost(world, {
    slot: 0,
    self: 'k0:1' as Address,
    bootstrapMembers: ['k0:1', 'k1:1', 'k2:1'] as Address[],
    seeds: [],
    routerLeaseUs: 10_000_000,
    roleLeaseUs: 3_000_000,
    newDiskId: () => `d${(ids += 1)}`,
    open: async (afresh) => {
      opened.push(afresh);
      return isBroken
        ? E.left(new Error('still full'))
        : E.right({ disk, storedRecords: [...file], truncatedBytes: 0 });
    },
  });
  await host.start();
  host
    .controlNode()!
    .replica.putRow('k', { promised: 8, epoch: 8, version: 1, value: Buffer.from('v') }, [], () => undefined);
  isBroken = true;
  host
    .controlNode()!
    .replica.putRow('k', { promised: 8, epoch: 8, version: 2, value: Buffer.from('w') }, [], () => undefined);
  await step(5_000_000);
  expect(host.controlNode()).toBeUndefined();
  expect(opened.length).toBeGreaterThan(2);
  expect(opened.slice(1).every((x) => x)).toBe(true);
  isBroken = false;
  await step(10_000_000);
  expect(host.controlNode()!.replica.state()).not.toBe('failed');
  expect(host.controlNode()!.replica.diskId()).toBe('d1');
  expect(host.controlNode()!.replica.row('k').version).toBe(1);
  expect(logged).toEqual(expect.arrayContaining([2005, 2010, 2011]));
});
