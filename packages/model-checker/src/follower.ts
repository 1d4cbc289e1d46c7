/**
 * A router as far as the configuration goes: the shipped feed of one, which follows the core and can be restarted.
 */
import { createControlFeed, type ControlFeed } from '@tansypost/control-feed';
import type { Address } from '@tansypost/inner-protocol';
import type { Kernel, Process } from './kernel.js';

export interface Follower {
  readonly process: Process;
  readonly feed: () => ControlFeed | undefined;
  readonly start: () => void;
  readonly stop: () => void;
}

export function createFollower(
  kernel: Kernel,
  process: Process,
  seeds: readonly Address[],
  changed: (feed: ControlFeed) => void,
): Follower {
  let feed: ControlFeed | undefined;

  function start(): void {
    kernel.start(process);
    const created = createControlFeed(kernel.world(process), {
      self: process.address,
      member: process.name,
      zone: 'z',
      seeds,
      fetchList: async () => undefined,
      changed: (what) => {
        if (what === 'configuration') changed(created);
      },
    });
    process.receive = created.receive;
    feed = created;
  }

  return {
    process,
    feed: () => feed,
    start,
    stop: () => {
      kernel.kill(process);
      feed = undefined;
    },
  };
}
