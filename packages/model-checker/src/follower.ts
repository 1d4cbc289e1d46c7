/** A router as far as the configuration goes: the shipped feed of one, which follows the core and can be restarted. */
import { createControlFeed, type ControlFeed } from '@tansypost/control-feed';
import type { Address } from '@tansypost/inner-protocol';
import type { Kernel } from './kernel.js';
import type { Process } from './process.js';

/** A router that outlives its starts. */
export class Follower {
  private current: ControlFeed | undefined;

  constructor(
    private readonly kernel: Kernel,
    readonly process: Process,
    private readonly seeds: readonly Address[],
    private readonly changed: (feed: ControlFeed) => void,
  ) {}

  /** What it knows, while it runs. */
  feed(): ControlFeed | undefined {
    return this.current;
  }

  /** Starts it without any knowledge. */
  start(): void {
    const { kernel, process, seeds } = this;
    kernel.start(process);
    const feed = createControlFeed(kernel.world(process), {
      self: process.address,
      member: process.name,
      zone: 'z',
      seeds,
      fetchList: async () => undefined,
      changed: (what) => {
        if (what === 'configuration') this.changed(feed);
      },
    });
    process.receive = feed.receive;
    this.current = feed;
  }

  /** Ends it. */
  stop(): void {
    this.kernel.kill(this.process);
    this.current = undefined;
  }
}
