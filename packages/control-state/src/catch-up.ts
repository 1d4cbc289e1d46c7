/**
 * Copying from the other replicas. A blank replica copies everything, as a learner before the membership record names
 * it, and once more what has changed since when it does; a voting one that was away takes in what it missed. A source
 * answers only under the membership epoch that the asker names, so what it sends includes all that it accepted under
 * earlier memberships, which it refuses to take part in from then on.
 */
import { micros, type Address, type MessageOf, type ReplicaEntry, type World } from '@tansypost/inner-protocol';
import { copiesNeeded, type MembershipRecord } from './membership-record.js';
import type { ReplicaState, ReplicaStorage } from './replica-storage.js';
import { mergeRows, isNewer, type Row } from './row.js';

type CopyPage = MessageOf<'CopyPage'>;
type CopyRequest = MessageOf<'CopyAsk'>;
type CopiedRow = CopyPage['records'][number];

/** What copying needs of its replica. */
export interface CatchUpOptions {
  readonly self: Address;
  readonly storage: ReplicaStorage;
  readonly slot: () => number;
  readonly state: () => ReplicaState;
  readonly membership: () => MembershipRecord;
  readonly isMember: () => boolean;
  readonly putRow: ReplicaStorage['putRow'];
  /** Told when so many sources have been copied whole that a blank replica may vote once it is a member. */
  readonly onCopied: () => void;
}

/** Copies from the other replicas, and answers those that copy from this one. */
export interface CatchUp {
  /** Asks the sources that have not been copied whole, or of a learner's sources all, for what is newer. */
  readonly tick: () => void;
  readonly receivePage: (page: CopyPage) => void;
  /** The answer to another replica that copies from this one. */
  readonly answer: (request: CopyRequest) => CopyPage;
  /** Whether enough sources were copied whole lately, under the present membership. */
  readonly isCaughtUp: () => boolean;
  /** Lets a voting replica ask all others once more for what it may have missed. */
  readonly restart: () => void;
}

/** How far the copy from one source has come. */
interface Progress {
  readonly disk: string;
  readonly source: string;
  readonly after: number;
  readonly membershipEpoch: number;
  /** When the last page that left nothing out was asked for; -Infinity if there is none under this membership. */
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
const learnerRefreshUs = 250_000;
const caughtUpWindowUs = 3_000_000;

/** Makes the copying side of a replica; it asks nobody before its first tick. */
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
    const present = progress.get(entry.slot);
    if (present === undefined || present.disk !== entry.disk)
      return { disk: entry.disk, source: '', after: 0, membershipEpoch, completeAt: -Infinity };
    return present.membershipEpoch === membershipEpoch
      ? present
      : { ...present, membershipEpoch, completeAt: -Infinity };
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

  /** A learner asks all again and again; a member asks each source until it has been copied whole. */
  function needsCopy(entry: ReplicaEntry, state: ReplicaState): boolean {
    if (state === 'voting') return slotsToCopy.has(entry.slot);
    const { completeAt: wholeAt } = progressOf(entry);
    return options.isMember() ? wholeAt === -Infinity : world.now() - wholeAt >= learnerRefreshUs;
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
    const present = storage.row(key);
    if (options.state() === 'blank') return options.putRow(key, mergeRows(present, copied), changes, done);
    // A voting replica takes a row as it would take the leader's Accept: never below what it has promised since.
    const replaces = isNewer(copied, present) && epoch >= present.promised;
    const missed = changes.filter((change) => (storage.history(key).at(change.version)?.epoch ?? -1) < change.epoch);
    if (!replaces && missed.length === 0) return done(true);
    options.putRow(key, replaces ? { ...copied, promised: epoch } : present, missed, done);
  }

  function recordProgress(entry: ReplicaEntry, received: CopyPage, askedAt: number): void {
    const { membershipEpoch } = options.membership();
    if (received.membershipEpoch !== membershipEpoch) return;
    const after = received.records.at(-1)?.sequence ?? received.after;
    const wholeAt = received.last ? askedAt : -Infinity;
    progress.set(entry.slot, {
      disk: entry.disk,
      source: received.source,
      after,
      membershipEpoch,
      completeAt: wholeAt,
    });
    if (!received.last) return requestPage(entry);
    slotsToCopy.delete(entry.slot);
    if (countComplete(-Infinity) >= copiesNeeded(options.membership().replicas.length)) options.onCopied();
  }

  function countComplete(since: number): number {
    return sources().filter((entry) => {
      const { completeAt: wholeAt } = progressOf(entry);
      return wholeAt > since;
    }).length;
  }

  function isCaughtUp(): boolean {
    const { replicas } = options.membership();
    return replicas.length > 0 && countComplete(world.now() - caughtUpWindowUs) >= copiesNeeded(replicas.length);
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
