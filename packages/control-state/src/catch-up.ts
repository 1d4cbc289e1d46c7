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
  readonly copied: () => void;
}

/** Copies from the other replicas, and answers those that copy from this one. */
export interface CatchUp {
  /** Asks the sources that have not been copied whole, or of a learner's sources all, for what is newer. */
  readonly tick: () => void;
  readonly page: (page: CopyPage) => void;
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
  readonly wholeAt: number;
}

interface OpenRequest {
  readonly askedAt: number;
  readonly after: number;
}

const pageBytes = 1024 * 1024;
const rowOverhead = 64;
const askAgainAfter = 150_000;
const retryAfter = 50_000;
const learnAgainAfter = 250_000;
const caughtUpFor = 3_000_000;

/** Makes the copying side of a replica; it asks nobody before its first tick. */
export function createCatchUp(world: World, options: CatchUpOptions): CatchUp {
  const { storage } = options;
  const progress = new Map<number, Progress>();
  const open = new Map<number, OpenRequest>();
  const missing = new Set<number>();

  function sources(): ReplicaEntry[] {
    const { replicas } = options.membership();
    return replicas.filter((entry) => entry.disk !== storage.diskId() && entry.address !== options.self);
  }

  function progressOf(entry: ReplicaEntry): Progress {
    const { membershipEpoch } = options.membership();
    const present = progress.get(entry.slot);
    if (present === undefined || present.disk !== entry.disk)
      return { disk: entry.disk, source: '', after: 0, membershipEpoch, wholeAt: -Infinity };
    return present.membershipEpoch === membershipEpoch ? present : { ...present, membershipEpoch, wholeAt: -Infinity };
  }

  function tick(): void {
    const state = options.state();
    if (state !== 'blank' && state !== 'voting') return;
    for (const entry of sources()) {
      const asked = open.get(entry.slot);
      const isOpen = asked !== undefined && world.now() - asked.askedAt < askAgainAfter;
      if (!isOpen && isWanted(entry, state)) ask(entry);
    }
  }

  /** A learner asks all again and again; a member asks each source until it has been copied whole. */
  function isWanted(entry: ReplicaEntry, state: ReplicaState): boolean {
    if (state === 'voting') return missing.has(entry.slot);
    const { wholeAt } = progressOf(entry);
    return options.isMember() ? wholeAt === -Infinity : world.now() - wholeAt >= learnAgainAfter;
  }

  function ask(entry: ReplicaEntry): void {
    const { after, source } = progressOf(entry);
    const request: OpenRequest = { askedAt: world.now(), after };
    open.set(entry.slot, request);
    world.after(micros(askAgainAfter), () => {
      if (open.get(entry.slot) === request) tick();
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

  function page(received: CopyPage): void {
    const entry = sources().find((member) => member.slot === received.slot && member.disk === received.disk);
    const asked = open.get(received.slot);
    if (entry === undefined || asked === undefined || received.after !== asked.after) return;
    open.delete(received.slot);
    const same = received.membershipEpoch === options.membership().membershipEpoch;
    if (!received.ok || !same) return void world.after(micros(retryAfter), tick);
    takeIn(received, (ok) => {
      if (ok) settle(entry, received, asked.askedAt);
    });
  }

  function takeIn(received: CopyPage, done: (ok: boolean) => void): void {
    let left = received.records.length;
    let sound = true;
    if (left === 0) return done(true);
    for (const record of received.records)
      takeRow(record, (ok) => {
        left -= 1;
        sound = sound && ok;
        if (left === 0) done(sound);
      });
  }

  function takeRow(record: CopiedRow, done: (ok: boolean) => void): void {
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

  function settle(entry: ReplicaEntry, received: CopyPage, askedAt: number): void {
    const { membershipEpoch } = options.membership();
    if (received.membershipEpoch !== membershipEpoch) return;
    const after = received.records.at(-1)?.sequence ?? received.after;
    const wholeAt = received.last ? askedAt : -Infinity;
    progress.set(entry.slot, { disk: entry.disk, source: received.source, after, membershipEpoch, wholeAt });
    if (!received.last) return ask(entry);
    missing.delete(entry.slot);
    if (countWhole(-Infinity) >= copiesNeeded(options.membership().replicas.length)) options.copied();
  }

  function countWhole(since: number): number {
    return sources().filter((entry) => {
      const { wholeAt } = progressOf(entry);
      return wholeAt > since;
    }).length;
  }

  function isCaughtUp(): boolean {
    const { replicas } = options.membership();
    return replicas.length > 0 && countWhole(world.now() - caughtUpFor) >= copiesNeeded(replicas.length);
  }

  function answer(request: CopyRequest): CopyPage {
    const { membershipEpoch } = options.membership();
    const ok = options.state() === 'voting' && request.membershipEpoch === membershipEpoch;
    const after = request.source === storage.copySource ? request.after : 0;
    const changed = ok ? storage.changedSince(after) : [];
    const records: CopiedRow[] = [];
    let bytes = 0;
    for (const { key, sequence, row, changes } of changed) {
      if (bytes > pageBytes) break;
      records.push({ key, sequence, ...row, changes: [...changes] });
      bytes += row.value.length + rowOverhead * (changes.length + 1);
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
    for (const entry of sources()) missing.add(entry.slot);
    open.clear();
    tick();
  }

  return { tick, page, answer, isCaughtUp, restart };
}
