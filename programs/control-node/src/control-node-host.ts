/**
 * Keeps a keeper core running on its disk without anybody's help. When the disk fails a write, the core is dropped and
 * its state is read afresh, as after a restart, and written whole to a new file before it votes again; that is tried for
 * as long as it takes. A damaged file is put aside by whoever opens the disk, and the place comes back blank. The
 * programs pass a file, the simulator its own disk. A place that was replaced, and that nobody needs any more, begins
 * anew as a blank machine that asks for a place, where it may.
 */
import * as E from 'fp-ts/lib/Either.js';
import type { ControlNode, Disk, LeaveResult, JournalRecord } from '@tansypost/control-state';
import { every, micros, type Address, type Message, type World } from '@tansypost/inner-protocol';
import { createVotingControlNode, type VotingControlNodeOptions } from './voting-control-node.js';

export interface OpenDisk {
  readonly disk: Disk;
  readonly storedRecords: readonly JournalRecord[];
  readonly truncatedBytes: number;
  // Why the file that was there was put aside, where it was.
  readonly quarantineReason?: string;
  readonly close?: () => Promise<void>;
}
export interface ControlNodeHostOptions extends Omit<VotingControlNodeOptions, 'disk' | 'found' | 'newDiskId'> {
  // `afresh` asks that what is found be written to a new file and synced before it is handed over.
  // `blank` asks that what is found be thrown away.
  readonly open: (afresh: boolean, blank: boolean) => Promise<E.Either<Error, OpenDisk>>;
  readonly newDiskId: () => string;
  // Whether a place that was replaced asks for another one.
  readonly rejoinsWhenSuperseded?: boolean;
  readonly initialRetryDelayUs?: number;
  readonly maxRetryDelayUs?: number;
}
export interface ControlNodeHost {
  readonly receive: (m: Message, from: Address) => void;
  readonly controlNode: () => ControlNode | undefined;
  readonly diskBytes: () => number;
  // The first opening: an error here is for the program to report, as nothing has run yet.
  readonly start: () => Promise<E.Either<Error, void>>;
  // Leaves within `limit` microseconds; without a sound disk there is nothing to hand over.
  readonly leave: (limit: number, done: (result: LeaveResult) => void) => void;
  readonly stop: () => Promise<void>;
}
export function createControlNodeHost(w: World, o: ControlNodeHostOptions): ControlNodeHost {
  let core: ControlNode | undefined;
  let disk: OpenDisk | undefined;
  const firstPause = o.initialRetryDelayUs ?? 1_000_000;
  const longestPause = o.maxRetryDelayUs ?? 10_000_000;
  let pause = firstPause;
  let retryAt = Infinity;
  let opening = false;

  async function open(afresh: boolean, blank: boolean): Promise<E.Either<Error, void>> {
    opening = true;
    const d = await o.open(afresh, blank);
    opening = false;
    if (E.isLeft(d)) return d;
    disk = d.right;
    if (disk.truncatedBytes > 0) w.log(2008, { bytes: disk.truncatedBytes });
    if (disk.quarantineReason !== undefined) w.log(2009, { why: disk.quarantineReason });
    core = createVotingControlNode(w, {
      ...o,
      ...(blank ? { mayBootstrap: false, bootstrapSlot: undefined } : {}),
      reopened: afresh,
      disk: disk.disk,
      found: disk.storedRecords,
      newDiskId: o.newDiskId(),
      onStateChange: (s) => {
        if (s === 'failed') w.after(micros(0), look);
      },
    });
    return E.right(undefined);
  }

  function look(): void {
    if (core?.replica.state() === 'failed') {
      void drop()?.close?.();
      retryAt = w.now() + pause;
    }
    if (o.rejoinsWhenSuperseded === true && core?.replica.isSuperseded() === true && !core.replica.isLeaving()) {
      const d = drop();
      opening = true;
      void Promise.resolve(d?.close?.()).then(() => again(true));
      return;
    }
    if (core !== undefined || opening || w.now() < retryAt) return;
    again(false);
  }

  function drop(): OpenDisk | undefined {
    const d = disk;
    core?.stop();
    core = undefined;
    disk = undefined;
    return d;
  }

  function again(blank: boolean): void {
    retryAt = Infinity;
    void open(true, blank).then((r) => {
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
    controlNode: () => core,
    diskBytes: () => disk?.disk.size() ?? 0,
    start: () => open(false, false),
    leave: (limit, done) => (core === undefined ? done('incomplete') : core.leave(limit, done)),
    stop: async () => {
      stop();
      core?.stop();
      await disk?.close?.();
    },
  };
}
