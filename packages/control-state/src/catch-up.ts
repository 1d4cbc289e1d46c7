/**
 * Catch-up: copies rows from the other replicas. A blank replica copies everything as a learner before the membership
 * record names it, and then once more what has changed since, as a member. A voting replica that was unreachable copies
 * what it missed. A source answers only if the request names the source's own membership epoch. The copy therefore
 * includes everything that the source accepted under earlier memberships, for which it refuses to vote from then on.
 */
import { micros, type Address, type MessageOf, type ReplicaEntry, type World } from '@tansypost/inner-protocol';
import { requiredCopies, type MembershipRecord } from './membership-record.js';
import type { ReplicaState, ReplicaStorage } from './replica-storage.js';
import { mergeRows, isNewer, type Row } from './row.js';

type CopyPage = MessageOf<'CopyPage'>;
type CopyRequest = MessageOf<'CopyAsk'>;
type CopiedRow = CopyPage['records'][number];

/** Dependencies of catch-up on its replica. */
export interface CatchUpOptions {
  readonly self: Address;
  readonly storage: ReplicaStorage;
  readonly slot: () => number;
  readonly state: () => ReplicaState;
  readonly membership: () => MembershipRecord;
  readonly isMember: () => boolean;
  readonly putRow: ReplicaStorage['putRow'];
  /** Called when enough sources have been copied completely for a blank replica to vote once it is a member. */
  readonly onCopied: () => void;
}

/** Copies from the other replicas, and serves copies to them. */
export interface CatchUp {
  /** Requests newer rows from the sources that are not copied completely; a learner requests them from all sources. */
  readonly tick: () => void;
  readonly receivePage: (page: CopyPage) => void;
  /** Returns the page to send to a replica that copies from this one. */
  readonly answer: (request: CopyRequest) => CopyPage;
  /** Whether enough sources were copied completely within the last seconds, under the current membership. */
  readonly isCaughtUp: () => boolean;
  /** Makes a voting replica request from all others what it may have missed. */
  readonly restart: () => void;
}

/** Progress of the copy from one source. */
interface Progress {
  readonly disk: string;
  readonly source: string;
  readonly after: number;
  readonly membershipEpoch: number;
  /** When the page that completed the copy was requested; -Infinity if there is none under the current membership. */
  readonly completeAt: number;
}

interface OpenRequest {
  readonly askedAt: number;
  readonly after: number;
}

const maxPageBytes = 1024 * 1024;
const rowOverheadBytes = 64;
const requestTimeoutUs = 150_000;
const retryDelayUs = 50_000;
/** How often a learner copies again from a source that it has copied completely. */
const learnerRefreshUs = 250_000;
/** How recent a complete copy must be for a replica to count as caught up. */
const caughtUpWindowUs = 3_000_000;

/** Creates the catch-up of a replica; it sends no request before the first tick. */
export function createCatchUp(world: World, options: CatchUpOptions): CatchUp {
  const { storage } = options;
  const progress = new Map<number, Progress>();
  const openRequests = new Map<number, OpenRequest>();
  const slotsToCopy = new Set<number>();

  function sources(): ReplicaEntry[] {
    const { replicas } = options.membership();
    return replicas.filter((entry) => entry.disk !== storage.diskId() && entry.address !== options.self);
  }

  function progressOf(entry: ReplicaEntry): Progress {
    const { membershipEpoch } = options.membership();
    const stored = progress.get(entry.slot);
    if (stored === undefined || stored.disk !== entry.disk)
      return { disk: entry.disk, source: '', after: 0, membershipEpoch, completeAt: -Infinity };
    return stored.membershipEpoch === membershipEpoch ? stored : { ...stored, membershipEpoch, completeAt: -Infinity };
  }

  function tick(): void {
    const state = options.state();
    if (state !== 'blank' && state !== 'voting') return;
    for (const entry of sources()) {
      const pending = openRequests.get(entry.slot);
      const isPending = pending !== undefined && world.now() - pending.askedAt < requestTimeoutUs;
      if (!isPending && needsCopy(entry, state)) requestPage(entry);
    }
  }

  /** A learner copies from all sources periodically; a member copies from each source until that copy is complete. */
  function needsCopy(entry: ReplicaEntry, state: ReplicaState): boolean {
    if (state === 'voting') return slotsToCopy.has(entry.slot);
    const { completeAt } = progressOf(entry);
    return options.isMember() ? completeAt === -Infinity : world.now() - completeAt >= learnerRefreshUs;
  }

  function requestPage(entry: ReplicaEntry): void {
    const { after, source } = progressOf(entry);
    const request: OpenRequest = { askedAt: world.now(), after };
    openRequests.set(entry.slot, request);
    world.after(micros(requestTimeoutUs), () => {
      if (openRequests.get(entry.slot) === request) tick();
    });
    world.send(entry.address as Address, {
      kind: 'CopyAsk',
      from: options.self,
      disk: storage.diskId(),
      membershipEpoch: options.membership().membershipEpoch,
      source,
      after,
    });
  }

  function receivePage(received: CopyPage): void {
    const entry = sources().find((member) => member.slot === received.slot && member.disk === received.disk);
    const pending = openRequests.get(received.slot);
    if (entry === undefined || pending === undefined || received.after !== pending.after) return;
    openRequests.delete(received.slot);
    const isSameMembership = received.membershipEpoch === options.membership().membershipEpoch;
    if (!received.ok || !isSameMembership) return void world.after(micros(retryDelayUs), tick);
    storeRows(received, (ok) => {
      if (ok) recordProgress(entry, received, pending.askedAt);
    });
  }

  function storeRows(received: CopyPage, done: (ok: boolean) => void): void {
    let remaining = received.records.length;
    let allStored = true;
    if (remaining === 0) return done(true);
    for (const record of received.records)
      storeRow(record, (ok) => {
        remaining -= 1;
        allStored = allStored && ok;
        if (remaining === 0) done(allStored);
      });
  }

  function storeRow(record: CopiedRow, done: (ok: boolean) => void): void {
    const { key, promised, epoch, version, value, changes } = record;
    const copied: Row = { promised, epoch, version, value };
    const storedRow = storage.row(key);
    if (options.state() === 'blank') return options.putRow(key, mergeRows(storedRow, copied), changes, done);
    // A voting replica takes a copied row under the same rule as a leader's Accept: never below its current promise.
    const replaces = isNewer(copied, storedRow) && epoch >= storedRow.promised;
    const missed = changes.filter((change) => (storage.history(key).at(change.version)?.epoch ?? -1) < change.epoch);
    if (!replaces && missed.length === 0) return done(true);
    options.putRow(key, replaces ? { ...copied, promised: epoch } : storedRow, missed, done);
  }

  function recordProgress(entry: ReplicaEntry, received: CopyPage, askedAt: number): void {
    const { membershipEpoch } = options.membership();
    if (received.membershipEpoch !== membershipEpoch) return;
    const after = received.records.at(-1)?.sequence ?? received.after;
    const completeAt = received.last ? askedAt : -Infinity;
    progress.set(entry.slot, {
      disk: entry.disk,
      source: received.source,
      after,
      membershipEpoch,
      completeAt,
    });
    if (!received.last) return requestPage(entry);
    slotsToCopy.delete(entry.slot);
    if (countComplete(-Infinity) >= requiredCopies(options.membership().replicas.length)) options.onCopied();
  }

  function countComplete(since: number): number {
    return sources().filter((entry) => {
      const { completeAt } = progressOf(entry);
      return completeAt > since;
    }).length;
  }

  function isCaughtUp(): boolean {
    const { replicas } = options.membership();
    return replicas.length > 0 && countComplete(world.now() - caughtUpWindowUs) >= requiredCopies(replicas.length);
  }

  function answer(request: CopyRequest): CopyPage {
    const { membershipEpoch } = options.membership();
    const ok = options.state() === 'voting' && request.membershipEpoch === membershipEpoch;
    const after = request.source === storage.copySource ? request.after : 0;
    const changed = ok ? storage.changedSince(after) : [];
    const records: CopiedRow[] = [];
    let bytes = 0;
    for (const { key, sequence, row, changes } of changed) {
      if (bytes > maxPageBytes) break;
      records.push({ key, sequence, ...row, changes: [...changes] });
      bytes += row.value.length + rowOverheadBytes * (changes.length + 1);
    }
    return {
      kind: 'CopyPage',
      slot: options.slot(),
      disk: storage.diskId(),
      membershipEpoch,
      ok,
      source: storage.copySource,
      after: request.after,
      records,
      last: records.length === changed.length,
    };
  }

  function restart(): void {
    for (const entry of sources()) slotsToCopy.add(entry.slot);
    openRequests.clear();
    tick();
  }

  return { tick, receivePage, answer, isCaughtUp, restart };
}
