/**
 * The voter's side of the elections for a role (duty), one beside each replica of the control state. A voter grants
 * its vote to one candidate at a time, for one lease. The epoch of a role is on disk before a vote is given; who
 * holds it is not, so a voter that starts, or that has just begun to vote, refuses for one whole lease.
 */
import type { MessageOf, World } from '@tansypost/inner-protocol';

/** Keeps the highest epoch voted for, by role, on disk. */
export interface EpochStore {
  readonly epoch: (duty: string) => number;
  /** Calls `done` when the epoch is synced to disk (true) or could not be (false). */
  readonly save: (duty: string, epoch: number, done: (synced: boolean) => void) => void;
}

/** What a voter is told when it is made. */
export interface VoterOptions {
  readonly slot: () => number;
  readonly diskId: () => string;
  /** Whether the replica beside it votes now, and since when, in microseconds. */
  readonly isVoting: () => boolean;
  readonly votingSince: () => number;
  readonly membershipEpoch: () => number;
  /** In microseconds; the same for all candidates and voters. */
  readonly leaseDuration: number;
  readonly store: EpochStore;
}

/** Answers candidates. */
export interface Voter {
  readonly requestVote: (ballot: MessageOf<'Ballot'>, answer: (vote: MessageOf<'BallotVote'>) => void) => void;
}

/** The vote that a voter has given for one role. */
interface GrantedVote {
  readonly holder: string;
  readonly address: string;
  readonly epoch: number;
  /** Infinite until its epoch is on disk. */
  until: number;
}

/** Makes a voter that has granted nothing yet. */
export function createVoter(world: World, options: VoterOptions): Voter {
  const grantedVotes = new Map<string, GrantedVote>();

  function ballot(ballot: MessageOf<'Ballot'>, answer: (vote: MessageOf<'BallotVote'>) => void): void {
    const previous = grantedVotes.get(ballot.duty);
    const current = previous !== undefined && previous.until > world.now() ? previous : undefined;
    function reply(granted: boolean, epoch: number): void {
      answer(voteMessage(options, ballot, current, granted, epoch));
    }
    if (!options.isVoting() || ballot.membershipEpoch !== options.membershipEpoch()) {
      return reply(false, options.store.epoch(ballot.duty));
    }
    if (current !== undefined && current.holder === ballot.candidate && current.epoch === ballot.epoch) {
      current.until = world.now() + options.leaseDuration;
      return reply(true, ballot.epoch);
    }
    const highestEpoch = options.store.epoch(ballot.duty);
    const silent = world.now() < options.votingSince() + options.leaseDuration;
    if (silent || isOther(current, ballot) || ballot.epoch <= highestEpoch) return reply(false, highestEpoch);
    const next = { holder: ballot.candidate, address: ballot.from, epoch: ballot.epoch, until: Infinity };
    grantedVotes.set(ballot.duty, next);
    options.store.save(ballot.duty, ballot.epoch, (synced) => {
      next.until = world.now() + options.leaseDuration;
      reply(synced, ballot.epoch);
    });
  }
  return { requestVote: ballot };
}

/**
 * Whether the vote is granted to someone other than this candidate. Who has the vote may take it again under a higher
 * epoch: voters whose grants ended one after the other have granted it under different ones, and none of these has
 * a majority.
 */
function isOther(current: GrantedVote | undefined, ballot: MessageOf<'Ballot'>): boolean {
  return current !== undefined && (current.holder !== ballot.candidate || current.address !== ballot.from);
}

function voteMessage(
  options: VoterOptions,
  ballot: MessageOf<'Ballot'>,
  current: GrantedVote | undefined,
  granted: boolean,
  epoch: number,
): MessageOf<'BallotVote'> {
  return {
    kind: 'BallotVote',
    id: ballot.id,
    slot: options.slot(),
    disk: options.diskId(),
    duty: ballot.duty,
    granted,
    epoch,
    holder: current?.holder ?? '',
    address: current?.address ?? '',
  };
}
