// The voter's side of the ballots, one beside each core place. A voter lends its vote for one
// tenure at a time. The epoch of a duty is on disk before a vote is given; who holds it is not, so a
// voter that starts, or that has just begun to vote, keeps silent for one whole tenure.
import type { MessageOf, World } from '@tansypost/inner-protocol';

export interface EpochStore {
  readonly epoch: (duty: string) => number;
  readonly keep: (duty: string, epoch: number, done: (ok: boolean) => void) => void;
}
export interface VoterOptions {
  readonly slot: () => number;
  readonly disk: () => string;
  readonly voting: () => boolean;
  readonly votingSince: () => number;
  readonly membershipEpoch: () => number;
  readonly tenure: number;
  readonly store: EpochStore;
}
export interface Voter {
  readonly ballot: (m: MessageOf<'Ballot'>, answer: (v: MessageOf<'BallotVote'>) => void) => void;
}
interface Lent {
  holder: string;
  address: string;
  epoch: number;
  until: number;
}

export function createVoter(w: World, o: VoterOptions): Voter {
  const lent = new Map<string, Lent>();

  function ballot(m: MessageOf<'Ballot'>, answer: (v: MessageOf<'BallotVote'>) => void): void {
    const l = lent.get(m.duty);
    const now = w.now();
    const live = l !== undefined && l.until > now ? l : undefined;
    function say(granted: boolean, epoch: number): void {
      answer({
        kind: 'BallotVote',
        id: m.id,
        slot: o.slot(),
        disk: o.disk(),
        duty: m.duty,
        granted,
        epoch,
        holder: live?.holder ?? '',
        address: live?.address ?? '',
      });
    }
    if (!o.voting() || m.membershipEpoch !== o.membershipEpoch()) return say(false, o.store.epoch(m.duty));
    if (live !== undefined && live.holder === m.candidate && live.epoch === m.epoch) {
      live.until = now + o.tenure;
      return say(true, m.epoch);
    }
    const seen = o.store.epoch(m.duty);
    // Who has the vote may take it again under a higher epoch: voters whose loans ran out one after the other have lent it
    // under different ones, and none of these has a majority.
    const other = live !== undefined && (live.holder !== m.candidate || live.address !== m.from);
    if (now < o.votingSince() + o.tenure || other || m.epoch <= seen) return say(false, seen);
    const next = { holder: m.candidate, address: m.from, epoch: m.epoch, until: Infinity };
    lent.set(m.duty, next);
    o.store.keep(m.duty, m.epoch, (ok) => {
      next.until = w.now() + o.tenure;
      say(ok, m.epoch);
    });
  }
  return { ballot };
}
