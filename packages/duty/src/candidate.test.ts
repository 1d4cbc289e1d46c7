/** A candidate wins by a majority, loses its lease by the clock, and calls no election while it knows a leader. */
import { expect, it } from 'vitest';
import {
  createVirtualClock,
  micros,
  createSeededRandom,
  type Address,
  type Message,
  type MessageOf,
} from '@tansypost/inner-protocol';
import { createCandidate, type Candidate } from './candidate.js';
import { createVoter } from './voter.js';

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
    role: 'training',
    member: 'a',
    self: 'a:1' as Address,
    slot: 5,
    leaseDuration,
    replicas: () => ({
      membershipEpoch: 1,
      replicas: [0, 1, 2].map((slot) => ({ slot, address: `core${slot}:1`, disk: `disk${slot}` })),
    }),
    isWilling: () => willing,
    onElected: (epoch) => events.push(`won ${epoch}`),
    onLeaseLost: () => events.push('lost'),
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
    candidate.receiveVote({ kind: 'BallotVote', id, slot, disk, duty, granted: true, epoch, holder: '', address: '' });
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
  expect(scene.candidate.heldEpoch()).toBeUndefined();
  scene.grant(2);
  expect(scene.candidate.heldEpoch()).toBe(69);
  expect(scene.events).toEqual(['won 69']);
});

it('counts its lease from before it requested the votes, renews it, and loses it by the clock', () => {
  const scene = createScene();
  scene.advance(leaseDuration / 6);
  scene.grant(0);
  scene.grant(1);
  scene.advance(leaseDuration / 2);
  scene.grant(0);
  scene.grant(1);
  scene.advance(leaseDuration - 1);
  expect(scene.candidate.heldEpoch()).toBe(69);
  scene.advance(1);
  expect(scene.candidate.heldEpoch()).toBeUndefined();
  expect(scene.events).toEqual(['won 69', 'lost']);
});

it('acquires no lease from votes that arrive after the lease would have expired', () => {
  const scene = createScene();
  scene.advance(leaseDuration / 6);
  scene.stopWanting();
  scene.advance(leaseDuration);
  expect(scene.ballots).toHaveLength(3);
  scene.grant(0);
  scene.grant(1);
  expect(scene.candidate.heldEpoch()).toBeUndefined();
});

it('calls no election while another leader is known, and then calls one under a higher epoch', () => {
  const scene = createScene();
  scene.candidate.observeLeader({ duty: 'training', holder: 'b', address: 'b:1', epoch: 200 });
  scene.advance(leaseDuration - 1);
  expect(scene.ballots).toHaveLength(0);
  expect(scene.candidate.leader()?.holder).toBe('b');
  scene.advance(leaseDuration / 6 + 1);
  expect(scene.ballots[0]!.epoch).toBe(256 + 5);
});

/**
 * Runs four candidates with real voters beside them; `delayOf` gives the delay of messages, by sender and receiver.
 * Returns the members that hold the role at the end.
 */
async function electAmongFour(untilUs: number, delayOf: (from: number, to: number) => number): Promise<string[]> {
  const clock = createVirtualClock({ random: createSeededRandom(1) });
  const replicas = [0, 1, 2, 3].map((slot) => ({ slot, address: `c${slot}:1`, disk: `disk${slot}` }));
  function after(from: number, to: number, run: () => void): void {
    clock.world.after(micros(delayOf(from, to)), run);
  }
  const voters = replicas.map(({ slot, disk }) => {
    const epochs = new Map<string, number>();
    return createVoter(clock.world, {
      slot: () => slot,
      diskId: () => disk,
      isVoting: () => true,
      votingSince: () => -leaseDuration,
      membershipEpoch: () => 1,
      leaseDuration,
      store: {
        epoch: (duty) => epochs.get(duty) ?? 0,
        save: (duty, epoch, done) => {
          epochs.set(duty, epoch);
          done(true);
        },
      },
    });
  });
  const candidates: Candidate[] = replicas.map(({ slot, address }) =>
    createCandidate(
      {
        ...clock.world,
        send: (to, message) => {
          const target = Number(to.slice(1, 2));
          if (message.kind !== 'Ballot') return;
          after(slot, target, () =>
            voters[target]!.requestVote(message, (vote) =>
              after(target, slot, () => candidates[slot]!.receiveVote(vote)),
            ),
          );
        },
      },
      {
        role: 'training',
        member: `m${slot}`,
        self: address as Address,
        slot,
        leaseDuration,
        replicas: () => ({ membershipEpoch: 1, replicas }),
        isWilling: () => true,
        onElected: () => undefined,
        onLeaseLost: () => undefined,
      },
    ),
  );
  await clock.runTo(untilUs);
  return candidates.flatMap((candidate, slot) => (candidate.heldEpoch() === undefined ? [] : [`m${slot}`]));
}

it('elects one leader after a split vote, because the losers let their votes expire', async () => {
  function fastToSelf(from: number, to: number): number {
    return from === to ? 1000 : 5000;
  }
  function fastWithinPairs(from: number, to: number): number {
    return from >> 1 === to >> 1 ? 1000 + 500 * (from % 2) : 5000;
  }
  expect(await electAmongFour(30_000_000, fastToSelf)).toHaveLength(1);
  expect(await electAmongFour(30_000_000, fastWithinPairs)).toHaveLength(1);
});
