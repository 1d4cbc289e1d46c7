/**
 * Keeps a control node running on its disk without an operator. If a write fails, the node is stopped, its state is read
 * again as after a restart, and written to a new file before the node votes again; this is retried until it succeeds.
 * The same happens after an unexpected error in the node's code, as its state in memory may then be inconsistent.
 * Whoever opens the disk quarantines a damaged file, and the replica then starts empty. The programs pass a file, the
 * simulator its own disk. A replica that was replaced and is no longer needed restarts as an empty node and asks to join
 * again, where that is allowed.
 */
import * as E from 'fp-ts/lib/Either.js';
import type { ControlNode, Disk, LeaveResult, JournalRecord } from '@tansypost/control-state';
import {
  every,
  logUnexpectedError,
  micros,
  runInBackground,
  type Address,
  type Message,
  type World,
} from '@tansypost/inner-protocol';
import { createVotingControlNode, type VotingControlNodeOptions } from './voting-control-node.js';

/** A disk that was opened, and what was stored on it. */
export interface OpenDisk {
  readonly disk: Disk;
  readonly storedRecords: readonly JournalRecord[];
  readonly truncatedBytes: number;
  /** Why the previous file was quarantined, if it was. */
  readonly quarantineReason?: string;
  readonly close?: () => Promise<void>;
}
/** Settings of the host. */
export interface ControlNodeHostOptions extends Omit<VotingControlNodeOptions, 'disk' | 'storedRecords' | 'newDiskId'> {
  /**
   * Opens the disk. With `rewrite` the stored records are written to a new file and synced before they are returned; with
   * `discard` they are deleted.
   */
  readonly open: (rewrite: boolean, discard: boolean) => Promise<E.Either<Error, OpenDisk>>;
  readonly newDiskId: () => string;
  /** Whether a replica that was replaced asks to join again. */
  readonly rejoinsWhenSuperseded?: boolean;
  readonly initialRetryDelayUs?: number;
  readonly maxRetryDelayUs?: number;
  /** Whether the node restarts from its disk after an unexpected error in its code; otherwise the error is thrown. */
  readonly restartsOnError?: boolean;
}
/** The host of a control node. */
export interface ControlNodeHost {
  readonly receive: (message: Message, from: Address) => void;
  readonly controlNode: () => ControlNode | undefined;
  readonly diskBytes: () => number;
  /** Opens the disk for the first time. The program reports an error here, as nothing has run yet. */
  readonly start: () => Promise<E.Either<Error, void>>;
  /** Leaves gracefully within `timeoutUs`. Without a working disk there is nothing to transfer, and it is incomplete. */
  readonly leave: (timeoutUs: number, done: (result: LeaveResult) => void) => void;
  readonly stop: () => Promise<void>;
}

/** Creates a host whose disk is not opened yet. */
export function createControlNodeHost(world: World, options: ControlNodeHostOptions): ControlNodeHost {
  let controlNode: ControlNode | undefined;
  let openDisk: OpenDisk | undefined;
  const initialRetryDelayUs = options.initialRetryDelayUs ?? 1_000_000;
  const maxRetryDelayUs = options.maxRetryDelayUs ?? 10_000_000;
  let retryDelayUs = initialRetryDelayUs;
  let retryAt = Infinity;
  let isOpening = false;
  const supervisedWorld: World =
    options.restartsOnError === true
      ? { ...world, after: (delay, run) => world.after(delay, () => supervise(run)) }
      : world;

  async function openNode(rewrite: boolean, discard: boolean): Promise<E.Either<Error, void>> {
    isOpening = true;
    try {
      const opened = await options.open(rewrite, discard);
      if (E.isLeft(opened)) return opened;
      startNode(opened.right, rewrite, discard);
      return E.right(undefined);
    } catch (error) {
      if (options.restartsOnError !== true) throw error;
      closeInBackground(closeNode());
      return E.left(error instanceof Error ? error : new Error(String(error)));
    } finally {
      isOpening = false;
    }
  }

  function startNode(opened: OpenDisk, rewrite: boolean, discard: boolean): void {
    openDisk = opened;
    if (openDisk.truncatedBytes > 0) world.log(2008, { bytes: openDisk.truncatedBytes });
    if (openDisk.quarantineReason !== undefined) world.log(2009, { why: openDisk.quarantineReason });
    controlNode = createVotingControlNode(supervisedWorld, {
      ...options,
      ...(discard ? { mayBootstrap: false, bootstrapSlot: undefined } : {}),
      reopened: rewrite,
      disk: superviseDisk(openDisk.disk),
      storedRecords: openDisk.storedRecords,
      newDiskId: options.newDiskId(),
      onStateChange: (state) => {
        if (state === 'failed') world.after(micros(0), check);
      },
    });
  }

  /** Runs code of the control node. */
  function supervise(run: () => void): void {
    if (options.restartsOnError !== true) return run();
    try {
      run();
    } catch (error) {
      logUnexpectedError(world.log, 'control node', error);
      restartNode();
    }
  }

  function superviseDisk(disk: Disk): Disk {
    return {
      append: (record, done) => disk.append(record, (error) => supervise(() => done(error))),
      rewrite: (records, done) => disk.rewrite(records, (error) => supervise(() => done(error))),
      size: disk.size,
    };
  }

  /** Stops the node; it starts again once its pending writes have ended. */
  function restartNode(): void {
    if (controlNode === undefined) return;
    const dropped = closeNode();
    isOpening = true;
    const closed = Promise.resolve(dropped?.close?.()).finally(() => {
      isOpening = false;
      retryAt = world.now() + retryDelayUs;
    });
    runInBackground(world.log, 'closing the disk', closed);
  }

  function check(): void {
    if (controlNode?.replica.state() === 'failed') {
      closeInBackground(closeNode());
      retryAt = world.now() + retryDelayUs;
    }
    if (
      options.rejoinsWhenSuperseded === true &&
      controlNode?.replica.isSuperseded() === true &&
      !controlNode.replica.isLeaving()
    ) {
      const dropped = closeNode();
      isOpening = true;
      runInBackground(
        world.log,
        'rejoining',
        Promise.resolve(dropped?.close?.()).finally(() => reopen(true)),
      );
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

  function closeInBackground(dropped: OpenDisk | undefined): void {
    runInBackground(world.log, 'closing the disk', Promise.resolve(dropped?.close?.()));
  }

  function reopen(discard: boolean): void {
    retryAt = Infinity;
    runInBackground(world.log, 'opening the disk', openNode(true, discard).then(recordReopening));
  }

  function recordReopening(opened: E.Either<Error, void>): void {
    if (E.isRight(opened)) {
      world.log(2010, { afterMs: retryDelayUs / 1000 });
      retryDelayUs = initialRetryDelayUs;
      return;
    }
    retryDelayUs = Math.min(maxRetryDelayUs, 2 * retryDelayUs);
    retryAt = world.now() + retryDelayUs;
    world.log(2011, { why: opened.left.message, againMs: retryDelayUs / 1000 });
  }

  const stop = every(world, () => micros(250_000), check);
  return {
    receive: (message, from) => supervise(() => controlNode?.receive(message, from)),
    controlNode: () => controlNode,
    diskBytes: () => openDisk?.disk.size() ?? 0,
    start: () => openNode(false, false),
    leave: (timeoutUs, done) => (controlNode === undefined ? done('incomplete') : controlNode.leave(timeoutUs, done)),
    stop: async () => {
      stop();
      controlNode?.stop();
      await openDisk?.close?.();
    },
  };
}
