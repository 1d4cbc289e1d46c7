/** Members forgotten and heard of again. */
import { expect, it } from 'vitest';
import { micros, type Address, type MemberEntry } from '@tansypost/inner-protocol';
import { createGossipMembership } from './gossip-membership.js';

it('takes a member that it forgot back only on a beat that has risen since, whatever others still tell of it', () => {
  let t = 0;
  const ticks: (() => void)[] = [];
  const views = createGossipMembership(
    {
      now: () => micros(t),
      random: () => 0.5,
      after: (_d, f) => {
        ticks.push(f);
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
  function tell(beats: Record<string, number>): void {
    const entries = Object.entries(beats).map(([member, beat]): MemberEntry => ({
      member,
      address: `${member}:1`,
      zone: 'z',
      born: 1,
      beat,
      http: member,
      tenured: true,
    }));
    views.receive({
      kind: 'Shuffle',
      answer: false,
      from: 'b:1',
      entries,
      membershipEpoch: 0,
      replicas: [],
      duties: [],
    });
  }
  tell({ b: 1, c: 5, d: 5, e: 5 });
  expect(views.isInContact()).toBe(true);
  for (let n = 2; n < 12; n += 1) {
    t += 300_000;
    tell({ b: n, c: 5, d: 5, e: 5 });
    for (const f of ticks.splice(0)) f();
  }
  expect(views.liveMembers().map((e) => e.member)).toEqual(['b']);
  expect(views.isInContact()).toBe(false);
  expect(views.recentCount()).toBe(5);
  tell({ c: 6 });
  expect(views.liveMembers().map((e) => e.member)).toEqual(['b', 'c']);
  expect(views.isInContact()).toBe(true);
});
