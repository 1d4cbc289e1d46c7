/** A voter grants its vote to one candidate at a time. */
import { expect, it } from 'vitest';
import { micros, type MessageOf } from '@tansypost/inner-protocol';
import { createVoter } from './voter.js';

it('grants its vote to one candidate at a time, and to the same one again only under the same or a higher epoch', () => {
  let now = 10_000_000;
  let savedEpoch = 0;
  const voter = createVoter(
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
        epoch: () => savedEpoch,
        save: (_duty, epoch, done) => {
          savedEpoch = epoch;
          done(true);
        },
      },
    },
  );
  function ask(candidate: string, epoch: number, from = `${candidate}:1`): boolean {
    const answers: MessageOf<'BallotVote'>[] = [];
    voter.requestVote(
      { kind: 'Ballot', id: 'x', from, duty: 'training', candidate, epoch, membershipEpoch: 1 },
      (vote) => answers.push(vote),
    );
    return answers[0]!.granted;
  }
  expect(ask('a', 64)).toBe(true);
  expect(ask('b', 129)).toBe(false);
  expect(ask('a', 64)).toBe(true);
  expect(ask('a', 128)).toBe(true);
  expect(ask('a', 64)).toBe(false);
  // Another process with the same member name waits like any other candidate.
  expect(ask('a', 192, 'c:1')).toBe(false);
  now += 3_000_000;
  expect(ask('b', 129)).toBe(true);
});
