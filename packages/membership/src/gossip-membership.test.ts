/** Members that fail and come back. */
import { expect, it } from 'vitest';
import { micros, type Address, type MemberEntry } from '@tansypost/inner-protocol';
import { createGossipMembership } from './gossip-membership.js';

it('takes a failed member back only once its heartbeat has risen, not on its old entry from other members', () => {
  let now = 0;
  const timers: (() => void)[] = [];
  const membership = createGossipMembership(
    {
      now: () => micros(now),
      random: () => 0.5,
      after: (_delay, run) => {
        timers.push(run);
        return () => undefined;
      },
      send: () => undefined,
      log: () => undefined,
    },
    {
      member: 'a',
      self: 'a:1' as Address,
      zone: 'z',
      routerHttpAddress: 'a',
      incarnation: 1,
      seeds: [],
      persisted: [],
      viewSize: 8,
      exchangeInterval: 300_000,
      failureTimeout: 2_500_000,
      holdsFeedLease: () => true,
      controlMembership: () => ({ membershipEpoch: 1, replicas: [] }),
      heldSingletonRoles: () => [],
      onControlMembership: () => undefined,
      onSingletonRole: () => undefined,
      save: () => undefined,
    },
  );
  function receiveBeats(beats: Record<string, number>): void {
    const entries = Object.entries(beats).map(([member, beat]): MemberEntry => ({
      member,
      address: `${member}:1`,
      zone: 'z',
      born: 1,
      beat,
      http: member,
      tenured: true,
    }));
    membership.receive({
      kind: 'Shuffle',
      answer: false,
      from: 'b:1',
      entries,
      membershipEpoch: 0,
      replicas: [],
      duties: [],
    });
  }
  receiveBeats({ b: 1, c: 5, d: 5, e: 5 });
  expect(membership.isInContact()).toBe(true);
  for (let beat = 2; beat < 12; beat += 1) {
    now += 300_000;
    receiveBeats({ b: beat, c: 5, d: 5, e: 5 });
    for (const run of timers.splice(0)) run();
  }
  expect(membership.liveMembers().map((entry) => entry.member)).toEqual(['b']);
  expect(membership.isInContact()).toBe(false);
  expect(membership.recentCount()).toBe(5);
  receiveBeats({ c: 6 });
  expect(membership.liveMembers().map((entry) => entry.member)).toEqual(['b', 'c']);
  expect(membership.isInContact()).toBe(true);
});
