/**
 * Virtual time for hollow members, many to a process: every message crosses the real codec and is counted by role and
 * kind, and the time spent in each member's events is put to its role. A zone or region can be cut off; what is
 * sent across a cut is lost, as a link that gets nothing through is dropped with what it held.
 */
import {
  decoderForSelf,
  encode,
  micros,
  seeded,
  type Address,
  type Message,
  type World,
} from '@tansypost/inner-protocol';
import { createEngine, type Engine } from './engine.js';

// What a message costs on the wire beside its encoding: four bytes of frame, and 52 of IPv4 and TCP with timestamps, as
// each is written by itself. Every half second a used link answers with seven bytes in such a packet.
export const overhead = 4 + 52;
export const replyBytes = 7 + 52;
const replyEvery = 500_000;

export interface RoleFigures {
  // A second and member, sent and received together.
  readonly messages: number;
  readonly bytes: number;
  readonly sent: number;
  // Of one core, without what sockets cost.
  readonly share: number;
  // Bytes a second and member of each kind, without the answers of links.
  readonly kinds: Readonly<Record<string, number>>;
}
export interface CapacityMember {
  readonly address: Address;
  readonly role: string;
  readonly zone: number;
  receive: (m: Message, from: Address) => void;
}
export interface CapacityGround {
  readonly e: Engine;
  readonly random: () => number;
  readonly add: (name: string, role: string, zone: number) => CapacityMember;
  readonly world: (m: CapacityMember, seen?: (event: number) => void) => World;
  readonly later: (m: CapacityMember, us: number, f: () => void) => void;
  readonly cut: (f: ((a: number, b: number) => boolean) | undefined) => void;
  readonly run: (us: number) => Promise<void>;
  readonly begin: () => void;
  readonly end: () => Readonly<Record<string, RoleFigures>>;
  readonly sentOf: (kind: string) => { readonly messages: number; readonly bytes: number };
}
export const zones = 9;
export function regionOf(zone: number): number {
  return Math.floor(zone / 3);
}

interface Tally {
  messages: number;
  bytes: number;
  sent: number;
  ns: number;
  readonly kinds: Map<string, number>;
}

export function createCapacityGround(seed: number): CapacityGround {
  const e = createEngine();
  const random = seeded(seed);
  const decode = decoderForSelf();
  const members = new Map<string, CapacityMember>();
  const tallies = new Map<string, Tally>();
  const kinds = new Map<string, { messages: number; bytes: number }>();
  const replied = new Map<string, number>();
  let cutting: ((a: number, b: number) => boolean) | undefined;
  let role = '';
  let since = process.hrtime.bigint();
  let cpu = process.cpuUsage();
  let begunAt = 0;

  function tally(r: string): Tally {
    let t = tallies.get(r);
    if (t === undefined) tallies.set(r, (t = { messages: 0, bytes: 0, sent: 0, ns: 0, kinds: new Map() }));
    return t;
  }
  // From here on time is spent for that role.
  function charge(r: string): void {
    const now = process.hrtime.bigint();
    tally(role).ns += Number(now - since);
    since = now;
    role = r;
  }
  function at(m: CapacityMember, us: number, f: () => void): void {
    e.at(e.now() + Math.max(0, us), () => {
      charge(m.role);
      f();
    });
  }
  function add(name: string, r: string, zone: number): CapacityMember {
    const m: CapacityMember = { address: `${name}:1` as Address, role: r, zone, receive: () => undefined };
    members.set(m.address, m);
    return m;
  }
  function latency(a: number, b: number): number {
    if (a === b) return 250 + 100 * random();
    return regionOf(a) === regionOf(b) ? 1400 + 300 * random() : 20_000 + 2000 * random();
  }
  function count(m: CapacityMember, kind: string, bytes: number, sent: boolean): void {
    const t = tally(m.role);
    t.messages += 1;
    t.bytes += bytes;
    if (sent) t.sent += bytes;
    t.kinds.set(kind, (t.kinds.get(kind) ?? 0) + bytes);
  }
  function reply(from: CapacityMember, to: CapacityMember): void {
    const link = `${from.address}>${to.address}`;
    if (e.now() - (replied.get(link) ?? -Infinity) < replyEvery) return;
    replied.set(link, e.now());
    for (const m of [from, to]) tally(m.role).bytes += replyBytes;
    tally(to.role).sent += replyBytes;
  }
  function send(from: CapacityMember, to: Address, m: Message): void {
    const there = members.get(to);
    const b = encode(m);
    const n = b.length + overhead;
    count(from, m.kind, n, true);
    const k = kinds.get(m.kind) ?? { messages: 0, bytes: 0 };
    kinds.set(m.kind, { messages: k.messages + 1, bytes: k.bytes + n });
    if (there === undefined || cutting?.(from.zone, there.zone) === true) return;
    at(there, latency(from.zone, there.zone), () => {
      if (cutting?.(from.zone, there.zone) === true) return;
      count(there, m.kind, n, false);
      reply(from, there);
      const d = decode(b);
      if (d._tag === 'Right' && d.right.known) there.receive(d.right.message, from.address);
    });
  }
  function world(m: CapacityMember, seen?: (event: number) => void): World {
    return {
      now: () => micros(e.now()),
      random,
      after: (us, f) => {
        let off = false;
        at(m, us, () => {
          if (!off) f();
        });
        return () => {
          off = true;
        };
      },
      send: (to, x) => {
        if (to === m.address) at(m, 0, () => m.receive(x, m.address));
        else send(m, to, x);
      },
      log: (n) => seen?.(n),
    };
  }
  function begin(): void {
    tallies.clear();
    kinds.clear();
    role = '';
    since = process.hrtime.bigint();
    cpu = process.cpuUsage();
    begunAt = e.now();
  }
  function end(): Record<string, RoleFigures> {
    charge('');
    const spent = process.cpuUsage(cpu);
    const all = [...tallies.values()].reduce((a, t) => a + t.ns, 0);
    const scale = (1000 * (spent.user + spent.system)) / all;
    const span = (e.now() - begunAt) / 1e6;
    const out: Record<string, RoleFigures> = {};
    for (const [r, t] of tallies) {
      const n = [...members.values()].filter((m) => m.role === r).length;
      if (n === 0) continue;
      const per = 1 / (n * span);
      out[r] = {
        messages: t.messages * per,
        bytes: t.bytes * per,
        sent: t.sent * per,
        share: (t.ns * scale * per) / 1e9,
        kinds: Object.fromEntries([...t.kinds].map(([k, b]) => [k, b * per])),
      };
    }
    return out;
  }
  return {
    e,
    random,
    add,
    world,
    later: at,
    cut: (f) => {
      cutting = f;
    },
    run: (us) => e.run(e.now() + us),
    begin,
    end,
    sentOf: (k) => kinds.get(k) ?? { messages: 0, bytes: 0 },
  };
}
