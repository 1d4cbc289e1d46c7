/**
 * The leader's side of one key. It takes the key over under a new epoch (a majority promises it, and the newest value
 * found is written again under that epoch), then writes one change after the other, each synced on a majority before it
 * is answered. Before a read, and before an order is refused, it asks a majority whether its epoch still holds, in a
 * round begun after the question came; on the way it repairs the copies that it finds old. A leader that loses a round
 * steps down.
 */
import { micros, type Address, type Message, type World } from '@tansypost/inner-protocol';
import type { Vote, VoteRequest } from './acceptor.js';
import { createChangeHistory, type AppliedChange, type ChangeHistory } from './change-history.js';
import { noReplacement } from './membership-changes.js';
import type { QuorumRounds, RoundResult } from './quorum-round.js';
import type { Replica } from './replica.js';
import { emptyRow, mergeRows, isNewer, nextEpoch, type Row } from './row.js';

/**
 * `done`: taken, now or earlier; `lost`: another version is in force; `reused`: the id of the change stands for another
 * value in force; `unknown`: it may or may not be taken; `retry`: not taken, and another replica may know more.
 */
export type WriteStatus = 'done' | 'lost' | 'reused' | 'unknown' | 'retry';

/** How a write ended, and the epoch and version that it is about. */
export interface WriteAnswer {
  readonly status: WriteStatus;
  readonly epoch: number;
  readonly version: number;
}

/** A conditional write: taken if `base` is the version in force. */
export interface Write {
  readonly change: string;
  readonly expectedVersion: number;
  readonly value: Buffer;
  readonly done: (answer: WriteAnswer) => void;
}

/** A change worked out from the value in force. Those that wait together are written together. */
export interface Mutation {
  readonly apply: (value: Buffer, epoch: number) => { readonly value: Buffer; readonly result: string };
  readonly done: (status: WriteStatus, result: string) => void;
}

/** The leader's side of one key. */
export interface KeyLeader {
  readonly isLeading: () => boolean;
  /** Since when it has led, on its own clock. */
  readonly leadingSince: () => number;
  readonly row: () => Row;
  /** The version that a change made, if it was taken and is still known. To be asked after a read only. */
  readonly versionOf: (change: string) => number | undefined;
  readonly acquire: () => void;
  readonly write: (write: Write) => void;
  readonly mutate: (mutation: Mutation) => void;
  /** Gives the value in force, or undefined if no majority confirmed it. */
  readonly read: (done: (row: Row | undefined) => void) => void;
}

/** What a leader needs of its node. */
export interface KeyLeaderOptions {
  readonly key: string;
  readonly replica: Replica;
  readonly rounds: QuorumRounds;
  /** Told of every value that a majority holds. */
  readonly onCommitted: (row: Row) => void;
}

type Role = 'follower' | 'candidate' | 'leader';

const mostTries = 4;
const leastPause = 20_000;
const pauseSpread = 80_000;
const notTaken: WriteAnswer = { status: 'retry', epoch: 0, version: 0 };

/** Makes the leader's side of a key; it takes the key over on first use. */
export function createKeyLeader(world: World, options: KeyLeaderOptions): KeyLeader {
  const { key, replica, rounds } = options;
  let role: Role = 'follower';
  let row: Row = emptyRow;
  let history: ChangeHistory = createChangeHistory();
  let seenEpoch = 0;
  let since = 0;
  let tries = 0;
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
    for (const write of writes.splice(0)) write.done(notTaken);
    for (const mutation of waitingMutations) mutation.done('retry', '');
  }

  function noteEpochs(votes: readonly Vote[]): void {
    for (const vote of votes) seenEpoch = Math.max(seenEpoch, vote.promised);
  }

  function take(): void {
    if (role !== 'follower' || replica.state() !== 'voting') return;
    role = 'candidate';
    const epoch = nextEpoch(Math.max(seenEpoch, replica.row(key).promised), replica.slot);
    const { membershipEpoch } = replica.membership();
    rounds.start(
      { buildRequest: (id) => ({ kind: 'Prepare', id, from: '', key, epoch, membershipEpoch, ...noReplacement }) },
      (prepared) => {
        noteEpochs(prepared.votes);
        if (!prepared.won) return missed();
        rewriteNewest(prepared, epoch, membershipEpoch);
      },
    );
  }

  function rewriteNewest(prepared: RoundResult, epoch: number, membershipEpoch: number): void {
    const promises = prepared.votes.filter((vote) => vote.ok);
    const newest = promises.reduce<Row>((found, vote) => mergeRows(found, vote), emptyRow);
    const taken: Row = { ...newest, promised: epoch, epoch };
    const known = historyOf(promises, newest.version);
    if (newest.version === 0) return lead(taken, known);
    const last = known.at(newest.version);
    const changes = last === undefined ? [] : [{ ...last, epoch }];
    for (const change of changes) known.add(change);
    rounds.start({ buildRequest: (id) => accept(id, taken, changes, membershipEpoch) }, (accepted) => {
      noteEpochs(accepted.votes);
      if (accepted.won) lead(taken, known);
      else missed();
    });
  }

  function accept(id: string, next: Row, changes: readonly AppliedChange[], membershipEpoch: number): VoteRequest {
    const { epoch, version, value } = next;
    return { kind: 'Accept', id, from: '', key, epoch, membershipEpoch, version, value, changes: [...changes] };
  }

  function missed(): void {
    role = 'follower';
    tries += 1;
    if (tries < mostTries && writes.length + reads.length + mutations.length > 0) {
      world.after(micros((leastPause + world.random() * pauseSpread) * tries), take);
    } else {
      tries = 0;
      stepDown();
    }
  }

  function lead(taken: Row, known: ChangeHistory): void {
    role = 'leader';
    tries = 0;
    row = taken;
    history = known;
    since = taken.version === 0 ? -Infinity : world.now();
    world.log(2002, { key, epoch: taken.epoch, version: taken.version });
    options.onCommitted(taken);
    nextRead();
    nextWrite();
  }

  function write(next: Write): void {
    writes.push(next);
    if (role === 'follower') take();
    else nextWrite();
  }

  function nextWrite(): void {
    if (role !== 'leader' || busy) return;
    const next = writes.shift();
    if (next === undefined) return nextMutations();
    const taken = history.versionOf(next.change, row.version);
    if (taken !== undefined || next.expectedVersion !== row.version) return answerWithoutWriting(next, taken);
    writeNow(next);
  }

  /** An order that was taken already, or builds on another version: either is said only after a majority confirmed it. */
  function answerWithoutWriting(next: Write, taken: number | undefined): void {
    busy = true;
    check((ok) => {
      busy = false;
      next.done(ok ? outcomeOf(next, taken) : notTaken);
      nextWrite();
    });
  }

  function outcomeOf(next: Write, taken: number | undefined): WriteAnswer {
    const { epoch } = row;
    if (taken === undefined) return { status: 'lost', epoch, version: row.version };
    const reused = taken === row.version && !row.value.equals(next.value);
    return { status: reused ? 'reused' : 'done', epoch, version: taken };
  }

  function writeNow(next: Write): void {
    const { epoch } = row;
    const version = row.version + 1;
    const written: Row = { promised: epoch, epoch, version, value: next.value };
    const change: AppliedChange = { id: next.change, version, epoch };
    replicate(written, [change], (won) => {
      if (won) options.onCommitted(row);
      next.done({ status: won ? 'done' : 'unknown', epoch, version });
    });
  }

  /** Writes a row to a majority. A leader that fails to steps down, as the outcome is then unknown. */
  function replicate(next: Row, changes: readonly AppliedChange[], done: (won: boolean) => void): void {
    busy = true;
    const { membershipEpoch } = replica.membership();
    rounds.start({ buildRequest: (id) => accept(id, next, changes, membershipEpoch) }, (accepted) => {
      busy = false;
      noteEpochs(accepted.votes);
      if (accepted.won) {
        row = next;
        for (const change of changes) history.add(change);
      } else stepDown();
      done(accepted.won);
      nextWrite();
    });
  }

  function mutate(mutation: Mutation): void {
    mutations.push(mutation);
    if (role === 'follower') take();
    else nextWrite();
  }

  function nextMutations(): void {
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

  /** Asks a majority whether this epoch still holds, and repairs old copies on the way. */
  function check(done: (ok: boolean) => void): void {
    const checked = row;
    const { membershipEpoch } = replica.membership();
    function late(vote: Vote): void {
      seenEpoch = Math.max(seenEpoch, vote.promised);
      if (role === 'leader') repair(checked, [vote], membershipEpoch);
    }
    function make(id: string): VoteRequest {
      return { kind: 'Check', id, from: '', key, epoch: checked.epoch, membershipEpoch };
    }
    rounds.start({ buildRequest: make, onLateVote: late }, (confirmed) => {
      noteEpochs(confirmed.votes);
      if (!confirmed.won || role !== 'leader') {
        if (role === 'leader') stepDown();
        return done(false);
      }
      repair(checked, confirmed.votes, membershipEpoch);
      done(true);
    });
  }

  /** Sends the value in force to those that hold an older one. One that does not answer is repaired once it does. */
  function repair(current: Row, votes: readonly Vote[], membershipEpoch: number): void {
    if (busy || row !== current || current.version === 0) return;
    const last = history.at(current.version);
    const request = accept(`repair/${key}`, current, last === undefined ? [] : [last], membershipEpoch);
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
    if (role === 'follower') take();
    else nextRead();
  }

  function nextRead(): void {
    if (role !== 'leader' || checking || reads.length === 0) return;
    checking = true;
    const waiting = reads;
    reads = [];
    check((ok) => {
      checking = false;
      for (const done of waiting) done(ok ? row : undefined);
      nextRead();
    });
  }

  return {
    isLeading: () => role === 'leader',
    leadingSince: () => since,
    row: () => row,
    versionOf: (change) => history.versionOf(change, row.version),
    acquire: take,
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
