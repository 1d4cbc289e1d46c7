/**
 * A simulated disk: bytes that are synced, and bytes that are not yet. A crash keeps any prefix of what was not
 * synced, cut anywhere. It can be slow, stall, fill up, or be lost whole.
 */
import type { Disk, JournalRecord } from '@tansypost/control-state';
import { encodeRecord, encodeSnapshot } from '@tansypost/control-state';
import type { Engine } from './engine.js';
import { deliver, type SimProcess } from './process.js';

export interface SimDisk {
  readonly open: (p: SimProcess) => Disk;
  readonly bytes: () => Buffer;
  // Cuts away a torn tail, as opening the file does.
  readonly truncate: (good: number) => void;
  readonly crash: () => void;
  readonly wipe: () => void;
  // Alters one byte with whole records behind it.
  readonly corrupt: () => void;
  extraLatencyUs: number;
  stalled: boolean;
  full: boolean;
  readonly resume: () => void;
}

export function createSimDisk(e: Engine, random: () => number): SimDisk {
  let synced: Buffer = Buffer.alloc(0);
  let loose: Buffer = Buffer.alloc(0);
  let era = 0;
  let waiting: (() => void)[] = [];

  function open(p: SimProcess): Disk {
    const incarnation = p.incarnation;
    const mine = era;
    let last = 0;
    function soon(f: () => void): void {
      const t = Math.max(e.now() + 300 + random() * 2500 + disk.extraLatencyUs, last + 1);
      last = t;
      e.at(t, () => {
        if (disk.stalled) waiting.push(f);
        else f();
      });
    }
    function finish(done: (x?: Error) => void, err?: Error): void {
      deliver(p, incarnation, () => done(err));
    }
    function append(r: JournalRecord, done: (x?: Error) => void): void {
      const b = encodeRecord(r);
      if (!disk.full) loose = Buffer.concat([loose, b]);
      const refused = disk.full;
      const n = loose.length;
      soon(() => {
        if (mine !== era || p.incarnation !== incarnation) return;
        if (refused) return finish(done, new Error('no space left on the disk'));
        const k = Math.min(n, b.length, loose.length);
        synced = Buffer.concat([synced, loose.subarray(0, k)]);
        loose = loose.subarray(k);
        finish(done);
      });
    }
    function rewrite(rs: readonly JournalRecord[], done: (x?: Error) => void): void {
      const all = encodeSnapshot(rs);
      soon(() => {
        if (mine !== era || p.incarnation !== incarnation) return;
        if (disk.full) return finish(done, new Error('no space left on the disk'));
        synced = all;
        finish(done);
      });
    }
    return { append, rewrite, size: () => synced.length + loose.length };
  }

  const disk: SimDisk = {
    open,
    extraLatencyUs: 0,
    stalled: false,
    full: false,
    bytes: () => synced,
    truncate: (good) => {
      synced = synced.subarray(0, good);
    },
    crash: () => {
      era += 1;
      waiting = [];
      synced = Buffer.concat([synced, loose.subarray(0, Math.floor(random() * (loose.length + 1)))]);
      loose = Buffer.alloc(0);
    },
    wipe: () => {
      era += 1;
      waiting = [];
      synced = Buffer.alloc(0);
      loose = Buffer.alloc(0);
    },
    corrupt: () => {
      const b = Buffer.from(synced);
      const at = Math.floor((0.1 + 0.6 * random()) * b.length);
      if (b.length > 0) b[at] = b[at]! ^ 0x55;
      synced = b;
    },
    resume: () => {
      disk.stalled = false;
      const ws = waiting;
      waiting = [];
      for (const f of ws) e.at(e.now(), f);
    },
  };
  return disk;
}
