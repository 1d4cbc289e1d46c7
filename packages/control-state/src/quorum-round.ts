/**
 * A quorum round sends one request to all replicas and counts their votes. It is won when a majority votes yes. It is
 * lost when a majority is no longer possible, when a vote shows that a higher epoch was promised, when the membership
 * changes, or when the timeout expires. A vote counts only if it comes from the disk that the membership record names
 * for its slot. The ids of rounds contain a random number that is drawn when the process starts, because votes of
 * rounds from before a restart may still arrive.
 */
import type { Address, Cancel, Message, MessageOf, World } from '@tansypost/inner-protocol';
import { micros } from '@tansypost/inner-protocol';
import type { Vote, VoteRequest } from './acceptor.js';
import { majorityOf } from './membership-record.js';
import type { Replica } from './replica.js';

/** Whether a round was won, and the votes received by then. */
export interface RoundResult {
  readonly won: boolean;
  readonly votes: readonly Vote[];
}

/** The request of a round, and how its votes are counted. */
export interface RoundOptions {
  readonly buildRequest: (id: string) => VoteRequest;
  /** A slot whose vote does not count. */
  readonly excludedSlot?: number;
  readonly timeoutUs?: number;
  /** Which votes count as yes; by default those with `ok`. */
  readonly countsAsYes?: (vote: Vote) => boolean;
  /** Called for votes that arrive after the round was won. */
  readonly onLateVote?: (vote: Vote) => void;
}

/** The quorum rounds of one process. */
export interface QuorumRounds {
  readonly start: (options: RoundOptions, done: (result: RoundResult) => void) => void;
  readonly receiveVote: (vote: MessageOf<'Vote'>) => void;
}

interface OpenRound {
  readonly options: RoundOptions;
  readonly request: VoteRequest;
  readonly votes: Map<number, Vote>;
  readonly end: (won: boolean) => void;
}

const defaultTimeoutUs = 1_500_000;
const retransmitIntervalUs = 200_000;
/** How long votes are still handled after a round was won. */
const lateVoteWindowUs = 1_000_000;

/** Creates the quorum rounds of a process. */
export function createQuorumRounds(world: World, replica: Replica): QuorumRounds {
  const run = Math.floor(world.random() * 2 ** 40).toString(36);
  const openRounds = new Map<string, OpenRound>();
  const lateVoteHandlers = new Map<string, (vote: Vote) => void>();
  let count = 0;

  function nextId(): string {
    count += 1;
    return `${replica.diskId().slice(0, 8)}/${run}/${count}`;
  }

  function start(options: RoundOptions, done: (result: RoundResult) => void): void {
    const id = nextId();
    const request = options.buildRequest(id);
    const { membershipEpoch } = replica.membership();
    const votes = new Map<number, Vote>();
    const deadline = world.now() + (options.timeoutUs ?? defaultTimeoutUs);
    let cancel: Cancel | undefined;

    function end(won: boolean): void {
      if (!openRounds.delete(id)) return;
      cancel?.();
      if (won && options.onLateVote !== undefined && votes.size < replica.membership().replicas.length)
        keepLateVoteHandler(id, options.onLateVote);
      done({ won, votes: [...votes.values()] });
    }

    function hasEnded(): boolean {
      const changed = replica.membership().membershipEpoch !== membershipEpoch;
      return world.now() >= deadline || changed || replica.state() !== 'voting';
    }

    function transmit(): void {
      if (!openRounds.has(id)) return;
      if (hasEnded()) return end(false);
      for (const entry of replica.membership().replicas)
        if (!votes.has(entry.slot)) sendRequest(entry.slot, entry.address);
      if (openRounds.has(id)) cancel = world.after(micros(retransmitIntervalUs), transmit);
    }

    function sendRequest(slot: number, address: string): void {
      if (slot === replica.slot) replica.vote(request, receiveVote);
      else world.send(address as Address, request as Message);
    }

    openRounds.set(id, { options, request, votes, end });
    transmit();
  }

  function keepLateVoteHandler(id: string, onLateVote: (vote: Vote) => void): void {
    lateVoteHandlers.set(id, onLateVote);
    world.after(micros(lateVoteWindowUs), () => lateVoteHandlers.delete(id));
  }

  function isFromMember(vote: Vote): boolean {
    const member = replica.membership().replicas.find((entry) => entry.slot === vote.slot);
    return member !== undefined && member.disk === vote.disk && vote.voting;
  }

  function receiveVote(received: Vote): void {
    if (!isFromMember(received)) return;
    const round = openRounds.get(received.id);
    if (round === undefined) return lateVoteHandlers.get(received.id)?.(received);
    if (received.slot === round.options.excludedSlot) return;
    round.votes.set(received.slot, received);
    decide(round);
  }

  function decide(round: OpenRound): void {
    const votes = [...round.votes.values()];
    const countsAsYes = round.options.countsAsYes ?? isGranted;
    const yesCount = votes.filter(countsAsYes).length;
    const replicaCount = replica.membership().replicas.length;
    if (yesCount >= majorityOf(replicaCount)) return round.end(true);
    if (votes.length - yesCount > replicaCount - majorityOf(replicaCount)) return round.end(false);
    const { request } = round;
    if (request.kind === 'Prepare' && votes.some((vote) => !vote.ok && vote.promised > request.epoch)) round.end(false);
  }

  return { start, receiveVote };
}

function isGranted(vote: Vote): boolean {
  return vote.ok;
}
