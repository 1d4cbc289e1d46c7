/**
 * How those who have lost their memory hear of the control nodes: a control node has the other replicas on its disk and
 * the seeds in its settings, so it tells the seeds, and followers that have gone silent, where the replicas are. A seed
 * that is told shows the replicas to whoever begins there. Who follows this node, or is a replica, is not told.
 */
import { every, micros, type Address, type World } from '@tansypost/inner-protocol';
import type { ControlNode } from '@tansypost/control-state';
import type { FollowerRegistry } from './follower-registry.js';

/** Whom a control node may have to tell. */
export interface MembershipAnnouncerOptions {
  readonly controlNode: () => ControlNode | undefined;
  readonly followers: Pick<FollowerRegistry, 'addresses' | 'unresponsive'>;
  /** The seeds that the settings of this machine name now. */
  readonly seeds: () => readonly Address[];
}

const announceEvery = micros(1_000_000);

/** Tells them each second until it is stopped. */
export function startMembershipAnnouncer(world: World, options: MembershipAnnouncerOptions): () => void {
  const { followers } = options;

  function announce(): void {
    const replica = options.controlNode()?.replica;
    if (replica?.state() !== 'voting') return;
    const { membershipEpoch, replicas } = replica.membership();
    const silent = followers.unresponsive();
    const informed = new Set<string>(replicas.map((entry) => entry.address));
    for (const address of followers.addresses()) if (!silent.includes(address)) informed.add(address);
    for (const address of new Set([...options.seeds(), ...silent]))
      if (!informed.has(address))
        world.send(address, { kind: 'News', news: [], membershipEpoch, replicas: [...replicas] });
  }

  return every(world, () => announceEvery, announce);
}
