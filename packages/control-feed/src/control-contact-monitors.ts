/** Monitors the contact between control nodes and their followers, from both sides. */
import type { ControlNode } from '@tansypost/control-state';
import type { World } from '@tansypost/inner-protocol';
import { startContactMonitor } from './contact-monitor.js';

/** Options of a follower's monitor. */
export interface ControlContactMonitorOptions {
  /** Whether a heartbeat of a control node has been received lately. */
  readonly isInContact: () => boolean;
  /** The seeds that were contacted, for the log. */
  readonly seeds: () => readonly string[];
}

/** Logs when a follower has had no contact with any control node for long (2014), and when it is restored (2016). */
export function startControlContactMonitor(world: World, options: ControlContactMonitorOptions): () => void {
  return startContactMonitor(world, {
    isInContact: options.isInContact,
    lostEvent: 2014,
    details: () => ({ seeds: options.seeds() }),
    restoredEvent: 2016,
  });
}

/** Options of a control node's monitor. */
export interface FollowerContactMonitorOptions {
  readonly controlNode: () => ControlNode | undefined;
  /** Number of followers of this control node. */
  readonly followerCount: () => number;
  /** The seeds in the settings of this control node, for the log. */
  readonly seeds: () => readonly string[];
}

/** Logs when a voting control node has had no follower for long (2017), and when it has one again (2018). */
export function startFollowerContactMonitor(world: World, options: FollowerContactMonitorOptions): () => void {
  function isVoting(): boolean {
    return options.controlNode()?.replica.state() === 'voting';
  }
  return startContactMonitor(world, {
    isInContact: () => !isVoting() || options.followerCount() > 0,
    lostEvent: 2017,
    details: () => ({ seeds: options.seeds() }),
    restoredEvent: 2018,
  });
}
