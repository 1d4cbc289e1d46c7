// What a member knows of the others: a partial view that is shuffled between neighbours, and a view of
// its own zone that takes in every member of it heard of. Each entry carries its member's own
// beat; an entry whose beat stops rising is forgotten by all. Views are kept on disk where there
// is one, so a restart needs no seed; the three seeds serve only the first meeting and a lonely member.
import {
  every,
  micros,
  type Address,
  type DutyMark,
  type Entry,
  type MessageOf,
  type ReplicaEntry,
  type World,
} from '@tansypost/inner-protocol';

export interface ViewsOptions {
  readonly member: string;
  readonly self: Address;
  readonly zone: string;
  readonly http: string;
  readonly born: number;
  readonly seeds: readonly Address[];
  readonly persisted: readonly Entry[];
  readonly size: number;
  readonly period: number;
  readonly forgetAfter: number;
  readonly tenured: () => boolean;
  readonly core: () => { membershipEpoch: number; replicas: readonly ReplicaEntry[] };
  readonly duties: () => DutyMark[];
  readonly heardCore: (membershipEpoch: number, ps: ReplicaEntry[]) => void;
  readonly heardDuty: (d: DutyMark) => void;
  readonly save: (es: readonly Entry[]) => void;
}

export interface Views {
  readonly receive: (m: MessageOf<'Shuffle'>) => void;
  readonly neighbours: () => Address[];
  readonly live: () => Entry[];
  readonly zone: () => Entry[];
  readonly contact: () => boolean;
  // How many members there are, itself among them, with those no longer heard of for a minute.
  readonly total: () => number;
  readonly stop: () => void;
}

interface Known {
  e: Entry;
  risen: number;
}

export function createViews(w: World, o: ViewsOptions): Views {
  const known = new Map<string, Known>();
  const old = new Set<string>(o.persisted.map((e) => e.address).filter((a) => a !== o.self));
  const gone = new Map<string, { at: number; e: Entry }>();
  let beat = 0;

  function me(): Entry {
    return { member: o.member, address: o.self, zone: o.zone, born: o.born, beat, http: o.http, tenured: o.tenured() };
  }

  function later(a: Entry, b: Entry): boolean {
    return a.born > b.born || (a.born === b.born && a.beat > b.beat);
  }

  function take(es: readonly Entry[]): void {
    for (const e of es) {
      if (e.member === o.member || e.member === '') continue;
      const k = known.get(e.member);
      // Others may not have forgotten it yet; what they tell of it is no sign of life unless its beat has risen since.
      const last = gone.get(e.member);
      if (k === undefined && last !== undefined && !later(e, last.e)) continue;
      if (k === undefined) w.log(3001, { member: e.member, address: e.address, zone: e.zone });
      if (k === undefined || later(e, k.e)) gone.delete(e.member);
      if (k === undefined || later(e, k.e)) known.set(e.member, { e, risen: w.now() });
    }
  }

  function forget(): void {
    for (const [m, k] of known) {
      if (w.now() - k.risen <= o.forgetAfter) continue;
      known.delete(m);
      gone.set(m, { at: w.now(), e: k.e });
      old.add(k.e.address);
      w.log(3002, { member: m });
    }
  }

  function draw<T>(xs: readonly T[], n: number): T[] {
    const ys = [...xs];
    for (let i = ys.length - 1; i > 0; i -= 1) {
      const j = Math.floor(w.random() * (i + 1));
      [ys[i], ys[j]] = [ys[j]!, ys[i]!];
    }
    return ys.slice(0, n);
  }

  function live(): Entry[] {
    return [...known.values()].map((k) => k.e);
  }

  function neighbours(): Address[] {
    return draw(live(), o.size).map((e) => e.address as Address);
  }

  function zone(): Entry[] {
    return [me(), ...live().filter((e) => e.zone === o.zone)];
  }

  // Whether at least half of the members heard of in the last minute are still heard of.
  function contact(): boolean {
    for (const [m, x] of gone) if (w.now() - x.at > 60_000_000) gone.delete(m);
    const fresh = [...known.values()].filter((k) => w.now() - k.risen < 1_500_000).length;
    return 2 * fresh >= known.size + gone.size && (fresh > 0 || known.size + gone.size === 0);
  }

  function shuffle(answer: boolean): MessageOf<'Shuffle'> {
    const c = o.core();
    return {
      kind: 'Shuffle',
      answer,
      from: o.self,
      entries: [me(), ...draw(live(), o.size)],
      membershipEpoch: c.membershipEpoch,
      replicas: [...c.replicas],
      duties: o.duties(),
    };
  }

  function tick(): void {
    beat += 1;
    forget();
    const to = new Set<Address>(draw(live(), 2).map((e) => e.address as Address));
    if (known.size < 3 || w.random() < 0.1) {
      const far = draw(
        [...o.seeds, ...old].filter((a) => a !== o.self),
        known.size === 0 ? 3 : 1,
      );
      for (const a of far) to.add(a as Address);
    }
    for (const a of to) w.send(a, shuffle(true));
    if (beat % 10 === 1) o.save(live());
  }

  function receive(m: MessageOf<'Shuffle'>): void {
    take(m.entries);
    if (m.membershipEpoch > 0) o.heardCore(m.membershipEpoch, m.replicas);
    for (const d of m.duties) o.heardDuty(d);
    if (m.answer) w.send(m.from as Address, shuffle(false));
  }

  w.after(micros(1000), tick);
  const stop = every(w, () => micros(o.period * (0.8 + 0.4 * w.random())), tick);
  return { receive, neighbours, live, zone, contact, total: () => 1 + known.size + gone.size, stop };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  it('takes a member that it forgot back only on a beat that has risen since, whatever others still tell of it', () => {
    let t = 0;
    const ticks: (() => void)[] = [];
    const views = createViews(
      {
        now: () => micros(t),
        random: () => 0.5,
        after: (_d, f) => {
          ticks.push(f);
          return () => undefined;
        },
        send: () => undefined,
        log: () => undefined,
      },
      {
        member: 'a',
        self: 'a:1' as Address,
        zone: 'z',
        http: 'a',
        born: 1,
        seeds: [],
        persisted: [],
        size: 8,
        period: 300_000,
        forgetAfter: 2_500_000,
        tenured: () => true,
        core: () => ({ membershipEpoch: 1, replicas: [] }),
        duties: () => [],
        heardCore: () => undefined,
        heardDuty: () => undefined,
        save: () => undefined,
      },
    );
    function tell(beats: Record<string, number>): void {
      const entries = Object.entries(beats).map(([member, beat]): Entry => ({
        member,
        address: `${member}:1`,
        zone: 'z',
        born: 1,
        beat,
        http: member,
        tenured: true,
      }));
      views.receive({
        kind: 'Shuffle',
        answer: false,
        from: 'b:1',
        entries,
        membershipEpoch: 0,
        replicas: [],
        duties: [],
      });
    }
    tell({ b: 1, c: 5, d: 5, e: 5 });
    expect(views.contact()).toBe(true);
    for (let n = 2; n < 12; n += 1) {
      t += 300_000;
      tell({ b: n, c: 5, d: 5, e: 5 });
      for (const f of ticks.splice(0)) f();
    }
    expect(views.live().map((e) => e.member)).toEqual(['b']);
    expect(views.contact()).toBe(false);
    expect(views.total()).toBe(5);
    tell({ c: 6 });
    expect(views.live().map((e) => e.member)).toEqual(['b', 'c']);
    expect(views.contact()).toBe(true);
  });
}
