// The owner's side of one key: it takes the key over under a new epoch (a majority promises, the newest
// value found is rewritten under that epoch), then writes one change after the other, each
// synced on a majority before it is answered. A read asks a majority whether the epoch still
// holds, and mends the copies it finds old. An owner that loses a round lays the key down.
import { micros, type Address, type Message, type MessageOf, type World } from '@tansypost/inner-protocol';
import type { Replica } from './place.js';
import { changesKept, emptyRow, merge, nextEpoch, versionOfChange, type Row } from './row.js';
import type { AskVote, Rounds } from './rounds.js';

// `reused` is a change id that stands for another value in force.
export type WriteStatus = 'done' | 'lost' | 'reused' | 'unknown' | 'retry';
export interface WriteAnswer {
  readonly status: WriteStatus;
  readonly epoch: number;
  readonly version: number;
}
export interface Write {
  readonly change: string;
  readonly base: number;
  readonly value: Buffer;
  readonly done: (a: WriteAnswer) => void;
}

// A change worked out from the value in force. Those that wait together are written together.
export interface Mutation {
  readonly apply: (value: Buffer, epoch: number) => { readonly value: Buffer; readonly result: string };
  readonly done: (status: WriteStatus, result: string) => void;
}

export interface KeyLeader {
  readonly mutate: (m: Mutation) => void;
  readonly owns: () => boolean;
  readonly since: () => number;
  readonly row: () => Row;
  readonly take: () => void;
  readonly write: (w: Write) => void;
  readonly read: (done: (r: Row | undefined) => void) => void;
  readonly writing: () => boolean;
  readonly layDown: () => void;
}

export interface KeyLeaderOptions {
  readonly key: string;
  readonly replica: Replica;
  readonly rounds: Rounds;
  readonly committed: (r: Row) => void;
}

type Mode = 'none' | 'taking' | 'owned';

export function createKeyLeader(w: World, o: KeyLeaderOptions): KeyLeader {
  let mode: Mode = 'none';
  let row: Row = emptyRow;
  let seen = 0;
  let since = 0;
  let tries = 0;
  let busy = false;
  let checking = false;
  const writes: Write[] = [];
  let mutations: Mutation[] = [];
  let reads: ((r: Row | undefined) => void)[] = [];

  function layDown(): void {
    if (mode === 'owned') w.log(2003, { key: o.key, epoch: row.epoch });
    mode = 'none';
    const rs = reads;
    reads = [];
    for (const r of rs) r(undefined);
    const ws = writes.splice(0);
    for (const x of ws) x.done({ status: 'retry', epoch: 0, version: 0 });
    const ms = mutations;
    mutations = [];
    for (const m of ms) m.done('retry', '');
  }

  function take(): void {
    if (mode !== 'none' || o.replica.state() !== 'voting') return;
    mode = 'taking';
    const epoch = nextEpoch(Math.max(seen, o.replica.row(o.key).promised), o.replica.slot);
    const membershipEpoch = o.replica.membership().membershipEpoch;
    o.rounds.start({ make: (id) => ({ kind: 'Prepare', id, from: '', key: o.key, epoch, membershipEpoch }) }, (p) => {
      for (const v of p.votes) seen = Math.max(seen, v.promised);
      if (!p.won) return missed();
      const top = p.votes.filter((v) => v.ok).reduce<Row>((a, v) => merge(a, v), emptyRow);
      const x: Row = { ...top, promised: epoch, epoch };
      if (top.version === 0) return taken(x);
      o.rounds.start({ make: (id) => accept(id, x, membershipEpoch) }, (a) => {
        for (const v of a.votes) seen = Math.max(seen, v.promised);
        if (a.won) taken(x);
        else missed();
      });
    });
  }

  function accept(id: string, x: Row, membershipEpoch: number): AskVote {
    return {
      kind: 'Accept',
      id,
      from: '',
      key: o.key,
      epoch: x.epoch,
      membershipEpoch,
      version: x.version,
      value: x.value,
      changes: [...x.changes],
    };
  }

  function missed(): void {
    mode = 'none';
    tries += 1;
    if (tries < 4 && writes.length + reads.length + mutations.length > 0) {
      w.after(micros((20_000 + w.random() * 80_000) * tries), take);
    } else {
      tries = 0;
      layDown();
    }
  }

  function taken(x: Row): void {
    mode = 'owned';
    tries = 0;
    row = x;
    since = x.version === 0 ? -Infinity : w.now();
    w.log(2002, { key: o.key, epoch: x.epoch, version: x.version });
    o.committed(x);
    nextRead();
    nextWrite();
  }

  function write(x: Write): void {
    writes.push(x);
    if (mode === 'none') take();
    else nextWrite();
  }

  function nextWrite(): void {
    if (mode !== 'owned' || busy) return;
    const x = writes.shift();
    if (x === undefined) return nextMutations();
    const had = versionOfChange(row.changes, x.change);
    if (had !== undefined || x.base !== row.version) {
      busy = true;
      return check((ok) => {
        busy = false;
        if (!ok) x.done({ status: 'retry', epoch: 0, version: 0 });
        else if (had === row.version && !row.value.equals(x.value))
          x.done({ status: 'reused', epoch: row.epoch, version: had });
        else if (had !== undefined) x.done({ status: 'done', epoch: row.epoch, version: had });
        else x.done({ status: 'lost', epoch: row.epoch, version: row.version });
        nextWrite();
      });
    }
    const next: Row = {
      promised: row.epoch,
      epoch: row.epoch,
      version: row.version + 1,
      value: x.value,
      changes: [`${x.change}@${row.version + 1}`, ...row.changes].slice(0, changesKept),
    };
    busy = true;
    const membershipEpoch = o.replica.membership().membershipEpoch;
    o.rounds.start({ make: (id) => accept(id, next, membershipEpoch) }, (a) => {
      busy = false;
      for (const v of a.votes) seen = Math.max(seen, v.promised);
      if (a.won) {
        row = next;
        o.committed(row);
        x.done({ status: 'done', epoch: row.epoch, version: row.version });
        nextWrite();
      } else {
        layDown();
        x.done({ status: 'unknown', epoch: next.epoch, version: next.version });
      }
    });
  }

  function mutate(m: Mutation): void {
    mutations.push(m);
    if (mode === 'none') take();
    else nextWrite();
  }

  function nextMutations(): void {
    if (mutations.length === 0) return;
    const ms = mutations;
    mutations = [];
    let value = row.value;
    const results = ms.map((m) => {
      const a = m.apply(value, row.epoch);
      value = a.value;
      return a.result;
    });
    const next: Row = { ...row, promised: row.epoch, version: row.version + 1, value };
    busy = true;
    const membershipEpoch = o.replica.membership().membershipEpoch;
    o.rounds.start({ make: (id) => accept(id, next, membershipEpoch) }, (a) => {
      busy = false;
      for (const v of a.votes) seen = Math.max(seen, v.promised);
      if (a.won) row = next;
      else layDown();
      ms.forEach((m, i) => m.done(a.won ? 'done' : 'unknown', results[i]!));
      nextWrite();
    });
  }

  // Asks a majority whether this epoch still holds, and mends old copies on the way.
  function check(done: (ok: boolean) => void): void {
    const at = row;
    const membershipEpoch = o.replica.membership().membershipEpoch;
    function late(v: MessageOf<'Vote'>): void {
      seen = Math.max(seen, v.promised);
      if (at.version > 0 && mode === 'owned') mend(at, [v], membershipEpoch);
    }
    function make(id: string): AskVote {
      return { kind: 'Check', id, from: '', key: o.key, epoch: at.epoch, membershipEpoch };
    }
    o.rounds.start({ make, late }, (c) => {
      for (const v of c.votes) seen = Math.max(seen, v.promised);
      if (!c.won || mode !== 'owned') {
        if (mode === 'owned') layDown();
        return done(false);
      }
      if (at.version > 0) mend(at, c.votes, membershipEpoch);
      done(true);
    });
  }

  // A place that did not answer is mended once it does: what is held may be large.
  function mend(at: Row, vs: readonly MessageOf<'Vote'>[], membershipEpoch: number): void {
    if (busy || row !== at) return;
    for (const v of vs) {
      const p = o.replica.membership().replicas.find((x) => x.slot === v.slot);
      if (p === undefined || (v.epoch === at.epoch && v.version >= at.version)) continue;
      const m = accept(`mend/${o.key}`, at, membershipEpoch);
      if (p.slot === o.replica.slot) o.replica.vote(m, () => undefined);
      else w.send(p.address as Address, m as Message);
      w.log(2004, { key: o.key, slot: p.slot, version: at.version });
    }
  }

  function read(done: (r: Row | undefined) => void): void {
    reads.push(done);
    if (mode === 'none') take();
    else nextRead();
  }

  function nextRead(): void {
    if (mode !== 'owned' || checking || reads.length === 0) return;
    checking = true;
    const rs = reads;
    reads = [];
    check((ok) => {
      checking = false;
      for (const r of rs) r(ok ? row : undefined);
      nextRead();
    });
  }

  return {
    owns: () => mode === 'owned',
    since: () => since,
    row: () => row,
    take,
    write,
    read,
    mutate,
    writing: () => busy,
    layDown,
  };
}
