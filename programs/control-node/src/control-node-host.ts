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
  readonly open: (rewrite: boolean, discard: boolean) => Promise<E.Either<Error, OpenDisk>>;
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
export function createControlNodeHost(world: World, options: ControlNodeHostOptions): ControlNodeHost {
  let controlNode: ControlNode | undefined;
  let openDisk: OpenDisk | undefined;
  const firstPause = options.initialRetryDelayUs ?? 1_000_000;
  const longestPause = options.maxRetryDelayUs ?? 10_000_000;
  let retryDelayUs = firstPause;
  let retryAt = Infinity;
  let isOpening = false;

  async function openNode(rewrite: boolean, discard: boolean): Promise<E.Either<Error, void>> {
    isOpening = true;
    const opened = await options.open(rewrite, discard);
    isOpening = false;
    if (E.isLeft(opened)) return opened;
    openDisk = opened.right;
    if (openDisk.truncatedBytes > 0) world.log(2008, { bytes: openDisk.truncatedBytes });
    if (openDisk.quarantineReason !== undefined) world.log(2009, { why: openDisk.quarantineReason });
    controlNode = createVotingControlNode(world, {
      ...options,
      ...(discard ? { mayBootstrap: false, bootstrapSlot: undefined } : {}),
      reopened: rewrite,
      disk: openDisk.disk,
      found: openDisk.storedRecords,
      newDiskId: options.newDiskId(),
      onStateChange: (s) => {
        if (s === 'failed') world.after(micros(0), check);
      },
    });
    return E.right(undefined);
  }

  function check(): void {
    if (controlNode?.replica.state() === 'failed') {
      void closeNode()?.close?.();
      retryAt = world.now() + retryDelayUs;
    }
    if (
      options.rejoinsWhenSuperseded === true &&
      controlNode?.replica.isSuperseded() === true &&
      !controlNode.replica.isLeaving()
    ) {
      const dropped = closeNode();
      isOpening = true;
      void Promise.resolve(dropped?.close?.()).then(() => reopen(true));
      return;
    }
    if (controlNode !== undefined || isOpening || world.now() < retryAt) return;
    reopen(false);
  }

  function closeNode(): OpenDisk | undefined {
    const dropped = openDisk;
    controlNode?.stop();
    controlNode = undefined;
    openDisk = undefined;
    return dropped;
  }

  function reopen(discard: boolean): void {
    retryAt = Infinity;
    void openNode(true, discard).then((r) => {
      if (E.isRight(r)) {
        world.log(2010, { afterMs: retryDelayUs / 1000 });
        retryDelayUs = firstPause;
        return;
      }
      retryDelayUs = Math.min(longestPause, 2 * retryDelayUs);
      retryAt = world.now() + retryDelayUs;
      world.log(2011, { why: r.left.message, againMs: retryDelayUs / 1000 });
    });
  }

  const stop = every(world, () => micros(250_000), check);
  return {
    receive: (m, from) => controlNode?.receive(m, from),
    controlNode: () => controlNode,
    diskBytes: () => openDisk?.disk.size() ?? 0,
    start: () => openNode(false, false),
    leave: (limit, done) => (controlNode === undefined ? done('incomplete') : controlNode.leave(limit, done)),
    stop: async () => {
      stop();
      controlNode?.stop();
      await openDisk?.close?.();
    },
  };
}
