import { expect, it } from 'vitest';
import { createVirtualClock, type Address } from '@tansypost/inner-protocol';
import { startMembershipRelay } from './membership-relay.js';

const self = 'gateway:1' as Address;
const [seed, otherSeed, replica] = ['seed:1', 'other:1', 'replica:1'] as Address[];
const replicas = [{ slot: 0, address: replica!, disk: 'disk 0' }];
const seconds = 1_000_000;

function relay() {
  const told: [number, Address][] = [];
  const clock = createVirtualClock({ send: (to) => told.push([Math.floor(clock.world.now() / seconds), to]) });
  const known = { membershipEpoch: 0, seeds: [self, seed!, replica!] };
  startMembershipRelay(clock.world, {
    self,
    seeds: () => known.seeds,
    membership: () => ({ membershipEpoch: known.membershipEpoch, replicas: known.membershipEpoch > 0 ? replicas : [] }),
  });
  return { clock, known, told };
}

it('tells nothing as long as it knows no replicas, then its seeds soon and more and more seldom', async () => {
  const { clock, known, told } = relay();
  await clock.runTo(10 * seconds);
  expect(told).toEqual([]);
  known.membershipEpoch = 3;
  await clock.runTo(12 * seconds);
  expect(told.map(([, to]) => to)).toEqual([seed, seed]);
  await clock.runTo(610 * seconds);
  expect(told.length).toBeLessThan(14);
  const pauses = told.slice(1).map(([at], index) => at - told[index]![0]);
  expect(pauses).toEqual([...pauses].sort((a, b) => a - b));
});

it('tells soon again when the replicas or its seeds are others', async () => {
  const { clock, known, told } = relay();
  known.membershipEpoch = 3;
  await clock.runTo(300 * seconds);
  const before = told.length;
  known.membershipEpoch = 4;
  await clock.runTo(301 * seconds);
  expect(told.length).toBeGreaterThan(before);
  known.seeds = [otherSeed!];
  await clock.runTo(302 * seconds);
  expect(told.at(-1)![1]).toBe(otherSeed);
});
