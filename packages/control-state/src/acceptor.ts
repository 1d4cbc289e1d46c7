/**
 * The Paxos acceptor of one replica. It answers the Prepare, Accept and Check requests of quorum rounds. Whatever a
 * vote promises is synced to disk before the vote is sent. An answer counts as a vote only if this replica is in the
 * state `voting` and the requester's membership record is not older than its own.
 */
import type { MessageOf } from '@tansypost/inner-protocol';
import type { ReplicaState, ReplicaStorage } from './replica-storage.js';
import type { AppliedChange } from './change-history.js';
import { isNewer, type Row } from './row.js';

/** One replica's answer to a request of a quorum round. */
export type Vote = MessageOf<'Vote'>;
/** A request of a quorum round: for a promise, to accept a value, or to check that an epoch is still the highest. */
export type VoteRequest = MessageOf<'Prepare' | 'Accept' | 'Check'>;

/** Dependencies of an acceptor on its replica. */
export interface AcceptorOptions {
  readonly storage: ReplicaStorage;
  readonly slot: () => number;
  readonly state: () => ReplicaState;
  readonly membershipEpoch: () => number;
  /** Stores a row and calls back once it is synced to disk. */
  readonly putRow: (key: string, row: Row, changes: readonly AppliedChange[], done: (ok: boolean) => void) => void;
}

/** Answers the vote requests that one replica receives. */
export interface Acceptor {
  readonly vote: (request: VoteRequest, answer: (vote: Vote) => void) => void;
  /** Answers with a refusal, whatever the stored row is. */
  readonly refuse: (request: VoteRequest, answer: (vote: Vote) => void) => void;
}

const emptyBuffer = Buffer.alloc(0);
const refusingStates: ReadonlySet<ReplicaState> = new Set(['fenced', 'failed', 'unusable']);

/** Creates the acceptor of a replica. */
export function createAcceptor(options: AcceptorOptions): Acceptor {
  const { storage } = options;

  function voteFor(request: VoteRequest, ok: boolean, row: Row, changes: AppliedChange[] = []): Vote {
    const voting = options.state() === 'voting';
    return {
      kind: 'Vote',
      id: request.id,
      slot: options.slot(),
      disk: storage.diskId(),
      membershipEpoch: options.membershipEpoch(),
      voting,
      ok: ok && voting,
      promised: row.promised,
      epoch: row.epoch,
      version: row.version,
      value: row.value,
      changes,
    };
  }

  function vote(request: VoteRequest, answer: (vote: Vote) => void): void {
    const row = storage.row(request.key);
    const state = options.state();
    const outdated = request.membershipEpoch < options.membershipEpoch();
    if (outdated || refusingStates.has(state)) return answer(voteFor(request, false, withoutValue(row)));
    if (request.kind === 'Check') return answer(voteFor(request, row.promised <= request.epoch, withoutValue(row)));
    if (request.kind === 'Prepare') return prepare(request, row, answer);
    accept(request, row, answer);
  }

  function prepare(request: MessageOf<'Prepare'>, row: Row, answer: (vote: Vote) => void): void {
    if (options.state() !== 'voting' || request.epoch < row.promised)
      return answer(voteFor(request, false, withoutValue(row)));
    const changes = storage.history(request.key).list(row.version);
    if (request.epoch === row.promised) {
      // A repeated request may arrive before the promise made for the first one is synced, so it waits for its own
      // sync.
      return storage.syncRow(request.key, (ok) => answer(voteFor(request, ok, row, changes)));
    }
    const promised: Row = { ...row, promised: request.epoch };
    options.putRow(request.key, promised, [], (ok) => answer(voteFor(request, ok, promised, changes)));
  }

  function accept(request: MessageOf<'Accept'>, row: Row, answer: (vote: Vote) => void): void {
    if (request.epoch < row.promised) return answer(voteFor(request, false, withoutValue(row)));
    if (!isNewer(request, row)) {
      const isSameEpoch = request.epoch === row.epoch;
      return options.putRow(request.key, row, request.changes, (ok) =>
        answer(voteFor(request, ok && isSameEpoch, withoutValue(row))),
      );
    }
    const { epoch, version, value, changes } = request;
    const accepted: Row = { promised: epoch, epoch, version, value };
    options.putRow(request.key, accepted, changes, (ok) => answer(voteFor(request, ok, withoutValue(accepted))));
  }

  return {
    vote,
    refuse: (request, answer) => answer(voteFor(request, false, withoutValue(storage.row(request.key)))),
  };
}

function withoutValue(row: Row): Row {
  return { ...row, value: emptyBuffer };
}
