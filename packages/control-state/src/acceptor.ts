/**
 * The acceptor of one replica: it answers Prepare, Accept and Check of a quorum round. What a vote promises is synced to
 * the disk before the vote is given. Only a voting replica's answers count, and only while the asker does not know an
 * older membership than this replica.
 */
import type { MessageOf } from '@tansypost/inner-protocol';
import type { ReplicaState, ReplicaStorage } from './replica-storage.js';
import type { AppliedChange } from './change-history.js';
import { isNewer, type Row } from './row.js';

/** One replica's answer to a request of a quorum round. */
export type Vote = MessageOf<'Vote'>;
/** What a quorum round asks: a promise, the acceptance of a value, or whether an epoch still holds. */
export type VoteRequest = MessageOf<'Prepare' | 'Accept' | 'Check'>;

/** What an acceptor needs of its replica. */
export interface AcceptorOptions {
  readonly storage: ReplicaStorage;
  readonly slot: () => number;
  readonly state: () => ReplicaState;
  readonly membershipEpoch: () => number;
  /** Takes a row in and calls back once it is synced. */
  readonly putRow: (key: string, row: Row, changes: readonly AppliedChange[], done: (ok: boolean) => void) => void;
}

/** Gives the votes of one replica. */
export interface Acceptor {
  readonly vote: (request: VoteRequest, answer: (vote: Vote) => void) => void;
  /** A vote against, whatever the row says. */
  readonly refuse: (request: VoteRequest, answer: (vote: Vote) => void) => void;
}

const noBytes = Buffer.alloc(0);
const mayNotVote: ReadonlySet<ReplicaState> = new Set(['fenced', 'failed', 'unusable']);

/** Makes the acceptor of a replica. */
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
    if (outdated || mayNotVote.has(state)) return answer(voteFor(request, false, withoutValue(row)));
    if (request.kind === 'Check') return answer(voteFor(request, row.promised <= request.epoch, withoutValue(row)));
    if (request.kind === 'Prepare') return prepare(request, row, answer);
    accept(request, row, answer);
  }

  function prepare(request: MessageOf<'Prepare'>, row: Row, answer: (vote: Vote) => void): void {
    if (options.state() !== 'voting' || request.epoch < row.promised)
      return answer(voteFor(request, false, withoutValue(row)));
    const changes = storage.history(request.key).list(row.version);
    if (request.epoch === row.promised) {
      // A repeated request may overtake the sync of the first, so this one waits for a sync of its own.
      return storage.syncRow(request.key, (ok) => answer(voteFor(request, ok, row, changes)));
    }
    const promised: Row = { ...row, promised: request.epoch };
    options.putRow(request.key, promised, [], (ok) => answer(voteFor(request, ok, promised, changes)));
  }

  function accept(request: MessageOf<'Accept'>, row: Row, answer: (vote: Vote) => void): void {
    if (request.epoch < row.promised) return answer(voteFor(request, false, withoutValue(row)));
    if (!isNewer(request, row)) {
      const same = request.epoch === row.epoch;
      return options.putRow(request.key, row, request.changes, (ok) =>
        answer(voteFor(request, ok && same, withoutValue(row))),
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
  return { ...row, value: noBytes };
}
