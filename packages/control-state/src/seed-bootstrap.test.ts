/** Bootstrap of a cluster by its configured seeds. */
import { expect, it } from 'vitest';
import { micros, type Address, type MessageOf, type World } from '@tansypost/inner-protocol';
import { createSeedBootstrap } from './seed-bootstrap.js';

const [self, second, third] = ['a:1', 'b:1', 'c:1'] as Address[];
const world = { now: () => micros(0) } as World;

function blankHello(from: Address, slot: number): MessageOf<'ReplicaHello'> {
  return {
    kind: 'ReplicaHello',
    from,
    slot,
    disk: `disk ${slot}`,
    state: 'blank',
    founders: [],
    membershipEpoch: 0,
    cluster: '',
    replicas: [],
    leaving: false,
    ill: false,
    caughtUp: false,
  };
}

function createBootstrap(members: readonly Address[], mayBootstrap = true) {
  return createSeedBootstrap(world, { self: self!, members, mayBootstrap, diskId: () => 'disk 0' });
}

it('waits for all bootstrap members except those that have said that they hold no state', () => {
  const three = createBootstrap([self!, second!, third!]);
  expect(three.receiveHello(blankHello(second!, 1), 0)).toBeUndefined();
  three.markStateless(third!);
  expect(three.receiveHello(blankHello(second!, 1), 0)?.map((member) => member.address)).toEqual([self, second]);
});

it('bootstraps alone only if all other members hold no state, and never if it may not bootstrap', () => {
  const three = createBootstrap([self!, second!, third!]);
  three.markStateless(second!);
  expect(three.soleMember()).toBeUndefined();
  three.markStateless(third!);
  expect(three.soleMember()?.map((member) => member.address)).toEqual([self]);
  const joining = createBootstrap([self!, second!], false);
  joining.markStateless(second!);
  expect(joining.soleMember()).toBeUndefined();
});

it('ignores a report of no state about itself or about a machine that is not a bootstrap member', () => {
  const two = createBootstrap([self!, second!]);
  two.markStateless(self!);
  two.markStateless('z:1' as Address);
  expect(two.soleMember()).toBeUndefined();
  expect(two.receiveHello(blankHello(second!, 1), 0)?.length).toBe(2);
});
