/** A control node on a disk that fails and recovers. */
import { expect, it } from 'vitest';
import * as E from 'fp-ts/lib/Either.js';
import type { Disk, JournalRecord } from '@tansypost/control-state';
import { createVirtualClock, micros, type Address, type Message, type World } from '@tansypost/inner-protocol';
import { createControlNodeHost } from './control-node-host.js';

interface MemoryDisk {
  readonly disk: Disk;
  readonly stored: () => JournalRecord[];
}

/** A disk in memory; while `isBroken` it fails every append. */
function createMemoryDisk(isBroken: () => boolean = () => false): MemoryDisk {
  let stored: JournalRecord[] = [];
  const disk: Disk = {
    append: (record, done) => {
      if (isBroken()) return done(new Error('no space left'));
      stored.push(record);
      done();
    },
    rewrite: (records, done) => {
      stored = [...records];
      done();
    },
    size: () => stored.length,
  };
  return { disk, stored: () => [...stored] };
}

it('restarts the control node from its disk after an unexpected error in its code', async () => {
  const clock = createVirtualClock();
  const { disk, stored } = createMemoryDisk();
  let closings = 0;
  const host = createControlNodeHost(clock.world, {
    slot: 0,
    self: 'k0:1' as Address,
    bootstrapMembers: ['k0:1', 'k1:1', 'k2:1'] as Address[],
    seeds: [],
    routerLeaseUs: 10_000_000,
    roleLeaseUs: 3_000_000,
    restartsOnError: true,
    newDiskId: () => 'd1',
    open: async () =>
      E.right({
        disk,
        storedRecords: stored(),
        truncatedBytes: 0,
        close: async () => void (closings += 1),
      }),
  });
  await host.start();
  const first = host.controlNode()!;
  first.replica.putRow('k', { promised: 8, epoch: 8, version: 1, value: Buffer.from('v') }, [], () => undefined);
  // Stands for any fault in the handling of a message.
  host.receive(undefined as unknown as Message, 'k1:1' as Address);
  expect(host.controlNode()).toBeUndefined();
  await clock.runTo(5_000_000);
  expect(host.controlNode()).not.toBe(first);
  expect(host.controlNode()!.replica.row('k').version).toBe(1);
  expect(closings).toBe(1);
  expect(clock.logged.map(({ event }) => event)).toEqual(expect.arrayContaining([1005, 2010]));
});

it('stops the control node when its disk fails, retries until the disk works, and restores what was stored', async () => {
  let now = 0;
  let timers: { at: number; task: () => void }[] = [];
  let isBroken = false;
  const { disk, stored } = createMemoryDisk(() => isBroken);
  const rewrites: boolean[] = [];
  const logged: number[] = [];
  const world: World = {
    now: () => micros(now),
    random: () => 0.5,
    send: () => undefined,
    log: (event) => logged.push(event),
    after: (delay, task) => {
      const timer = { at: now + delay, task };
      timers.push(timer);
      return () => {
        timers = timers.filter((other) => other !== timer);
      };
    },
  };
  async function step(durationUs: number): Promise<void> {
    const end = now + durationUs;
    for (let timer = next(end); timer !== undefined; timer = next(end)) {
      const due = timer;
      timers = timers.filter((timer) => timer !== due);
      now = due.at;
      due.task();
      for (let i = 0; i < 5; i += 1) await Promise.resolve();
    }
    now = end;
  }
  function next(end: number): { at: number; task: () => void } | undefined {
    return timers.filter((timer) => timer.at <= end).sort((left, right) => left.at - right.at)[0];
  }
  let ids = 0;
  const host = createControlNodeHost(world, {
    slot: 0,
    self: 'k0:1' as Address,
    bootstrapMembers: ['k0:1', 'k1:1', 'k2:1'] as Address[],
    seeds: [],
    routerLeaseUs: 10_000_000,
    roleLeaseUs: 3_000_000,
    newDiskId: () => `d${(ids += 1)}`,
    open: async (rewrite) => {
      rewrites.push(rewrite);
      return isBroken ? E.left(new Error('still full')) : E.right({ disk, storedRecords: stored(), truncatedBytes: 0 });
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
  expect(rewrites.length).toBeGreaterThan(2);
  expect(rewrites.slice(1).every((rewrite) => rewrite)).toBe(true);
  isBroken = false;
  await step(10_000_000);
  expect(host.controlNode()!.replica.state()).not.toBe('failed');
  expect(host.controlNode()!.replica.diskId()).toBe('d1');
  expect(host.controlNode()!.replica.row('k').version).toBe(1);
  expect(logged).toEqual(expect.arrayContaining([2005, 2010, 2011]));
});
