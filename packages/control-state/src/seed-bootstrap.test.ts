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

function founding(founders: readonly Address[], mayBegin = true) {
  return createSeedBootstrap(world, { self: self!, founders, mayBegin, diskId: () => 'disk 0' });
}

it('waits for all founders, but for those that have said that they hold no state', () => {
  const three = founding([self!, second!, third!]);
  expect(three.heard(blankHello(second!, 1), 0)).toBeUndefined();
  three.withoutState(third!);
  expect(three.heard(blankHello(second!, 1), 0)?.map((member) => member.address)).toEqual([self, second]);
});

it('founds alone only where every other founder holds no state, and never where it may not begin', () => {
  const three = founding([self!, second!, third!]);
  three.withoutState(second!);
  expect(three.alone()).toBeUndefined();
  three.withoutState(third!);
  expect(three.alone()?.map((member) => member.address)).toEqual([self]);
  const joining = founding([self!, second!], false);
  joining.withoutState(second!);
  expect(joining.alone()).toBeUndefined();
});

it('takes no word of a machine that is no founder, nor of itself', () => {
  const two = founding([self!, second!]);
  two.withoutState(self!);
  two.withoutState('z:1' as Address);
  expect(two.alone()).toBeUndefined();
  expect(two.heard(blankHello(second!, 1), 0)?.length).toBe(2);
});
