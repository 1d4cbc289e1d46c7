// One of the core's places: the rows on its disk, and the votes it gives. It answers a vote only
// after the disk has synced what the vote promises. A blank disk does not vote: all founders found
// the core together, or it copies from a majority of the others after they have written it into the core record
// (which fences the disk that held its place before). Which slot it has is stated, or else the record tells.
import type { Address, Copied, MessageOf, World } from '@tansypost/inner-protocol';
import { copiesNeeded, coreKey, decodeCore, encodeCore, majorityOf, noCore, type CoreRecord } from './core-record.js';
import type { Disk } from './disk.js';
import type { JournalRecord } from './journal.js';
import { emptyRow, merge, newer, toCopied, type Row } from './row.js';

export type PlaceState = 'blank' | 'voting' | 'fenced' | 'failed';

export interface PlaceOptions {
  // Undefined where the core record alone says which slot this disk has, if any.
  readonly slot: number | undefined;
  // Which slot it has when it founds a core together with the others of `core`, all blank like itself, and
  // whether it may begin that. Without a stated slot only a founder may say which slot it has before the record does.
  readonly foundingSlot?: number;
  readonly founds?: boolean;
  // Told whenever the state has changed.
  readonly entered?: (s: PlaceState) => void;
  readonly self: Address;
  readonly core: readonly Address[];
  readonly disk: Disk;
  readonly found: readonly JournalRecord[];
  readonly newDiskId: string;
  readonly rewriteOver?: number;
}

export interface Place {
  // -1 as long as it has none.
  readonly slot: number;
  // Whether its disk keeps what waits for it waiting.
  readonly ill: () => boolean;
  readonly leaving: () => boolean;
  readonly leave: () => void;
  // Fenced, and a majority of those in the record that fenced it votes under it: nobody needs this copy.
  readonly superseded: () => boolean;
  readonly diskId: () => string;
  readonly state: () => PlaceState;
  readonly core: () => CoreRecord;
  readonly row: (k: string) => Row;
  readonly keys: () => string[];
  readonly vote: (m: MessageOf<'Prepare' | 'Accept' | 'Check'>, answer: (v: MessageOf<'Vote'>) => void) => void;
  readonly keep: (k: string, r: Row, done: (ok: boolean) => void) => void;
  readonly hello: (slim?: boolean) => MessageOf<'PlaceHello'>;
  readonly heard: (m: MessageOf<'PlaceHello'>) => void;
  readonly copyAsk: (m: MessageOf<'CopyAsk'>) => MessageOf<'CopyPage'>;
  readonly copyPage: (m: MessageOf<'CopyPage'>) => void;
  readonly copyTick: () => void;
  readonly votingSince: () => number;
  readonly adoptCore: (c: CoreRecord) => void;
}

const copyPageBytes = 1024 * 1024;
const illAfter = 400_000;

export function createPlace(w: World, o: PlaceOptions): Place {
  const rows = new Map<string, Row>();
  let disk = o.newDiskId;
  let state: PlaceState = 'blank';
  let founders: string[] = [];
  let core: CoreRecord = noCore;
  let since = 0;
  let rewriting = false;
  let leaving = false;
  let entering: PlaceState | undefined;
  const waiting: number[] = [];
  const votingUnder = new Map<string, number>();
  const blanks = new Map<number, { disk: string; address: string; at: number }>();
  const copies = new Map<number, { after: string; done: boolean; gen: number }>();

  for (const r of o.found) {
    if (r.kind === 'disk') disk = r.key;
    if (r.kind === 'state') {
      state = r.key as PlaceState;
      founders = [...r.changes];
    }
    if (r.kind === 'row')
      rows.set(r.key, { promised: r.promised, epoch: r.epoch, version: r.version, value: r.value, changes: r.changes });
  }
  if (o.found.length === 0) write(record('disk', disk, emptyRow), () => undefined);
  refreshCore();
  if (state === 'voting') since = w.now();

  function slotNow(): number {
    return o.slot ?? core.places.find((p) => p.disk === disk)?.slot ?? (core.gen === 0 ? (o.foundingSlot ?? -1) : -1);
  }

  function named(): boolean {
    return core.places.some((p) => p.disk === disk);
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

  function refreshCore(): void {
    const r = rows.get(coreKey);
    if (r === undefined || r.epoch <= core.gen) return;
    core = decodeCore(r.epoch, r.value);
    refreshFence();
  }

  function refreshFence(): void {
    if (state === 'voting' && !named()) enter('fenced');
  }

  function enter(s: PlaceState): void {
    if (state === s || entering === s || state === 'failed') return;
    entering = s;
    write(record('state', s, emptyRow, founders), (ok) => {
      if (entering === s) entering = undefined;
      if (!ok) return;
      state = s;
      since = w.now();
      w.log(2001, { state: s, disk, gen: core.gen });
      o.entered?.(s);
      refreshFence();
    });
  }

  function keep(k: string, r: Row, done: (ok: boolean) => void): void {
    rows.set(k, r);
    if (k === coreKey) refreshCore();
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
        gen: core.gen,
        voting: state === 'voting',
        ok: ok && state === 'voting',
        promised: x.promised,
        epoch: x.epoch,
        version: x.version,
        value: x.value,
        changes: [...x.changes],
      });
    }
    if (m.gen < core.gen || at === 'fenced' || at === 'failed') return say(false, r);
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
  function hello(slim = false): MessageOf<'PlaceHello'> {
    return {
      kind: 'PlaceHello',
      from: o.self,
      slot: slotNow(),
      disk,
      state,
      founders: slim ? [] : [...founders],
      gen: core.gen,
      places: slim ? [] : [...core.places],
      leaving,
      ill: ill(),
    };
  }

  function ill(): boolean {
    return state === 'failed' || (waiting.length > 0 && w.now() - waiting[0]! > illAfter);
  }

  function superseded(): boolean {
    if (state !== 'fenced') return false;
    const fresh = core.places.filter((p) => w.now() - (votingUnder.get(p.disk) ?? -Infinity) < 2_000_000);
    return fresh.length >= majorityOf(core.places.length);
  }

  function found(ps: { slot: number; address: string; disk: string }[]): void {
    founders = ps.map((p) => p.disk);
    const r: Row = { promised: 1, epoch: 1, version: 1, value: encodeCore(ps), changes: [] };
    keep(coreKey, r, (ok) => {
      if (ok) enter('voting');
    });
  }

  function adoptCore(c: CoreRecord): void {
    const r = rows.get(coreKey) ?? emptyRow;
    if (c.gen <= r.epoch || c.gen < r.promised) return;
    keep(
      coreKey,
      { promised: c.gen, epoch: c.gen, version: r.version + 1, value: encodeCore(c.places), changes: [] },
      () => undefined,
    );
  }

  function heard(m: MessageOf<'PlaceHello'>): void {
    const slot = slotNow();
    const told = m.places.length > 0;
    if (m.state === 'voting' && m.gen >= core.gen) votingUnder.set(m.disk, w.now());
    if (slot >= 0 && m.slot === slot) {
      if (m.disk !== disk && m.gen > core.gen && state === 'voting' && told) adoptCore(m);
      return;
    }
    if (m.state === 'blank' && m.slot >= 0) blanks.set(m.slot, { disk: m.disk, address: m.from, at: w.now() });
    else blanks.delete(m.slot);
    if (state === 'blank' && core.gen === 0 && slot >= 0) {
      if (m.state === 'voting' && m.founders.includes(disk) && m.gen === 1) return found(m.places);
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
    if (m.gen > core.gen && told) adoptCore(m);
  }

  // A place that is written into the core record but still blank copies from as many others as it needs.
  function copyTick(): void {
    if (state === 'blank' && core.gen === 0 && o.founds === true && o.core.length === 1 && o.core[0] === o.self)
      return found([{ slot: 0, address: o.self, disk }]);
    if (state !== 'blank' || !named()) return;
    if (founders.length > 0) return enter('voting');
    for (const p of core.places.filter((x) => x.disk !== disk)) {
      const c = copies.get(p.slot);
      if (c !== undefined && c.done && c.gen === core.gen) continue;
      const after = c !== undefined && c.gen === core.gen ? c.after : '';
      copies.set(p.slot, { after, done: false, gen: core.gen });
      w.send(p.address as Address, { kind: 'CopyAsk', id: `${core.gen}`, from: o.self, after, disk });
    }
  }

  function copyAsk(m: MessageOf<'CopyAsk'>): MessageOf<'CopyPage'> {
    const ok = state === 'voting' && core.places.some((p) => p.disk === m.disk) && `${core.gen}` === m.id;
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
      gen: core.gen,
      ok,
      records,
      last: records.length === ks.length,
    };
  }

  function copyPage(m: MessageOf<'CopyPage'>): void {
    const c = copies.get(m.slot);
    if (state !== 'blank' || !m.ok || c === undefined || c.done || `${c.gen}` !== m.id || c.gen !== core.gen) return;
    if (!core.places.some((p) => p.slot === m.slot && p.disk === m.disk)) return;
    if (m.records.length > 0 && m.records[0]!.key <= c.after) return;
    let left = m.records.length;
    const after = m.records.at(-1)?.key ?? c.after;
    function settle(): void {
      copies.set(m.slot, { after, done: m.last, gen: c!.gen });
      const whole = core.places.filter((p) => {
        const x = copies.get(p.slot);
        return p.disk !== disk && x?.done === true && x.gen === core.gen;
      });
      if (whole.length >= copiesNeeded(core.places.length)) enter('voting');
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
    core: () => core,
    row: (k) => rows.get(k) ?? emptyRow,
    keys: () => [...rows.keys()],
    vote,
    keep,
    hello,
    heard,
    copyAsk,
    copyPage,
    copyTick,
    adoptCore,
    votingSince: () => since,
  };
}
