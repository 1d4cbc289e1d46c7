/**
 * Announces the replicas of the control cluster to processes that may have restarted without their state. A control
 * node has the replicas on its disk and the seeds in its settings, so it sends the replicas to the seeds and to
 * unresponsive followers. A seed passes them on to the processes that contact it when they start. Current followers
 * and replicas aren't sent announcements.
 */
import { every, micros, type Address, type World } from '@tansypost/inner-protocol';
import type { ControlNode } from '@tansypost/control-state';
import type { FollowerRegistry } from './follower-registry.js';

/** Options of the announcer. */
export interface MembershipAnnouncerOptions {
  readonly controlNode: () => ControlNode | undefined;
  readonly followers: Pick<FollowerRegistry, 'addresses' | 'unresponsive'>;
  /** The seeds in the current settings of this machine. */
  readonly seeds: () => readonly Address[];
}

const announceInterval = micros(1_000_000);

/** Announces every second until the returned function is called. */
export function startMembershipAnnouncer(world: World, options: MembershipAnnouncerOptions): () => void {
  const { followers } = options;

  function announce(): void {
    const replica = options.controlNode()?.replica;
    if (replica?.state() !== 'voting') return;
    const { membershipEpoch, replicas } = replica.membership();
    const unresponsive = followers.unresponsive();
    const informed = new Set<string>(replicas.map((entry) => entry.address));
    for (const address of followers.addresses()) if (!unresponsive.includes(address)) informed.add(address);
    for (const address of new Set([...options.seeds(), ...unresponsive]))
      if (!informed.has(address))
        world.send(address, { kind: 'News', news: [], membershipEpoch, replicas: [...replicas] });
  }

  return every(world, () => announceInterval, announce);
}
