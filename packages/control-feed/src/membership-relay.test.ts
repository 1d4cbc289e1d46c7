/** When a control gateway relays the replicas to its seeds. */
import { expect, it } from 'vitest';
import { createVirtualClock, type Address } from '@tansypost/inner-protocol';
import { startMembershipRelay } from './membership-relay.js';

const self = 'gateway:1' as Address;
const [seed, otherSeed, replica] = ['seed:1', 'other:1', 'replica:1'] as Address[];
const replicas = [{ slot: 0, address: replica!, disk: 'disk 0' }];
const seconds = 1_000_000;

function createRelay() {
  const sent: [number, Address][] = [];
  const clock = createVirtualClock({ send: (to) => sent.push([Math.floor(clock.world.now() / seconds), to]) });
  const known = { membershipEpoch: 0, seeds: [self, seed!, replica!] };
  startMembershipRelay(clock.world, {
    self,
    seeds: () => known.seeds,
    membership: () => ({ membershipEpoch: known.membershipEpoch, replicas: known.membershipEpoch > 0 ? replicas : [] }),
  });
  return { clock, known, sent };
}

it('sends nothing while it knows no replicas, then to its seeds soon and with growing intervals', async () => {
  const { clock, known, sent } = createRelay();
  await clock.runTo(10 * seconds);
  expect(sent).toEqual([]);
  known.membershipEpoch = 3;
  await clock.runTo(12 * seconds);
  expect(sent.map(([, to]) => to)).toEqual([seed, seed]);
  await clock.runTo(610 * seconds);
  expect(sent.length).toBeLessThan(14);
  const intervals = sent.slice(1).map(([at], index) => at - sent[index]![0]);
  expect(intervals).toEqual([...intervals].sort((a, b) => a - b));
});

it('sends soon again when the replicas or its seeds have changed', async () => {
  const { clock, known, sent } = createRelay();
  known.membershipEpoch = 3;
  await clock.runTo(300 * seconds);
  const before = sent.length;
  known.membershipEpoch = 4;
  await clock.runTo(301 * seconds);
  expect(sent.length).toBeGreaterThan(before);
  known.seeds = [otherSeed!];
  await clock.runTo(302 * seconds);
  expect(sent.at(-1)![1]).toBe(otherSeed);
});
