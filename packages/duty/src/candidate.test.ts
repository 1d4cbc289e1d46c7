/** A candidate wins by a majority, holds its lease by the clock, and stands back from a holder it knows of. */
import { expect, it } from 'vitest';
import { micros, type Address, type Message, type MessageOf } from '@tansypost/inner-protocol';
import { createCandidate, type Candidate } from './candidate.js';

const leaseDuration = 3_000_000;

interface Scene {
  readonly candidate: Candidate;
  readonly ballots: MessageOf<'Ballot'>[];
  readonly events: string[];
  readonly stopWanting: () => void;
  readonly advance: (by: number) => void;
  readonly grant: (slot: number, disk?: string) => void;
}

function createScene(): Scene {
  let now = 0;
  let willing = true;
  const timers: { at: number; run: () => void }[] = [];
  const ballots: MessageOf<'Ballot'>[] = [];
  const events: string[] = [];
  const world = {
    now: () => micros(now),
    random: () => 0,
    after: (delay: number, run: () => void) => {
      timers.push({ at: now + delay, run });
      return () => undefined;
    },
    send: (_to: Address, message: Message) => void (message.kind === 'Ballot' && ballots.push(message)),
    log: () => undefined,
  };
  const candidate = createCandidate(world, {
    duty: 'training',
    member: 'a',
    self: 'a:1' as Address,
    slot: 5,
    leaseDuration,
    replicas: () => ({
      membershipEpoch: 1,
      replicas: [0, 1, 2].map((slot) => ({ slot, address: `core${slot}:1`, disk: `disk${slot}` })),
    }),
    willing: () => willing,
    won: (epoch) => events.push(`won ${epoch}`),
    lost: () => events.push('lost'),
  });
  function advance(by: number): void {
    const until = now + by;
    for (;;) {
      timers.sort((a, b) => a.at - b.at);
      const next = timers[0];
      if (next === undefined || next.at > until) break;
      timers.shift();
      now = next.at;
      next.run();
    }
    now = until;
  }
  function grant(slot: number, disk = `disk${slot}`): void {
    const { id, duty, epoch } = ballots.at(-1)!;
    candidate.vote({ kind: 'BallotVote', id, slot, disk, duty, granted: true, epoch, holder: '', address: '' });
  }
  function stopWanting(): void {
    willing = false;
  }
  return { candidate, ballots, events, stopWanting, advance, grant };
}

it('wins with two of three votes of the disks in the membership record, each counted once', () => {
  const scene = createScene();
  scene.advance(leaseDuration / 6);
  expect(scene.ballots).toHaveLength(3);
  expect(scene.ballots[0]!.epoch).toBe(64 + 5);
  scene.grant(0);
  scene.grant(0);
  scene.grant(1, 'another disk');
  expect(scene.candidate.holds()).toBeUndefined();
  scene.grant(2);
  expect(scene.candidate.holds()).toBe(69);
  expect(scene.events).toEqual(['won 69']);
});

it('counts its lease from before it asked, renews it, and loses it by the clock', () => {
  const scene = createScene();
  scene.advance(leaseDuration / 6);
  scene.grant(0);
  scene.grant(1);
  scene.advance(leaseDuration / 2);
  scene.grant(0);
  scene.grant(1);
  scene.advance(leaseDuration - 1);
  expect(scene.candidate.holds()).toBe(69);
  scene.advance(1);
  expect(scene.candidate.holds()).toBeUndefined();
  expect(scene.events).toEqual(['won 69', 'lost']);
});

it('takes no lease from votes that arrive after it would have ended', () => {
  const scene = createScene();
  scene.advance(leaseDuration / 6);
  scene.stopWanting();
  scene.advance(leaseDuration);
  expect(scene.ballots).toHaveLength(3);
  scene.grant(0);
  scene.grant(1);
  expect(scene.candidate.holds()).toBeUndefined();
});

it('calls no election while another is known to hold the role, and a higher epoch after that', () => {
  const scene = createScene();
  scene.candidate.heard({ duty: 'training', holder: 'b', address: 'b:1', epoch: 200 });
  scene.advance(leaseDuration - 1);
  expect(scene.ballots).toHaveLength(0);
  expect(scene.candidate.holder()?.holder).toBe('b');
  scene.advance(leaseDuration / 6 + 1);
  expect(scene.ballots[0]!.epoch).toBe(256 + 5);
});
