// The core of the control-node: the place, the keys it owns, the news it pushes to home agents, and the
// feed tenures it grants. A change of the desired state is acknowledged only when, beyond the majority,
// every router whose tenure may be live has applied it. Whoever is granted a tenure stands in a register, a key
// beside the desired state's, before the first grant; so a new owner knows whom its predecessor may have
// granted one, and waits for each of these to apply the change, or for one whole tenure after its takeover.
import {
  every,
  key as toKey,
  micros,
  rendezvous,
  type Address,
  type Message,
  type MessageOf,
  type NewsItem,
  type World,
} from '@tansypost/inner-protocol';
import { applyClaim, type ClaimOp } from './claims.js';
import { addTo, membershipKey, encodeMembership, replaceIn, type MembershipRecord } from './core-record.js';
import { createKeyLeader, type KeyLeader, type WriteAnswer } from './owner.js';
import { createReplica, type Replica, type ReplicaOptions, type ReplicaState } from './place.js';
import { createRounds } from './rounds.js';
import { merge, emptyRow, newer, nextEpoch, versionOfChange, type Row } from './row.js';

export interface ControlNodeOptions extends ReplicaOptions {
  readonly tenure: number;
  readonly seeds: readonly Address[];
  readonly sweepEvery?: number;
  // After what silence a place may be given to a machine that asks for one.
  readonly missingAfter?: number;
  readonly note?: (what: 'committed' | 'acknowledged', key: string, version: number) => void;
}

export interface ControlNode {
  readonly receive: (m: Message, from: Address) => void;
  readonly replica: Replica;
  // Takes in that somebody follows a key from now on, sends what is newer than what it has, and gives what is in force.
  readonly follow: (key: string, version: number, membershipEpoch: number, from: Address) => Following;
  // Where this place stands among the live ones (0 is the first), and how many there are.
  readonly rank: () => number;
  readonly liveReplicas: () => readonly Address[];
  readonly owned: () => { key: string; epoch: number; version: number }[];
  // Says that this place is about to stop, so that its keys and, if a machine asks for one, its place go to others.
  readonly leave: () => void;
  readonly stop: () => void;
}
interface Heard {
  readonly at: number;
  readonly voting: boolean;
  readonly fit: boolean;
  readonly leaving: boolean;
  readonly membershipEpoch: number;
  // Since when it has had an older core record than this place.
  readonly behind: number;
}
type MembershipChange =
  | { readonly kind: 'finish' }
  | { readonly kind: 'add'; readonly address: string; readonly disk: string }
  | { readonly kind: 'replace'; readonly slot: number; readonly address: string; readonly disk: string };

export interface Following {
  readonly version: number;
  readonly membershipEpoch: number;
  readonly voting: boolean;
  /** Whether this node may hand the key out as current; if not, there may be newer. */
  readonly leased: boolean;
}

interface Holding {
  expires: number;
  applied: number;
}

export function isTenured(k: string): boolean {
  return k.startsWith('desired/');
}
// Kept for the core's own use, never pushed as news.
function isPrivate(k: string): boolean {
  return k.startsWith('claim/') || k.startsWith('tenures/');
}

export function createControlNode(w: World, o: ControlNodeOptions): ControlNode {
  const replica = createReplica(w, { ...o, entered });
  const rounds = createRounds(
    { ...w, send: (to, m) => w.send(to, 'from' in m && m.from === '' ? ({ ...m, from: o.self } as Message) : m) },
    replica,
  );
  const owners = new Map<string, KeyLeader>();
  const heardAt = new Map<number, Heard>();
  const disks = new Map<number, string>();
  const joiners = new Map<string, { since: number; at: number; first: boolean }>();
  const subscribers = new Map<Address, number>();
  const tenures = new Map<string, Map<string, Holding>>();
  // What other owners have told to be on a majority.
  const committed = new Map<string, { epoch: number; version: number }>();
  const registers = new Map<string, { routers: Set<string>; asked: number }>();
  const acks = new Map<string, { version: number; go: () => void }[]>();
  let changing = false;
  let coreSeen = 0;
  let swept = 0;
  let arming = false;
  let greetedAt = w.now();
  // Since when it has been hearing what there was to hear: a silence of its own counts against nobody.
  let hearingSince = w.now();

  function owner(k: string): KeyLeader {
    let x = owners.get(k);
    if (x === undefined) {
      x = createKeyLeader(w, {
        key: k,
        replica,
        rounds,
        committed: (r) => {
          o.note?.('committed', k, r.version);
          push(k, r);
          announceCommit(k, r);
        },
      });
      owners.set(k, x);
    }
    return x;
  }

  function live(): MembershipRecord['replicas'] {
    return replica.membership().replicas.filter((p) => {
      if (p.slot === replica.slot) return replica.state() === 'voting';
      const h = heardAt.get(p.slot);
      return h !== undefined && h.voting && w.now() - h.at < 1_000_000;
    });
  }

  // Of the live places those that neither leave nor wait for their disks, if there are any.
  function fit(): MembershipRecord['replicas'] {
    const ps = live();
    const fs = ps.filter((p) =>
      p.slot === replica.slot ? !replica.ill() && !replica.leaving() : heardAt.get(p.slot)?.fit === true,
    );
    return fs.length > 0 ? fs : ps;
  }

  function preferred(k: string): number {
    const ps = rendezvous(k.replace(/^tenures\//, ''), fit(), (p) => `${p.slot}`);
    return ps[0]?.slot ?? replica.slot;
  }

  function item(k: string, r: Row): NewsItem {
    return { key: k, epoch: r.epoch, version: r.version, value: r.value };
  }

  function sayNews(to: Address, news: NewsItem[]): void {
    w.send(to, {
      kind: 'News',
      news,
      membershipEpoch: replica.membership().membershipEpoch,
      replicas: [...replica.membership().replicas],
    });
  }

  function push(k: string, r: Row): void {
    if (r.version === 0 || isPrivate(k)) return;
    for (const [a, until] of subscribers) {
      if (until < w.now()) subscribers.delete(a);
      else sayNews(a, [item(k, r)]);
    }
  }

  function announceCommit(k: string, r: Row): void {
    if (r.version === 0 || isPrivate(k) || isTenured(k)) return;
    for (const p of replica.membership().replicas)
      if (p.slot !== replica.slot)
        w.send(p.address as Address, { kind: 'Committed', key: k, epoch: r.epoch, version: r.version });
  }

  // The newest row of a key that this place knows to be on a majority. An owner that has lost its key may not know.
  function inForce(k: string): Row {
    const x = owners.get(k);
    const own = x?.owns() === true ? x.row() : emptyRow;
    const c = committed.get(k);
    const r = replica.row(k);
    return c !== undefined && r.epoch === c.epoch && r.version === c.version && newer(r, own) ? r : own;
  }

  function follow(k: string, version: number, membershipEpoch: number, from: Address): Following {
    subscribers.set(from, w.now() + 3_000_000);
    const core = replica.membership();
    const voting = replica.state() === 'voting';
    const x = owner(k);
    const settled = live().length > 1 || w.now() - hearingSince > 500_000;
    if (voting && settled && !x.owns() && preferred(k) === replica.slot) x.take();
    const r = inForce(k);
    if (r.version > version) sayNews(from, [item(k, r)]);
    else if (core.membershipEpoch > membershipEpoch) sayNews(from, []);
    return { version: r.version, membershipEpoch: core.membershipEpoch, voting, leased: voting };
  }

  function rank(): number {
    const ps = live();
    const i = ps.findIndex((p) => p.slot === replica.slot);
    return i < 0 ? ps.length : i;
  }

  function onAsk(m: MessageOf<'Ask'>): void {
    function answer(status: string, r?: Pick<Row, 'epoch' | 'version' | 'value'>): void {
      w.send(m.origin as Address, {
        kind: 'Answer',
        id: m.id,
        key: m.key,
        status,
        epoch: r?.epoch ?? 0,
        version: r?.version ?? 0,
        value: r?.value ?? Buffer.alloc(0),
      });
    }
    if (replica.state() !== 'voting') return answer('retry');
    const p = preferred(m.key);
    if (p !== replica.slot && m.hops < 2) {
      const to = replica.membership().replicas.find((x) => x.slot === p)!;
      return w.send(to.address as Address, { ...m, hops: m.hops + 1 });
    }
    const x = owner(m.key);
    if (m.op === 'write') {
      return x.write({
        change: m.change,
        base: m.base,
        value: m.value,
        done: (a) => settle(m, a, (s) => answer(s, { epoch: a.epoch, version: a.version, value: Buffer.alloc(0) })),
      });
    }
    if (m.op === 'claim') {
      const c = JSON.parse(m.value.toString()) as ClaimOp;
      return x.mutate({
        apply: (value, epoch) => applyClaim(value, epoch, w.now(), c),
        done: (status, result) => answer(status, { epoch: 0, version: 0, value: Buffer.from(result) }),
      });
    }
    x.read((r) => {
      if (r === undefined) return answer('retry');
      if (m.op === 'read') return answer('value', r);
      const v = versionOfChange(r.changes, m.change);
      const found = { epoch: r.epoch, version: v ?? r.version, value: Buffer.alloc(0) };
      if (v === undefined) return answer('none', found);
      // A look-up acknowledges as much as the answer it stands for, so it waits for the same.
      if (isTenured(m.key)) whenGoverns(m.key, v, () => answer('done', found));
      else answer('done', found);
    });
  }

  function settle(m: MessageOf<'Ask'>, a: WriteAnswer, say: (s: string) => void): void {
    if (a.status === 'lost') w.log(2102, { key: m.key, change: m.change });
    if (a.status === 'unknown') w.log(2103, { key: m.key, change: m.change });
    if (a.status !== 'done' || !isTenured(m.key)) return say(a.status);
    function go(): void {
      o.note?.('acknowledged', m.key, a.version);
      w.log(2101, { key: m.key, change: m.change, version: a.version });
      say('done');
    }
    whenGoverns(m.key, a.version, go);
  }

  function whenGoverns(k: string, version: number, go: () => void): void {
    acks.set(k, [...(acks.get(k) ?? []), { version, go }]);
    tryAcks(k);
    arm();
  }

  function arm(): void {
    if (arming || acks.size === 0) return;
    arming = true;
    w.after(micros(100_000), () => {
      arming = false;
      for (const k of [...acks.keys()]) tryAcks(k);
      arm();
    });
  }

  // Lets go of each acknowledgement whose version every live tenure has applied.
  function tryAcks(k: string): void {
    const list = acks.get(k);
    if (list === undefined) return;
    const x = owner(k);
    const now = w.now();
    const unknownUntil = x.since() + o.tenure + 100_000;
    const t = tenures.get(k) ?? new Map<string, Holding>();
    const g = registers.get(k);
    function free(version: number): boolean {
      if (!x.owns() || ![...t.values()].every((h) => h.expires <= now || h.applied >= version)) return false;
      if (now >= unknownUntil) return true;
      return (
        g !== undefined && g.asked >= x.since() && [...g.routers].every((r) => (t.get(r)?.applied ?? -1) >= version)
      );
    }
    const left = list.filter((a) => {
      if (!free(a.version)) return true;
      a.go();
      return false;
    });
    if (left.length > 0) acks.set(k, left);
    else acks.delete(k);
  }

  function onSubscribe(m: MessageOf<'Subscribe'>): void {
    const from = m.from as Address;
    if (replica.state() !== 'voting') return;
    subscribers.set(from, w.now() + 3_000_000);
    const out: NewsItem[] = [];
    for (const h of m.have) {
      const x = owner(h.key);
      if (!x.owns() && preferred(h.key) === replica.slot) x.take();
      const r = x.row();
      if (x.owns() && r.version > h.version) out.push(item(h.key, r));
      if (isTenured(h.key) && x.owns() && m.tenures.length > 0) grant(h.key, x, m);
    }
    const named = new Set(m.have.map((h) => h.key));
    for (const [k, x] of owners)
      if (!named.has(k) && x.owns() && x.row().version > 0 && !isPrivate(k)) out.push(item(k, x.row()));
    if (out.length > 0 || m.have.length === 0) sayNews(from, out);
    else
      w.send(from, {
        kind: 'News',
        news: [],
        membershipEpoch: replica.membership().membershipEpoch,
        replicas: [...replica.membership().replicas],
      });
  }

  // A tenure is granted only for the version in force, and only after a majority has said,
  // in a round begun after the asking, that this owner's epoch still holds.
  function grant(k: string, x: KeyLeader, m: MessageOf<'Subscribe'>): void {
    x.read((r) => {
      if (r === undefined) return;
      const t = tenures.get(k) ?? new Map<string, Holding>();
      tenures.set(k, t);
      const g = registers.get(k);
      const known = g !== undefined && g.asked >= x.since();
      const strangers: string[] = [];
      const grants: { router: string; asked: number; version: number }[] = [];
      for (const a of m.tenures) {
        const h = t.get(a.router) ?? { expires: 0, applied: 0 };
        h.applied = Math.max(h.applied, a.applied);
        t.set(a.router, h);
        if (a.applied !== r.version) continue;
        if (!known || !g.routers.has(a.router)) {
          strangers.push(a.router);
          continue;
        }
        h.expires = w.now() + o.tenure;
        grants.push({ router: a.router, asked: a.asked, version: r.version });
      }
      if (!known || strangers.length > 0) enrol(k, x, strangers, m);
      if (grants.length > 0) w.send(m.from as Address, { kind: 'Leases', grants });
      tryAcks(k);
    });
  }

  // Brings the register up to date, then grants what waited for it. Routers that cannot hold a tenure any more are
  // dropped on the way.
  function enrol(k: string, x: KeyLeader, strangers: readonly string[], m?: MessageOf<'Subscribe'>): void {
    const asked = w.now();
    const t = tenures.get(k)!;
    let after: string[] = [];
    owner(`tenures/${k}`).mutate({
      apply: (value) => {
        const had = value.length === 0 ? [] : (JSON.parse(value.toString()) as string[]);
        const may = asked < x.since() + o.tenure + 100_000 ? had : had.filter((r) => (t.get(r)?.expires ?? 0) > asked);
        after = [...new Set([...may, ...strangers])];
        // Whoever is dropped must not be granted anything while the write is under way.
        for (const r of had) if (!after.includes(r)) registers.get(k)?.routers.delete(r);
        return { value: Buffer.from(JSON.stringify(after)), result: '' };
      },
      done: (status) => {
        if (status !== 'done') return;
        registers.set(k, { routers: new Set(after), asked });
        if (m !== undefined && x.owns() && asked >= x.since()) grant(k, x, m);
      },
    });
  }

  // Takes out of the register who can hold no tenure any more, so that the next owner need not wait for the dead.
  function prune(): void {
    const now = w.now();
    for (const [k, g] of registers) {
      const x = owners.get(k);
      if (x === undefined || !x.owns() || g.asked < x.since() || now < x.since() + o.tenure + 100_000) continue;
      const t = tenures.get(k);
      if ([...g.routers].some((r) => (t?.get(r)?.expires ?? 0) <= now)) enrol(k, x, []);
    }
  }

  // A disk new in the record has the same while to be heard as any other.
  function noticeDisks(): void {
    for (const p of replica.membership().replicas) {
      const had = disks.get(p.slot);
      disks.set(p.slot, p.disk);
      if (had !== undefined && had !== p.disk)
        heardAt.set(p.slot, {
          at: w.now(),
          voting: false,
          fit: false,
          leaving: false,
          membershipEpoch: 0,
          behind: Infinity,
        });
    }
  }

  function onHello(m: MessageOf<'ReplicaHello'>): void {
    if (o.slot === undefined) noticeDisks();
    const p = replica.membership().replicas.find((x) => x.slot === m.slot);
    const other = p !== undefined && p.disk !== m.disk;
    const known = heardAt.get(m.slot);
    if (m.slot !== replica.slot && m.slot >= 0 && (!other || o.slot !== undefined)) {
      const voting = m.state === 'voting';
      const behind =
        m.membershipEpoch >= replica.membership().membershipEpoch
          ? Infinity
          : Math.min(known?.behind ?? Infinity, w.now());
      heardAt.set(m.slot, {
        at: w.now(),
        voting,
        fit: !m.ill && !m.leaving,
        leaving: m.leaving,
        membershipEpoch: m.membershipEpoch,
        behind,
      });
      if (known?.voting !== true && voting) w.send(m.from as Address, replica.hello());
    }
    const membershipEpoch = replica.membership().membershipEpoch;
    // Told slimly of a core record that it has not, as who tells it knew the disk before it was lost.
    if (m.membershipEpoch > membershipEpoch && m.replicas.length === 0) w.send(m.from as Address, replica.hello());
    replica.heard(m);
    if (replica.state() === 'blank' && replica.membership().membershipEpoch > membershipEpoch) replica.copyTick();
    if (replica.state() !== 'voting' || m.slot === replica.slot) return;
    const lags =
      m.state === 'voting' &&
      m.membershipEpoch > 0 &&
      m.membershipEpoch < replica.membership().membershipEpoch &&
      !other;
    if (lags && (o.slot !== undefined || w.now() - (heardAt.get(m.slot)?.behind ?? Infinity) > 600_000))
      changeMembership({ kind: 'finish' });
    if (o.slot === undefined && (other || p === undefined)) {
      if (m.membershipEpoch < replica.membership().membershipEpoch || m.state === 'fenced')
        w.send(m.from as Address, replica.hello());
      return;
    }
    if (m.state !== 'blank' || p === undefined) return;
    if (p.disk === m.disk) w.send(m.from as Address, replica.hello());
    else if (o.slot !== undefined && !replica.hello().founders.includes(m.disk)) replace(m.slot, m.from, m.disk);
  }

  function replace(slot: number, address: string, disk: string): void {
    changeMembership({ kind: 'replace', slot, address, disk });
  }

  // A machine asks for a place. It gets that of its own address, whose disk is gone with it; else one whose holder
  // is leaving or has been silent; else, where the core was founded by fewer machines than there were, places are
  // added, two for two that ask, as an even number of them bears no more losses. One of the live places sees to it, or whoever
  // is asked for long.
  function onJoin(m: MessageOf<'Join'>): void {
    if (replica.state() !== 'voting' || o.slot !== undefined) return;
    if (w.now() - greetedAt > 900_000) hearingSince = w.now();
    noticeDisks();
    const ps = replica.membership().replicas;
    w.send(m.from as Address, replica.hello());
    const had = joiners.get(m.from);
    const since = had === undefined || w.now() - had.at > 1_500_000 ? w.now() : had.since;
    joiners.set(m.from, { since, at: w.now(), first: m.first });
    const mayAct = preferred(membershipKey) === replica.slot || w.now() - since > 1_500_000;
    if (changing || ps.some((p) => p.disk === m.disk) || !mayAct) return;
    const mine = ps.find((p) => p.address === m.from);
    const gone = mine ?? ps.find((p) => p.slot !== replica.slot && (isLeaving(p.slot) || isMissing(p.slot)));
    if (gone !== undefined) return replace(gone.slot, m.from, m.disk);
    const asking = [...joiners].filter(
      ([a, j]) => j.first && w.now() - j.at < 1_000_000 && !ps.some((p) => p.address === a),
    );
    const enough = ps.length % 2 === 0 ? ps.length < 9 : asking.length > 1 && ps.length < 8;
    if (m.first && enough && live().length === ps.length)
      changeMembership({ kind: 'add', address: m.from, disk: m.disk });
  }

  function isLeaving(slot: number): boolean {
    return heardAt.get(slot)?.leaving === true;
  }

  function isMissing(slot: number): boolean {
    return w.now() - Math.max(heardAt.get(slot)?.at ?? 0, hearingSince) > (o.missingAfter ?? 1_200_000);
  }

  // Writes a new disk into the core record: a majority of places must agree, whatever the one replaced says. To
  // finish is to write what is there again: a record that one place took and the others did not is written again
  // under a higher epoch, else they would fence each other for good.
  function changeMembership(c: MembershipChange): void {
    if (changing) return;
    changing = true;
    const membershipEpoch = replica.membership().membershipEpoch;
    const epoch = nextEpoch(Math.max(replica.row(membershipKey).promised, coreSeen), replica.slot);
    const without = c.kind === 'replace' ? c.slot : undefined;
    function over(): void {
      w.after(micros(200_000 + w.random() * 400_000), () => {
        changing = false;
      });
    }
    rounds.start(
      { without, make: (id) => ({ kind: 'Prepare', id, from: '', key: membershipKey, epoch, membershipEpoch }) },
      (p) => {
        for (const v of p.votes) coreSeen = Math.max(coreSeen, v.promised);
        if (!p.won) return over();
        const top = p.votes.filter((v) => v.ok).reduce<Row>((a, v) => merge(a, v), emptyRow);
        if (top.epoch < membershipEpoch || (c.kind !== 'finish' && top.epoch !== membershipEpoch)) return over();
        const value =
          c.kind === 'finish'
            ? top.value
            : encodeMembership(
                c.kind === 'add'
                  ? addTo(replica.membership(), c.address, c.disk)
                  : replaceIn(replica.membership(), { slot: c.slot, address: c.address, disk: c.disk }),
              );
        rounds.start(
          {
            without,
            make: (id) => ({
              kind: 'Accept',
              id,
              from: '',
              key: membershipKey,
              epoch,
              membershipEpoch,
              version: top.version + 1,
              value,
              changes: [],
            }),
          },
          () => {
            w.log(2006, { ...c, membershipEpoch: replica.membership().membershipEpoch });
            over();
            greet();
            if (c.kind !== 'finish') w.send(c.address as Address, replica.hello());
          },
        );
      },
    );
  }

  // Places known to have the same core record are told no more than that this one is there.
  function greet(): void {
    if (w.now() - greetedAt > 900_000) hearingSince = w.now();
    greetedAt = w.now();
    const core = replica.membership();
    const same = new Set(
      core.replicas.filter((p) => heardAt.get(p.slot)?.membershipEpoch === core.membershipEpoch).map((p) => p.address),
    );
    const founding = o.slot !== undefined || core.membershipEpoch === 0 ? o.core : [];
    const to = new Set<string>([...founding, ...core.replicas.map((p) => p.address)]);
    to.delete(o.self);
    const whole = replica.hello();
    const slim = replica.hello(true);
    if (replica.slot >= 0 || replica.state() === 'fenced') {
      for (const a of to) w.send(a as Address, core.membershipEpoch > 0 && same.has(a) ? slim : whole);
    }
    if (
      o.slot === undefined &&
      replica.state() === 'blank' &&
      !core.replicas.some((p) => p.disk === replica.diskId())
    ) {
      const asked = new Set<string>([...o.core, ...core.replicas.map((p) => p.address)]);
      asked.delete(o.self);
      for (const a of asked)
        w.send(a as Address, { kind: 'Join', from: o.self, disk: replica.diskId(), first: o.founds === true });
    }
    replica.copyTick();
  }

  function entered(s: ReplicaState): void {
    o.entered?.(s);
    if (s !== 'fenced') w.after(micros(0), greet);
  }

  function announce(): void {
    if (replica.membership().membershipEpoch > 0) for (const a of o.seeds) sayNews(a, []);
  }

  // The sweep: one key after the other that this place should own is read, which mends it, and the others hear of it.
  function sweep(): void {
    const ks = replica
      .keys()
      .filter((k) => k !== membershipKey && !k.startsWith('~') && preferred(k) === replica.slot)
      .sort();
    if (replica.state() !== 'voting' || ks.length === 0) return;
    swept += 1;
    const k = ks[swept % ks.length]!;
    owner(k).read((r) => {
      if (r !== undefined) announceCommit(k, r);
    });
  }

  function receive(m: Message): void {
    switch (m.kind) {
      case 'Ask':
        return onAsk(m);
      case 'Prepare':
      case 'Accept':
      case 'Check':
        return replica.vote(m, (v) => w.send(m.from as Address, v));
      case 'Vote':
        return rounds.vote(m);
      case 'ReplicaHello':
        return onHello(m);
      case 'Join':
        return onJoin(m);
      case 'CopyAsk':
        return w.send(m.from as Address, replica.copyAsk(m));
      case 'CopyPage':
        return replica.copyPage(m);
      case 'Subscribe':
        return onSubscribe(m);
      case 'Committed': {
        const had = committed.get(m.key);
        if (had === undefined || newer(m, had)) committed.set(m.key, { epoch: m.epoch, version: m.version });
        return undefined;
      }
      default:
        return undefined;
    }
  }

  greet();
  const stops = [
    every(w, () => micros(300_000), greet),
    every(w, () => micros(1_000_000), announce),
    every(w, () => micros(1_000_000), prune),
    every(w, () => micros(o.sweepEvery ?? 500_000), sweep),
  ];
  return {
    receive,
    replica,
    follow,
    rank,
    liveReplicas: () => live().map((p) => p.address as Address),
    owned: () =>
      [...owners]
        .filter(([, x]) => x.owns())
        .map(([k, x]) => ({ key: toKey(k), epoch: x.row().epoch, version: x.row().version })),
    leave: () => {
      replica.leave();
      greet();
    },
    stop: () => stops.forEach((s) => s()),
  };
}
