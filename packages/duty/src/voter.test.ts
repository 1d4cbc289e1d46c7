/** A voter grants its vote to one candidate at a time. */
import { expect, it } from 'vitest';
import { micros, type MessageOf } from '@tansypost/inner-protocol';
import { createVoter } from './voter.js';

it('lends its vote to one at a time, and to that one again under a higher epoch only', () => {
  let now = 10_000_000;
  let kept = 0;
  const v = createVoter(
    {
      now: () => micros(now),
      random: () => 0,
      after: () => () => undefined,
      send: () => undefined,
      log: () => undefined,
    },
    {
      slot: () => 0,
      diskId: () => 'd',
      isVoting: () => true,
      votingSince: () => 0,
      membershipEpoch: () => 1,
      leaseDuration: 3_000_000,
      store: {
        epoch: () => kept,
        save: (_duty, epoch, done) => {
          kept = epoch;
          done(true);
        },
      },
    },
  );
  function ask(candidate: string, epoch: number, from = `${candidate}:1`): boolean {
    const got: MessageOf<'BallotVote'>[] = [];
    v.requestVote({ kind: 'Ballot', id: 'x', from, duty: 'training', candidate, epoch, membershipEpoch: 1 }, (x) =>
      got.push(x),
    );
    return got[0]!.granted;
  }
  expect(ask('a', 64)).toBe(true);
  expect(ask('b', 129)).toBe(false);
  expect(ask('a', 64)).toBe(true);
  expect(ask('a', 128)).toBe(true);
  expect(ask('a', 64)).toBe(false);
  // Another process under that name waits like anybody else.
  expect(ask('a', 192, 'c:1')).toBe(false);
  now += 3_000_000;
  expect(ask('b', 129)).toBe(true);
});
