// One of the core's places: the rows on its disk, and the votes it gives. It answers a vote only
// after the disk has synced what the vote promises. A blank disk does not vote: all founders found
// the core together, or it copies from a majority of the others after they have written it into the core record
// (which fences the disk that held its place before). Which slot it has is stated, or else the record tells.
import type { Address, Copied, MessageOf, World } from '@tansypost/inner-protocol';
import {
  copiesNeeded,
  membershipKey,
  decodeMembership,
  encodeMembership,
  majorityOf,
  noMembership,
  type MembershipRecord,
} from './core-record.js';
import type { Disk } from './disk.js';
import type { JournalRecord } from './journal.js';
import { emptyRow, merge, newer, toCopied, type Row } from './row.js';

export type ReplicaState = 'blank' | 'voting' | 'fenced' | 'failed';

export interface ReplicaOptions {
  // Undefined where the core record alone says which slot this disk has, if any.
  readonly slot: number | undefined;
  // Which slot it has when it founds a core together with the others of `core`, all blank like itself, and
  // whether it may begin that. Without a stated slot only a founder may say which slot it has before the record does.
  readonly foundingSlot?: number;
  readonly founds?: boolean;
  // Told whenever the state has changed.
  readonly entered?: (s: ReplicaState) => void;
  readonly self: Address;
  readonly core: readonly Address[];
  readonly disk: Disk;
  readonly found: readonly JournalRecord[];
  readonly newDiskId: string;
  readonly rewriteOver?: number;
}

export interface Replica {
  // -1 as long as it has none.
  readonly slot: number;
  // Whether its disk keeps what waits for it waiting.
  readonly ill: () => boolean;
  readonly leaving: () => boolean;
  readonly leave: () => void;
  // Fenced, and a majority of those in the record that fenced it votes under it: nobody needs this copy.
  readonly superseded: () => boolean;
  readonly diskId: () => string;
  readonly state: () => ReplicaState;
  readonly membership: () => MembershipRecord;
  readonly row: (k: string) => Row;
  readonly keys: () => string[];
  readonly vote: (m: MessageOf<'Prepare' | 'Accept' | 'Check'>, answer: (v: MessageOf<'Vote'>) => void) => void;
  readonly keep: (k: string, r: Row, done: (ok: boolean) => void) => void;
  readonly hello: (slim?: boolean) => MessageOf<'ReplicaHello'>;
  readonly heard: (m: MessageOf<'ReplicaHello'>) => void;
  readonly copyAsk: (m: MessageOf<'CopyAsk'>) => MessageOf<'CopyPage'>;
  readonly copyPage: (m: MessageOf<'CopyPage'>) => void;
  readonly copyTick: () => void;
  readonly votingSince: () => number;
  readonly adoptMembership: (c: MembershipRecord) => void;
}

const copyPageBytes = 1024 * 1024;
const illAfter = 400_000;

export function createReplica(w: World, o: ReplicaOptions): Replica {
  const rows = new Map<string, Row>();
  let disk = o.newDiskId;
  let state: ReplicaState = 'blank';
  let founders: string[] = [];
  let core: MembershipRecord = noMembership;
  let since = 0;
  let rewriting = false;
  let leaving = false;
  let entering: ReplicaState | undefined;
  const waiting: number[] = [];
  const votingUnder = new Map<string, number>();
  const blanks = new Map<number, { disk: string; address: string; at: number }>();
  const copies = new Map<number, { after: string; done: boolean; membershipEpoch: number }>();

  for (const r of o.found) {
    if (r.kind === 'disk') disk = r.key;
    if (r.kind === 'state') {
      state = r.key as ReplicaState;
      founders = [...r.changes];
    }
    if (r.kind === 'row')
      rows.set(r.key, { promised: r.promised, epoch: r.epoch, version: r.version, value: r.value, changes: r.changes });
  }
  if (o.found.length === 0) write(record('disk', disk, emptyRow), () => undefined);
  refreshMembership();
  if (state === 'voting') since = w.now();

  function slotNow(): number {
    return (
      o.slot ??
      core.replicas.find((p) => p.disk === disk)?.slot ??
      (core.membershipEpoch === 0 ? (o.foundingSlot ?? -1) : -1)
    );
  }

  function named(): boolean {
    return core.replicas.some((p) => p.disk === disk);
  }

  function record(kind: string, k: string, r: Row, changes: readonly string[] = r.changes): JournalRecord {
    return {
      kind,
      key: k,
      promised: r.promised,
      epoch: r.epoch,
      version: r.version,
      value: r.value,
      changes: [...changes],
    };
  }

  function write(r: JournalRecord, done: (ok: boolean) => void): void {
    if (state === 'failed') return done(false);
    waiting.push(w.now());
    o.disk.append(r, (e) => {
      waiting.shift();
      if (e !== undefined) {
        fail(e);
        return done(false);
      }
      done(true);
      rewriteIfLong();
    });
  }

  function fail(e: Error): void {
    if (state === 'failed') return;
    w.log(2005, { why: e.message });
    state = 'failed';
    o.entered?.(state);
  }

  function rewriteIfLong(): void {
    const live = [...rows.values()].reduce((n, r) => n + r.value.length + 256, 0);
    if (rewriting || state === 'failed' || o.disk.size() < Math.max(o.rewriteOver ?? 8 * 1024 * 1024, 3 * live)) return;
    rewriting = true;
    const all = [
      record('disk', disk, emptyRow),
      record('state', state, emptyRow, founders),
      ...[...rows].map(([k, r]) => record('row', k, r)),
    ];
    o.disk.rewrite(all, (e) => {
      rewriting = false;
      if (e !== undefined) fail(e);
      else w.log(2007, { bytes: o.disk.size() });
    });
  }

  function refreshMembership(): void {
    const r = rows.get(membershipKey);
    if (r === undefined || r.epoch <= core.membershipEpoch) return;
    core = decodeMembership(r.epoch, r.value);
    refreshFence();
  }

  function refreshFence(): void {
    if (state === 'voting' && !named()) enter('fenced');
  }

  function enter(s: ReplicaState): void {
    if (state === s || entering === s || state === 'failed') return;
    entering = s;
    write(record('state', s, emptyRow, founders), (ok) => {
      if (entering === s) entering = undefined;
      if (!ok) return;
      state = s;
      since = w.now();
      w.log(2001, { state: s, disk, membershipEpoch: core.membershipEpoch });
      o.entered?.(s);
      refreshFence();
    });
  }

  function keep(k: string, r: Row, done: (ok: boolean) => void): void {
    rows.set(k, r);
    if (k === membershipKey) refreshMembership();
    write(record('row', k, r), done);
  }

  function vote(m: MessageOf<'Prepare' | 'Accept' | 'Check'>, answer: (v: MessageOf<'Vote'>) => void): void {
    const r = rows.get(m.key) ?? emptyRow;
    const at = state;
    function say(ok: boolean, x: Row): void {
      answer({
        kind: 'Vote',
        id: m.id,
        slot: slotNow(),
        disk,
        membershipEpoch: core.membershipEpoch,
        voting: state === 'voting',
        ok: ok && state === 'voting',
        promised: x.promised,
        epoch: x.epoch,
        version: x.version,
        value: x.value,
        changes: [...x.changes],
      });
    }
    if (m.membershipEpoch < core.membershipEpoch || at === 'fenced' || at === 'failed') return say(false, r);
    if (m.kind === 'Check') return say(r.promised <= m.epoch, { ...r, value: Buffer.alloc(0), changes: [] });
    if (m.kind === 'Prepare') {
      if (at !== 'voting' || m.epoch < r.promised) return say(false, r);
      if (m.epoch === r.promised) return again(r, (ok) => say(ok, r));
      const x = { ...r, promised: m.epoch };
      return keep(m.key, x, (ok) => say(ok, x));
    }
    if (m.epoch < r.promised) return say(false, r);
    if (!newer(m, r)) {
      if (m.epoch !== r.epoch) return say(false, { ...r, value: Buffer.alloc(0), changes: [] });
      return again(r, (ok) => say(ok, { ...r, value: Buffer.alloc(0), changes: [] }));
    }
    const x: Row = { promised: m.epoch, epoch: m.epoch, version: m.version, value: m.value, changes: m.changes };
    keep(m.key, x, (ok) => say(ok, { ...x, value: Buffer.alloc(0), changes: [] }));
  }

  // A repeated vote may overtake the sync of the first; writing the row once more waits for both.
  function again(r: Row, done: (ok: boolean) => void): void {
    const k = [...rows].find(([, x]) => x === r)?.[0];
    if (k === undefined) return done(false);
    write(record('row', k, r), done);
  }

  // A slim one is for those who have the same core record.
  function hello(slim = false): MessageOf<'ReplicaHello'> {
    return {
      kind: 'ReplicaHello',
      from: o.self,
      slot: slotNow(),
      disk,
      state,
      founders: slim ? [] : [...founders],
      membershipEpoch: core.membershipEpoch,
      replicas: slim ? [] : [...core.replicas],
      leaving,
      ill: ill(),
    };
  }

  function ill(): boolean {
    return state === 'failed' || (waiting.length > 0 && w.now() - waiting[0]! > illAfter);
  }

  function superseded(): boolean {
    if (state !== 'fenced') return false;
    const fresh = core.replicas.filter((p) => w.now() - (votingUnder.get(p.disk) ?? -Infinity) < 2_000_000);
    return fresh.length >= majorityOf(core.replicas.length);
  }

  function found(ps: { slot: number; address: string; disk: string }[]): void {
    founders = ps.map((p) => p.disk);
    const r: Row = { promised: 1, epoch: 1, version: 1, value: encodeMembership(ps), changes: [] };
    keep(membershipKey, r, (ok) => {
      if (ok) enter('voting');
    });
  }

  function adoptMembership(c: MembershipRecord): void {
    const r = rows.get(membershipKey) ?? emptyRow;
    if (c.membershipEpoch <= r.epoch || c.membershipEpoch < r.promised) return;
    keep(
      membershipKey,
      {
        promised: c.membershipEpoch,
        epoch: c.membershipEpoch,
        version: r.version + 1,
        value: encodeMembership(c.replicas),
        changes: [],
      },
      () => undefined,
    );
  }

  function heard(m: MessageOf<'ReplicaHello'>): void {
    const slot = slotNow();
    const told = m.replicas.length > 0;
    if (m.state === 'voting' && m.membershipEpoch >= core.membershipEpoch) votingUnder.set(m.disk, w.now());
    if (slot >= 0 && m.slot === slot) {
      if (m.disk !== disk && m.membershipEpoch > core.membershipEpoch && state === 'voting' && told) adoptMembership(m);
      return;
    }
    if (m.state === 'blank' && m.slot >= 0) blanks.set(m.slot, { disk: m.disk, address: m.from, at: w.now() });
    else blanks.delete(m.slot);
    if (state === 'blank' && core.membershipEpoch === 0 && slot >= 0) {
      if (m.state === 'voting' && m.founders.includes(disk) && m.membershipEpoch === 1) return found(m.replicas);
      const fresh = [...blanks].filter(([, b]) => w.now() - b.at < 2_000_000);
      if ((o.founds ?? true) && fresh.length === o.core.length - 1) {
        return found(
          [
            { slot, address: o.self, disk },
            ...fresh.map(([n, b]) => ({ slot: n, address: b.address, disk: b.disk })),
          ].sort((x, y) => x.slot - y.slot),
        );
      }
    }
    if (m.membershipEpoch > core.membershipEpoch && told) adoptMembership(m);
  }

  // A place that is written into the core record but still blank copies from as many others as it needs.
  function copyTick(): void {
    if (
      state === 'blank' &&
      core.membershipEpoch === 0 &&
      o.founds === true &&
      o.core.length === 1 &&
      o.core[0] === o.self
    )
      return found([{ slot: 0, address: o.self, disk }]);
    if (state !== 'blank' || !named()) return;
    if (founders.length > 0) return enter('voting');
    for (const p of core.replicas.filter((x) => x.disk !== disk)) {
      const c = copies.get(p.slot);
      if (c !== undefined && c.done && c.membershipEpoch === core.membershipEpoch) continue;
      const after = c !== undefined && c.membershipEpoch === core.membershipEpoch ? c.after : '';
      copies.set(p.slot, { after, done: false, membershipEpoch: core.membershipEpoch });
      w.send(p.address as Address, { kind: 'CopyAsk', id: `${core.membershipEpoch}`, from: o.self, after, disk });
    }
  }

  function copyAsk(m: MessageOf<'CopyAsk'>): MessageOf<'CopyPage'> {
    const ok = state === 'voting' && core.replicas.some((p) => p.disk === m.disk) && `${core.membershipEpoch}` === m.id;
    const ks = ok ? [...rows.keys()].filter((k) => k > m.after).sort() : [];
    const records: Copied[] = [];
    let n = 0;
    for (const k of ks) {
      const r = rows.get(k)!;
      n += r.value.length + 64;
      records.push(toCopied(k, r));
      if (n > copyPageBytes) break;
    }
    return {
      kind: 'CopyPage',
      id: m.id,
      slot: slotNow(),
      disk,
      membershipEpoch: core.membershipEpoch,
      ok,
      records,
      last: records.length === ks.length,
    };
  }

  function copyPage(m: MessageOf<'CopyPage'>): void {
    const c = copies.get(m.slot);
    if (
      state !== 'blank' ||
      !m.ok ||
      c === undefined ||
      c.done ||
      `${c.membershipEpoch}` !== m.id ||
      c.membershipEpoch !== core.membershipEpoch
    )
      return;
    if (!core.replicas.some((p) => p.slot === m.slot && p.disk === m.disk)) return;
    if (m.records.length > 0 && m.records[0]!.key <= c.after) return;
    let left = m.records.length;
    const after = m.records.at(-1)?.key ?? c.after;
    function settle(): void {
      copies.set(m.slot, { after, done: m.last, membershipEpoch: c!.membershipEpoch });
      const whole = core.replicas.filter((p) => {
        const x = copies.get(p.slot);
        return p.disk !== disk && x?.done === true && x.membershipEpoch === core.membershipEpoch;
      });
      if (whole.length >= copiesNeeded(core.replicas.length)) enter('voting');
      else copyTick();
    }
    if (left === 0) return settle();
    for (const x of m.records) {
      const { key: k, ...r } = x;
      keep(k, merge(rows.get(k) ?? emptyRow, r), (ok) => {
        left -= 1;
        if (ok && left === 0) settle();
      });
    }
  }

  return {
    get slot() {
      return slotNow();
    },
    ill,
    leaving: () => leaving,
    leave: () => {
      leaving = true;
    },
    superseded,
    diskId: () => disk,
    state: () => state,
    membership: () => core,
    row: (k) => rows.get(k) ?? emptyRow,
    keys: () => [...rows.keys()],
    vote,
    keep,
    hello,
    heard,
    copyAsk,
    copyPage,
    copyTick,
    adoptMembership,
    votingSince: () => since,
  };
}
