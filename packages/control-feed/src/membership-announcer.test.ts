/** To whom a control node announces the replicas. */
import { expect, it } from 'vitest';
import { createVirtualClock, type Address } from '@tansypost/inner-protocol';
import type { ControlNode } from '@tansypost/control-state';
import { createFollowerRegistry } from './follower-registry.js';
import { startMembershipAnnouncer } from './membership-announcer.js';

const [seed, router, replica] = ['seed:1', 'router:1', 'replica:1'] as Address[];
const seconds = 1_000_000;

function createAnnouncer() {
  const receivers: Address[] = [];
  const own = { state: 'voting' };
  const clock = createVirtualClock({ send: (to) => receivers.push(to) });
  const followers = createFollowerRegistry(clock.world);
  const replicas = [{ slot: 0, address: replica!, disk: 'disk 0' }];
  const node = { replica: { state: () => own.state, membership: () => ({ membershipEpoch: 4, replicas }) } };
  startMembershipAnnouncer(clock.world, {
    controlNode: () => node as unknown as ControlNode,
    followers,
    seeds: () => [seed!, replica!],
  });
  async function receiversUntil(time: number, follows: readonly Address[] = []): Promise<Set<Address>> {
    receivers.length = 0;
    while (clock.world.now() < time) {
      for (const address of follows) followers.recordFollow(address);
      await clock.runTo(clock.world.now() + seconds / 2);
    }
    return new Set(receivers);
  }
  return { own, receiversUntil };
}

it('announces to seeds that do not follow it, and to nobody while it does not vote', async () => {
  const { own, receiversUntil } = createAnnouncer();
  expect(await receiversUntil(3 * seconds)).toEqual(new Set([seed]));
  expect(await receiversUntil(6 * seconds, [seed!, router!])).toEqual(new Set());
  own.state = 'blank';
  expect(await receiversUntil(12 * seconds)).toEqual(new Set());
});

it('announces to an unresponsive follower until it is removed', async () => {
  const { receiversUntil } = createAnnouncer();
  await receiversUntil(3 * seconds, [seed!, router!]);
  expect(await receiversUntil(6 * seconds, [seed!])).toEqual(new Set([router]));
  await receiversUntil(64 * seconds, [seed!]);
  expect(await receiversUntil(70 * seconds, [seed!])).toEqual(new Set());
});
