/**
 * The voter in the leader elections of singleton roles, one beside each replica of the control state. A voter grants
 * its vote for a role to one candidate at a time, for one lease duration. The epoch of a role is on disk before the
 * vote is sent. Who holds the vote is not stored, so a voter that has started or has just become a voting replica
 * refuses all requests for one whole lease duration.
 */
import type { MessageOf, World } from '@tansypost/inner-protocol';

/** Stores the highest epoch voted for, by role, on disk. */
export interface EpochStore {
  readonly epoch: (duty: string) => number;
  /** Calls `done` when the epoch is synced to disk (true) or the write has failed (false). */
  readonly save: (duty: string, epoch: number, done: (synced: boolean) => void) => void;
}

/** Settings and dependencies of a voter. */
export interface VoterOptions {
  readonly slot: () => number;
  readonly diskId: () => string;
  /** Whether the replica beside it is voting, and since when, in microseconds. */
  readonly isVoting: () => boolean;
  readonly votingSince: () => number;
  readonly membershipEpoch: () => number;
  /** In microseconds; the same for all candidates and voters. */
  readonly leaseDuration: number;
  readonly store: EpochStore;
}

/** Answers the vote requests of candidates. */
export interface Voter {
  readonly requestVote: (ballot: MessageOf<'Ballot'>, answer: (vote: MessageOf<'BallotVote'>) => void) => void;
}

/** The vote granted for one role. */
interface GrantedVote {
  readonly holder: string;
  readonly address: string;
  readonly epoch: number;
  /** When the grant expires; Infinity until its epoch is on disk. */
  until: number;
}

/** Creates a voter that has granted no vote yet. */
export function createVoter(world: World, options: VoterOptions): Voter {
  const grantedVotes = new Map<string, GrantedVote>();

  function requestVote(request: MessageOf<'Ballot'>, answer: (vote: MessageOf<'BallotVote'>) => void): void {
    const previous = grantedVotes.get(request.duty);
    const current = previous !== undefined && previous.until > world.now() ? previous : undefined;
    function reply(granted: boolean, epoch: number): void {
      answer(voteMessage(options, request, current, granted, epoch));
    }
    if (!options.isVoting() || request.membershipEpoch !== options.membershipEpoch()) {
      return reply(false, options.store.epoch(request.duty));
    }
    if (current !== undefined && current.holder === request.candidate && current.epoch === request.epoch) {
      current.until = world.now() + options.leaseDuration;
      return reply(true, request.epoch);
    }
    const highestEpoch = options.store.epoch(request.duty);
    const inStartupPeriod = world.now() < options.votingSince() + options.leaseDuration;
    if (inStartupPeriod || isGrantedToOther(current, request) || request.epoch <= highestEpoch)
      return reply(false, highestEpoch);
    const next = { holder: request.candidate, address: request.from, epoch: request.epoch, until: Infinity };
    grantedVotes.set(request.duty, next);
    options.store.save(request.duty, request.epoch, (synced) => {
      next.until = world.now() + options.leaseDuration;
      reply(synced, request.epoch);
    });
  }
  return { requestVote };
}

/**
 * Whether the vote is granted to another candidate. A candidate that holds the vote may renew it under a higher epoch:
 * voters whose grants expired at different times may have granted it under different epochs, none of which has a
 * majority.
 */
function isGrantedToOther(current: GrantedVote | undefined, ballot: MessageOf<'Ballot'>): boolean {
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
