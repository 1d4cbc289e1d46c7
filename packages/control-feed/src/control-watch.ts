/** Watches over the contact of control nodes and those that follow them, from both sides. */
import type { ControlNode } from '@tansypost/control-state';
import type { World } from '@tansypost/inner-protocol';
import { startSilenceWatch } from './silence-watch.js';

export interface ControlWatchOptions {
  /** Whether a control node has been heard lately. */
  readonly isInTouch: () => boolean;
  /** Where control nodes were looked for. */
  readonly seeds: () => readonly string[];
}

/** Logs when a follower has heard no control node for long (2014), and when it hears one again (2016). */
export function startControlWatch(world: World, options: ControlWatchOptions): () => void {
  return startSilenceWatch(world, {
    isHeard: options.isInTouch,
    silentEvent: 2014,
    details: () => ({ seeds: options.seeds() }),
    heardEvent: 2016,
  });
}

export interface FollowerWatchOptions {
  readonly controlNode: () => ControlNode | undefined;
  /** How many follow this control node. */
  readonly followers: () => number;
  /** The seeds that the control node knows. */
  readonly seeds: () => readonly string[];
}

/** Logs when a control node votes and nobody follows it for long (2017), and when it is followed again (2018). */
export function startFollowerWatch(world: World, options: FollowerWatchOptions): () => void {
  function votes(): boolean {
    return options.controlNode()?.replica.state() === 'voting';
  }
  return startSilenceWatch(world, {
    isHeard: () => !votes() || options.followers() > 0,
    silentEvent: 2017,
    details: () => ({ seeds: options.seeds() }),
    heardEvent: 2018,
  });
}
