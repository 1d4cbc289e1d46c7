/**
 * The leader role of one key. To become leader, it chooses a new epoch, collects promises from a majority, and rewrites
 * the newest value found under that epoch. It then writes one change at a time, each synced on a majority before it is
 * answered. Before it answers a read or rejects a write, it confirms its epoch with a majority in a round that starts
 * after the request arrived, and repairs the outdated replicas that the round shows. A leader that loses a round steps
 * down.
 */
import { micros, type Address, type Message, type World } from '@tansypost/inner-protocol';
import type { Vote, VoteRequest } from './acceptor.js';
import { createChangeHistory, type AppliedChange, type ChangeHistory } from './change-history.js';
import { noReplacement } from './membership-changes.js';
import type { QuorumRounds, RoundResult } from './quorum-round.js';
import type { Replica } from './replica.js';
import { emptyRow, mergeRows, isNewer, nextEpoch, type Row } from './row.js';

/**
 * `done`: applied, now or earlier; `lost`: the current version is not the expected one; `reused`: the change id belongs
 * to the current version, which has a different value; `unknown`: may or may not have been applied; `retry`: not
 * applied, and another replica may be able to.
 */
export type WriteStatus = 'done' | 'lost' | 'reused' | 'unknown' | 'retry';

/** The outcome of a write, with the epoch and version that the outcome refers to. */
export interface WriteAnswer {
  readonly status: WriteStatus;
  readonly epoch: number;
  readonly version: number;
}

/** A conditional write, applied if the current version is `expectedVersion`. */
export interface Write {
  readonly change: string;
  readonly expectedVersion: number;
  readonly value: Buffer;
  readonly done: (answer: WriteAnswer) => void;
}

/** A change computed from the current value. Mutations that are pending at the same time are written together. */
export interface Mutation {
  readonly apply: (value: Buffer, epoch: number) => { readonly value: Buffer; readonly result: string };
  readonly done: (status: WriteStatus, result: string) => void;
}

/** The leader role of one key. */
export interface KeyLeader {
  readonly isLeading: () => boolean;
  /** When it became leader, by its own clock; -Infinity if the key had no value then. */
  readonly leadingSince: () => number;
  readonly row: () => Row;
  /** The version that a change produced, if it was applied and is still remembered. Valid only after a read. */
  readonly versionOf: (change: string) => number | undefined;
  readonly acquire: () => void;
  readonly write: (write: Write) => void;
  readonly mutate: (mutation: Mutation) => void;
  /** Calls back with the current row, or with undefined if no majority confirmed it. */
  readonly read: (done: (row: Row | undefined) => void) => void;
}

/** Dependencies of a key leader on its node. */
export interface KeyLeaderOptions {
  readonly key: string;
  readonly replica: Replica;
  readonly rounds: QuorumRounds;
  /** Called for every row that a majority holds. */
  readonly onCommitted: (row: Row) => void;
}

type Role = 'follower' | 'candidate' | 'leader';

const maxAttempts = 4;
const minRetryDelayUs = 20_000;
const retryJitterUs = 80_000;
const notWritten: WriteAnswer = { status: 'retry', epoch: 0, version: 0 };

/** Creates the leader role of a key; it acquires the leadership on first use. */
export function createKeyLeader(world: World, options: KeyLeaderOptions): KeyLeader {
  const { key, replica, rounds } = options;
  let role: Role = 'follower';
  let row: Row = emptyRow;
  let history: ChangeHistory = createChangeHistory();
  let highestEpochSeen = 0;
  let leadingSince = 0;
  let attempts = 0;
  let busy = false;
  let checking = false;
  const writes: Write[] = [];
  let mutations: Mutation[] = [];
  let reads: ((row: Row | undefined) => void)[] = [];

  function stepDown(): void {
    if (role === 'leader') world.log(2003, { key, epoch: row.epoch });
    role = 'follower';
    const waitingReads = reads;
    const waitingMutations = mutations;
    reads = [];
    mutations = [];
    for (const done of waitingReads) done(undefined);
    for (const write of writes.splice(0)) write.done(notWritten);
    for (const mutation of waitingMutations) mutation.done('retry', '');
  }

  function recordPromisedEpochs(votes: readonly Vote[]): void {
    for (const vote of votes) highestEpochSeen = Math.max(highestEpochSeen, vote.promised);
  }

  function acquire(): void {
    if (role !== 'follower' || replica.state() !== 'voting') return;
    role = 'candidate';
    const epoch = nextEpoch(Math.max(highestEpochSeen, replica.row(key).promised), replica.slot);
    const { membershipEpoch } = replica.membership();
    rounds.start(
      { buildRequest: (id) => ({ kind: 'Prepare', id, from: '', key, epoch, membershipEpoch, ...noReplacement }) },
      (prepared) => {
        recordPromisedEpochs(prepared.votes);
        if (!prepared.won) return onAcquireFailed();
        rewriteNewest(prepared, epoch, membershipEpoch);
      },
    );
  }

  function rewriteNewest(prepared: RoundResult, epoch: number, membershipEpoch: number): void {
    const promises = prepared.votes.filter((vote) => vote.ok);
    const newest = promises.reduce<Row>((found, vote) => mergeRows(found, vote), emptyRow);
    const acquired: Row = { ...newest, promised: epoch, epoch };
    const knownChanges = historyOf(promises, newest.version);
    if (newest.version === 0) return becomeLeader(acquired, knownChanges);
    const lastChange = knownChanges.at(newest.version);
    const changes = lastChange === undefined ? [] : [{ ...lastChange, epoch }];
    for (const change of changes) knownChanges.add(change);
    rounds.start({ buildRequest: (id) => buildAccept(id, acquired, changes, membershipEpoch) }, (accepted) => {
      recordPromisedEpochs(accepted.votes);
      if (accepted.won) becomeLeader(acquired, knownChanges);
      else onAcquireFailed();
    });
  }

  function buildAccept(id: string, next: Row, changes: readonly AppliedChange[], membershipEpoch: number): VoteRequest {
    const { epoch, version, value } = next;
    return { kind: 'Accept', id, from: '', key, epoch, membershipEpoch, version, value, changes: [...changes] };
  }

  function onAcquireFailed(): void {
    role = 'follower';
    attempts += 1;
    if (attempts < maxAttempts && writes.length + reads.length + mutations.length > 0) {
      world.after(micros((minRetryDelayUs + world.random() * retryJitterUs) * attempts), acquire);
    } else {
      attempts = 0;
      stepDown();
    }
  }

  function becomeLeader(acquired: Row, known: ChangeHistory): void {
    role = 'leader';
    attempts = 0;
    row = acquired;
    history = known;
    leadingSince = acquired.version === 0 ? -Infinity : world.now();
    world.log(2002, { key, epoch: acquired.epoch, version: acquired.version });
    options.onCommitted(acquired);
    startNextRead();
    startNextWrite();
  }

  function write(next: Write): void {
    writes.push(next);
    if (role === 'follower') acquire();
    else startNextWrite();
  }

  function startNextWrite(): void {
    if (role !== 'leader' || busy) return;
    const next = writes.shift();
    if (next === undefined) return startNextMutations();
    const writtenVersion = history.versionOf(next.change, row.version);
    if (writtenVersion !== undefined || next.expectedVersion !== row.version)
      return answerWithoutWriting(next, writtenVersion);
    writeChange(next);
  }

  /** Answers a write that was already applied or expects another version, once a majority has confirmed the epoch. */
  function answerWithoutWriting(next: Write, writtenVersion: number | undefined): void {
    busy = true;
    confirmEpoch((ok) => {
      busy = false;
      next.done(ok ? outcomeOf(next, writtenVersion) : notWritten);
      startNextWrite();
    });
  }

  function outcomeOf(next: Write, writtenVersion: number | undefined): WriteAnswer {
    const { epoch } = row;
    if (writtenVersion === undefined) return { status: 'lost', epoch, version: row.version };
    const reused = writtenVersion === row.version && !row.value.equals(next.value);
    return { status: reused ? 'reused' : 'done', epoch, version: writtenVersion };
  }

  function writeChange(next: Write): void {
    const { epoch } = row;
    const version = row.version + 1;
    const written: Row = { promised: epoch, epoch, version, value: next.value };
    const change: AppliedChange = { id: next.change, version, epoch };
    replicate(written, [change], (won) => {
      if (won) options.onCommitted(row);
      next.done({ status: won ? 'done' : 'unknown', epoch, version });
    });
  }

  /** Writes a row to a majority. If that fails, the outcome is unknown and the leader steps down. */
  function replicate(next: Row, changes: readonly AppliedChange[], done: (won: boolean) => void): void {
    busy = true;
    const { membershipEpoch } = replica.membership();
    rounds.start({ buildRequest: (id) => buildAccept(id, next, changes, membershipEpoch) }, (accepted) => {
      busy = false;
      recordPromisedEpochs(accepted.votes);
      if (accepted.won) {
        row = next;
        for (const change of changes) history.add(change);
      } else stepDown();
      done(accepted.won);
      startNextWrite();
    });
  }

  function mutate(mutation: Mutation): void {
    mutations.push(mutation);
    if (role === 'follower') acquire();
    else startNextWrite();
  }

  function startNextMutations(): void {
    if (mutations.length === 0) return;
    const waiting = mutations;
    mutations = [];
    let value = row.value;
    const results = waiting.map((mutation) => {
      const applied = mutation.apply(value, row.epoch);
      value = applied.value;
      return applied.result;
    });
    const next: Row = { ...row, promised: row.epoch, version: row.version + 1, value };
    replicate(next, [], (won) => {
      waiting.forEach((mutation, index) => mutation.done(won ? 'done' : 'unknown', results[index]!));
    });
  }

  /** Confirms this leader's epoch with a majority, and repairs the outdated replicas that the votes show. */
  function confirmEpoch(done: (ok: boolean) => void): void {
    const checked = row;
    const { membershipEpoch } = replica.membership();
    function onLateVote(vote: Vote): void {
      highestEpochSeen = Math.max(highestEpochSeen, vote.promised);
      if (role === 'leader') repair(checked, [vote], membershipEpoch);
    }
    function buildRequest(id: string): VoteRequest {
      return { kind: 'Check', id, from: '', key, epoch: checked.epoch, membershipEpoch };
    }
    rounds.start({ buildRequest, onLateVote }, (confirmed) => {
      recordPromisedEpochs(confirmed.votes);
      if (!confirmed.won || role !== 'leader') {
        if (role === 'leader') stepDown();
        return done(false);
      }
      repair(checked, confirmed.votes, membershipEpoch);
      done(true);
    });
  }

  /** Read repair: sends the current row to replicas with an older one. Late votes are repaired when they arrive. */
  function repair(current: Row, votes: readonly Vote[], membershipEpoch: number): void {
    if (busy || row !== current || current.version === 0) return;
    const lastChange = history.at(current.version);
    const request = buildAccept(
      `repair/${key}`,
      current,
      lastChange === undefined ? [] : [lastChange],
      membershipEpoch,
    );
    for (const vote of votes) {
      const entry = replica.membership().replicas.find((member) => member.slot === vote.slot);
      if (entry === undefined || !isNewer(current, vote)) continue;
      if (entry.slot === replica.slot) replica.vote(request, () => undefined);
      else world.send(entry.address as Address, request as Message);
      world.log(2004, { key, slot: entry.slot, version: current.version });
    }
  }

  function read(done: (row: Row | undefined) => void): void {
    reads.push(done);
    if (role === 'follower') acquire();
    else startNextRead();
  }

  function startNextRead(): void {
    if (role !== 'leader' || checking || reads.length === 0) return;
    checking = true;
    const waiting = reads;
    reads = [];
    confirmEpoch((ok) => {
      checking = false;
      for (const done of waiting) done(ok ? row : undefined);
      startNextRead();
    });
  }

  return {
    isLeading: () => role === 'leader',
    leadingSince: () => leadingSince,
    row: () => row,
    versionOf: (change) => history.versionOf(change, row.version),
    acquire,
    write,
    mutate,
    read,
  };
}

function historyOf(promises: readonly Vote[], newestVersion: number): ChangeHistory {
  const history = createChangeHistory();
  for (const vote of promises)
    for (const change of vote.changes) if (change.version <= newestVersion) history.add(change);
  return history;
}
