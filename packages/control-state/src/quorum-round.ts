/**
 * A quorum round asks all replicas one thing and counts their votes. It is won with a majority that says yes; it is lost
 * when no majority can any more, when a vote shows that a higher epoch was promised, when the membership changes, or
 * when time runs out. A vote counts only if it comes from the disk that the membership record names for that slot. The
 * ids of rounds bear a number drawn at the start of the process, as votes for the rounds before it may still come.
 */
import type { Address, Cancel, Message, MessageOf, World } from '@tansypost/inner-protocol';
import { micros } from '@tansypost/inner-protocol';
import type { Vote, VoteRequest } from './acceptor.js';
import { majorityOf } from './membership-record.js';
import type { Replica } from './replica.js';

/** Whether a round was won, and the votes that had come by then. */
export interface RoundResult {
  readonly won: boolean;
  readonly votes: readonly Vote[];
}

/** What a round asks, and how its votes count. */
export interface RoundOptions {
  readonly buildRequest: (id: string) => VoteRequest;
  /** A slot whose vote does not count. */
  readonly excludedSlot?: number;
  /** How long the round may take, in microseconds. */
  readonly timeoutUs?: number;
  /** Which votes count as yes; without it, those that say so. */
  readonly countsAsYes?: (vote: Vote) => boolean;
  /** Told of the votes that come after the round was won. */
  readonly onLateVote?: (vote: Vote) => void;
}

/** The rounds of one process. */
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

const defaultPatience = 1_500_000;
const retransmitEvery = 200_000;
const lateVotesFor = 1_000_000;

/** Makes the rounds of a process on its replica. */
export function createQuorumRounds(world: World, replica: Replica): QuorumRounds {
  const run = Math.floor(world.random() * 2 ** 40).toString(36);
  const open = new Map<string, OpenRound>();
  const lateVotes = new Map<string, (vote: Vote) => void>();
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
    const limit = world.now() + (options.timeoutUs ?? defaultPatience);
    let cancel: Cancel | undefined;

    function end(won: boolean): void {
      if (!open.delete(id)) return;
      cancel?.();
      if (won && options.onLateVote !== undefined && votes.size < replica.membership().replicas.length)
        keepLate(id, options.onLateVote);
      done({ won, votes: [...votes.values()] });
    }

    function hasEnded(): boolean {
      const changed = replica.membership().membershipEpoch !== membershipEpoch;
      return world.now() >= limit || changed || replica.state() !== 'voting';
    }

    function transmit(): void {
      if (!open.has(id)) return;
      if (hasEnded()) return end(false);
      for (const entry of replica.membership().replicas) if (!votes.has(entry.slot)) ask(entry.slot, entry.address);
      if (open.has(id)) cancel = world.after(micros(retransmitEvery), transmit);
    }

    function ask(slot: number, address: string): void {
      if (slot === replica.slot) replica.vote(request, vote);
      else world.send(address as Address, request as Message);
    }

    open.set(id, { options, request, votes, end });
    transmit();
  }

  function keepLate(id: string, late: (vote: Vote) => void): void {
    lateVotes.set(id, late);
    world.after(micros(lateVotesFor), () => lateVotes.delete(id));
  }

  function isFromMember(vote: Vote): boolean {
    const member = replica.membership().replicas.find((entry) => entry.slot === vote.slot);
    return member !== undefined && member.disk === vote.disk && vote.voting;
  }

  function vote(received: Vote): void {
    if (!isFromMember(received)) return;
    const round = open.get(received.id);
    if (round === undefined) return lateVotes.get(received.id)?.(received);
    if (received.slot === round.options.excludedSlot) return;
    round.votes.set(received.slot, received);
    decide(round);
  }

  function decide(round: OpenRound): void {
    const votes = [...round.votes.values()];
    const counts = round.options.countsAsYes ?? saysYes;
    const yes = votes.filter(counts).length;
    const all = replica.membership().replicas.length;
    if (yes >= majorityOf(all)) return round.end(true);
    if (votes.length - yes > all - majorityOf(all)) return round.end(false);
    const { request } = round;
    if (request.kind === 'Prepare' && votes.some((vote) => !vote.ok && vote.promised > request.epoch)) round.end(false);
  }

  return { start, receiveVote: vote };
}

function saysYes(vote: Vote): boolean {
  return vote.ok;
}
