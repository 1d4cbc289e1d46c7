import { expect, it } from 'vitest';
import { createVirtualClock, type Address } from '@tansypost/inner-protocol';
import type { ControlNode } from '@tansypost/control-state';
import { createFollowerRegistry } from './follower-registry.js';
import { startMembershipAnnouncer } from './membership-announcer.js';

const [seed, router, replica] = ['seed:1', 'router:1', 'replica:1'] as Address[];
const seconds = 1_000_000;

function announcer() {
  const told: Address[] = [];
  const known = { state: 'voting' };
  const clock = createVirtualClock({ send: (to) => told.push(to) });
  const followers = createFollowerRegistry(clock.world);
  const replicas = [{ slot: 0, address: replica!, disk: 'disk 0' }];
  const node = { replica: { state: () => known.state, membership: () => ({ membershipEpoch: 4, replicas }) } };
  startMembershipAnnouncer(clock.world, {
    controlNode: () => node as unknown as ControlNode,
    followers,
    seeds: () => [seed!, replica!],
  });
  async function toldUntil(time: number, follows: readonly Address[] = []): Promise<Set<Address>> {
    told.length = 0;
    while (clock.world.now() < time) {
      for (const address of follows) followers.recordFollow(address);
      await clock.runTo(clock.world.now() + seconds / 2);
    }
    return new Set(told);
  }
  return { known, toldUntil };
}

it('tells seeds that do not follow it, and nobody while it does not vote', async () => {
  const { known, toldUntil } = announcer();
  expect(await toldUntil(3 * seconds)).toEqual(new Set([seed]));
  expect(await toldUntil(6 * seconds, [seed!, router!])).toEqual(new Set());
  known.state = 'blank';
  expect(await toldUntil(12 * seconds)).toEqual(new Set());
});

it('tells a follower that has gone silent, until it is taken for gone', async () => {
  const { toldUntil } = announcer();
  await toldUntil(3 * seconds, [seed!, router!]);
  expect(await toldUntil(6 * seconds, [seed!])).toEqual(new Set([router]));
  await toldUntil(64 * seconds, [seed!]);
  expect(await toldUntil(70 * seconds, [seed!])).toEqual(new Set());
});
