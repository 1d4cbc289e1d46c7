/** Members forgotten and heard of again. */
import { expect, it } from 'vitest';
import { micros, type Address, type Entry } from '@tansypost/inner-protocol';
import { createViews } from './views.js';

it('takes a member that it forgot back only on a beat that has risen since, whatever others still tell of it', () => {
  let t = 0;
  const ticks: (() => void)[] = [];
  const views = createViews(
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
      http: 'a',
      born: 1,
      seeds: [],
      persisted: [],
      size: 8,
      period: 300_000,
      forgetAfter: 2_500_000,
      tenured: () => true,
      core: () => ({ membershipEpoch: 1, replicas: [] }),
      duties: () => [],
      heardCore: () => undefined,
      heardDuty: () => undefined,
      save: () => undefined,
    },
  );
  function tell(beats: Record<string, number>): void {
    const entries = Object.entries(beats).map(([member, beat]): Entry => ({
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
  expect(views.contact()).toBe(true);
  for (let n = 2; n < 12; n += 1) {
    t += 300_000;
    tell({ b: n, c: 5, d: 5, e: 5 });
    for (const f of ticks.splice(0)) f();
  }
  expect(views.live().map((e) => e.member)).toEqual(['b']);
  expect(views.contact()).toBe(false);
  expect(views.total()).toBe(5);
  tell({ c: 6 });
  expect(views.live().map((e) => e.member)).toEqual(['b', 'c']);
  expect(views.contact()).toBe(true);
});
