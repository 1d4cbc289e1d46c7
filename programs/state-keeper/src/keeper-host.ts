// Keeps a keeper core running on its disk without anybody's help. When the disk fails a write, the core is dropped and
// its state is read afresh, as after a restart, and written whole to a new file before it votes again; that is tried for
// as long as it takes. A damaged file is put aside by whoever opens the disk, and the place comes back blank. The
// programs pass a file, the simulator its own disk.
import * as E from 'fp-ts/lib/Either.js';
import type { Disk, JournalRecord, Keeper } from '@tansypost/control-state';
import { every, micros, type Address, type Message, type World } from '@tansypost/inner-protocol';
import { createKeeperCore, type KeeperCoreOptions } from './keeper-core.js';

export interface OpenDisk {
  readonly disk: Disk;
  readonly found: readonly JournalRecord[];
  readonly cut: number;
  // Why the file that was there was put aside, where it was.
  readonly aside?: string;
  readonly close?: () => Promise<void>;
}
export interface KeeperHostOptions extends Omit<KeeperCoreOptions, 'disk' | 'found' | 'newDiskId'> {
  // `afresh` asks that what is found be written to a new file and synced before it is handed over.
  readonly open: (afresh: boolean) => Promise<E.Either<Error, OpenDisk>>;
  readonly newDiskId: () => string;
}
export interface KeeperHost {
  readonly receive: (m: Message, from: Address) => void;
  readonly core: () => Keeper | undefined;
  readonly bytes: () => number;
  // The first opening: an error here is for the program to report, as nothing has run yet.
  readonly begin: () => Promise<E.Either<Error, void>>;
  readonly stop: () => Promise<void>;
}
const firstPause = 1_000_000;
const longestPause = 10_000_000;

export function createKeeperHost(w: World, o: KeeperHostOptions): KeeperHost {
  let core: Keeper | undefined;
  let disk: OpenDisk | undefined;
  let pause = firstPause;
  let retryAt = Infinity;
  let opening = false;

  async function open(afresh: boolean): Promise<E.Either<Error, void>> {
    opening = true;
    const d = await o.open(afresh);
    opening = false;
    if (E.isLeft(d)) return d;
    disk = d.right;
    if (disk.cut > 0) w.log(2008, { bytes: disk.cut });
    if (disk.aside !== undefined) w.log(2009, { why: disk.aside });
    core = createKeeperCore(w, { ...o, disk: disk.disk, found: disk.found, newDiskId: o.newDiskId() });
    return E.right(undefined);
  }

  function look(): void {
    if (core?.place.state() === 'failed') {
      core.stop();
      core = undefined;
      void disk?.close?.();
      disk = undefined;
      retryAt = w.now() + pause;
    }
    if (core !== undefined || opening || w.now() < retryAt) return;
    retryAt = Infinity;
    void open(true).then((r) => {
      if (E.isRight(r)) {
        w.log(2010, { afterMs: pause / 1000 });
        pause = firstPause;
        return;
      }
      pause = Math.min(longestPause, 2 * pause);
      retryAt = w.now() + pause;
      w.log(2011, { why: r.left.message, againMs: pause / 1000 });
    });
  }

  const stop = every(w, () => micros(250_000), look);
  return {
    receive: (m, from) => core?.receive(m, from),
    core: () => core,
    bytes: () => disk?.disk.size() ?? 0,
    begin: () => open(false),
    stop: async () => {
      stop();
      core?.stop();
      await disk?.close?.();
    },
  };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  it('drops the core when its disk fails, tries until the disk is well, and comes back with what was on it', async () => {
    let t = 0;
    let timers: { at: number; f: () => void }[] = [];
    let file: JournalRecord[] = [];
    let broken = false;
    const opened: boolean[] = [];
    const logged: number[] = [];
    const w: World = {
      now: () => micros(t),
      random: () => 0.5,
      send: () => undefined,
      log: (n) => logged.push(n),
      after: (d, f) => {
        const x = { at: t + d, f };
        timers.push(x);
        return () => {
          timers = timers.filter((y) => y !== x);
        };
      },
    };
    async function step(us: number): Promise<void> {
      const end = t + us;
      for (let n = next(end); n !== undefined; n = next(end)) {
        const due = n;
        timers = timers.filter((x) => x !== due);
        t = due.at;
        due.f();
        for (let i = 0; i < 5; i += 1) await Promise.resolve();
      }
      t = end;
    }
    function next(end: number): { at: number; f: () => void } | undefined {
      return timers.filter((x) => x.at <= end).sort((p, q) => p.at - q.at)[0];
    }
    const disk: Disk = {
      append: (r, done) => {
        if (broken) return done(new Error('no space left'));
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
    const h = createKeeperHost(w, {
      slot: 0,
      self: 'k0:1' as Address,
      core: ['k0:1', 'k1:1', 'k2:1'] as Address[],
      seeds: [],
      tenure: 10_000_000,
      dutyTenure: 3_000_000,
      newDiskId: () => `d${(ids += 1)}`,
      open: async (afresh) => {
        opened.push(afresh);
        return broken ? E.left(new Error('still full')) : E.right({ disk, found: [...file], cut: 0 });
      },
    });
    await h.begin();
    h.core()!.place.keep(
      'k',
      { promised: 8, epoch: 8, version: 1, value: Buffer.from('v'), changes: [] },
      () => undefined,
    );
    broken = true;
    h.core()!.place.keep(
      'k',
      { promised: 8, epoch: 8, version: 2, value: Buffer.from('w'), changes: [] },
      () => undefined,
    );
    await step(5_000_000);
    expect(h.core()).toBeUndefined();
    expect(opened.length).toBeGreaterThan(2);
    expect(opened.slice(1).every((x) => x)).toBe(true);
    broken = false;
    await step(10_000_000);
    expect(h.core()!.place.state()).not.toBe('failed');
    expect(h.core()!.place.diskId()).toBe('d1');
    expect(h.core()!.place.row('k').version).toBe(1);
    expect(logged).toEqual(expect.arrayContaining([2005, 2010, 2011]));
  });
}
