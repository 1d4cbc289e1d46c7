/**
 * The control side of a router: the production configuration feed, which follows the control cluster and can be
 * restarted. A follower may also act as a seed, as a machine that relays control traffic without holding control state.
 */
import {
  createControlFeed,
  createControlGateway,
  startMembershipRelay,
  type ControlFeed,
} from '@tansypost/control-feed';
import type { Address, World } from '@tansypost/inner-protocol';
import type { Kernel } from './kernel.js';
import type { Process } from './process.js';

/** A simulated router that can be restarted. */
export class Follower {
  private current: ControlFeed | undefined;

  constructor(
    private readonly kernel: Kernel,
    readonly process: Process,
    private readonly seeds: readonly Address[],
    private readonly onConfigurationChange: (feed: ControlFeed) => void,
    /** Whether it also answers machines that use it as their seed. */
    private readonly servesAsSeed: boolean,
  ) {}

  /** The feed, while the router runs. */
  feed(): ControlFeed | undefined {
    return this.current;
  }

  /** Starts the router without any state; `firstStart` says whether the whole system starts for the first time. */
  start(firstStart: boolean): void {
    const { kernel, process, seeds } = this;
    const self = process.address;
    kernel.start(process);
    const world = kernel.world(process);
    const feed = createControlFeed(world, {
      self,
      member: process.name,
      zone: 'z',
      seeds,
      fetchWorkerList: async () => undefined,
      onChange: (what) => {
        if (what === 'configuration') this.onConfigurationChange(feed);
      },
    });
    process.receive = feed.receive;
    if (this.servesAsSeed) this.serveAsSeed(world, feed, firstStart);
    this.current = feed;
  }

  private serveAsSeed(world: World, feed: ControlFeed, firstStart: boolean): void {
    const self = this.process.address;
    const gateway = createControlGateway(world, { self, membership: feed.membership, firstStart });
    startMembershipRelay(world, { self, seeds: () => this.seeds, membership: feed.membership });
    this.process.receive = (message, from) => {
      if (!gateway(message, from)) feed.receive(message, from);
    };
  }

  /** Stops the router. */
  stop(): void {
    this.kernel.kill(this.process);
    this.current = undefined;
  }
}
