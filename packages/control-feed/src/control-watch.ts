/** Watches over the contact of control nodes and those that follow them, from both sides. */
import type { ControlNode } from '@tansypost/control-state';
import type { World } from '@tansypost/inner-protocol';
import { startContactMonitor } from './silence-watch.js';

export interface ControlContactMonitorOptions {
  /** Whether a control node has been heard lately. */
  readonly isInContact: () => boolean;
  /** Where control nodes were looked for. */
  readonly seeds: () => readonly string[];
}

/** Logs when a follower has heard no control node for long (2014), and when it hears one again (2016). */
export function startControlContactMonitor(world: World, options: ControlContactMonitorOptions): () => void {
  return startContactMonitor(world, {
    isInContact: options.isInContact,
    lostEvent: 2014,
    details: () => ({ seeds: options.seeds() }),
    restoredEvent: 2016,
  });
}

export interface FollowerContactMonitorOptions {
  readonly controlNode: () => ControlNode | undefined;
  /** How many follow this control node. */
  readonly followerCount: () => number;
  /** The seeds that the control node knows. */
  readonly seeds: () => readonly string[];
}

/** Logs when a control node votes and nobody follows it for long (2017), and when it is followed again (2018). */
export function startFollowerContactMonitor(world: World, options: FollowerContactMonitorOptions): () => void {
  function votes(): boolean {
    return options.controlNode()?.replica.state() === 'voting';
  }
  return startContactMonitor(world, {
    isInContact: () => !votes() || options.followerCount() > 0,
    lostEvent: 2017,
    details: () => ({ seeds: options.seeds() }),
    restoredEvent: 2018,
  });
}
