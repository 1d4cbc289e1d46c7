/**
 * How news reaches the routers. In each zone one agent is the home of the service: it subscribes at the core
 * places, and the zone's other agents subscribe with it. Subscriptions carry the routers' askings
 * for their feed tenure one way; news and grants come back the other. What is held here only moves up.
 */
import {
  every,
  micros,
  rendezvous,
  type Address,
  type MemberEntry,
  type MessageOf,
  type KeyUpdate,
  type ReplicaEntry,
  type World,
} from '@tansypost/inner-protocol';

export interface KeyUpdateRelayOptions {
  readonly self: Address;
  readonly member: string;
  readonly service: string;
  readonly zoneMembers: () => MemberEntry[];
  readonly replicas: () => readonly ReplicaEntry[];
  readonly onControlMembership: (membershipEpoch: number, ps: ReplicaEntry[]) => void;
  readonly onUpdate: (n: KeyUpdate) => void;
  readonly onLeaseGrant: (g: { asked: number; version: number }, router: string) => void;
}
export interface KeyUpdateRelay {
  readonly isZoneLeader: () => boolean;
  readonly zoneLeader: () => Address;
  readonly subscribers: () => Address[];
  readonly get: (k: string) => KeyUpdate | undefined;
  readonly all: () => KeyUpdate[];
  readonly receiveUpdates: (m: MessageOf<'News'>) => void;
  readonly receiveSubscription: (m: MessageOf<'Subscribe'>) => void;
  readonly receiveLeases: (m: MessageOf<'Leases'>) => void;
  readonly requestRouterLease: (router: string, asked: number, applied: number) => void;
  readonly mergeUpdate: (n: KeyUpdate) => void;
  readonly stop: () => void;
}
interface Subscriber {
  expiresAt: number;
  leaseRequests: MessageOf<'Subscribe'>['tenures'];
}

export function createKeyUpdateRelay(w: World, o: KeyUpdateRelayOptions): KeyUpdateRelay {
  const held = new Map<string, KeyUpdate>();
  const subs = new Map<Address, Subscriber>();
  let own: { router: string; asked: number; applied: number } | undefined;
  let ownAt = -Infinity;
  let lastHome: Address | undefined;
  let soon = false;
  const always = [`desired/${o.service}`, `rehearsal/${o.service}`];

  function home(): Address {
    const e = rendezvous(o.service, o.zoneMembers(), (x) => x.member)[0]!;
    const a = e.address as Address;
    if (a !== lastHome) w.log(3004, { home: e.member });
    lastHome = a;
    return a;
  }
  function isHome(): boolean {
    return home() === o.self;
  }
  function live(): [Address, Subscriber][] {
    for (const [a, s] of subs) if (s.expiresAt < w.now()) subs.delete(a);
    return [...subs];
  }
  function have(): { key: string; epoch: number; version: number }[] {
    const ks = new Set([...always, ...held.keys()]);
    return [...ks].map((k) => ({ key: k, epoch: held.get(k)?.epoch ?? 0, version: held.get(k)?.version ?? 0 }));
  }

  function subscribe(): void {
    const mine = own !== undefined && w.now() - ownAt < 2_000_000 ? [own] : [];
    const h = home();
    if (h !== o.self) {
      w.send(h, { kind: 'Subscribe', from: o.self, have: have(), tenures: mine, relay: false });
      return;
    }
    const all = new Map(mine.map((t) => [t.router, t]));
    for (const [, s] of live())
      for (const t of s.leaseRequests) if ((all.get(t.router)?.asked ?? -1) < t.asked) all.set(t.router, t);
    for (const p of o.replicas()) {
      w.send(p.address as Address, {
        kind: 'Subscribe',
        from: o.self,
        have: have(),
        tenures: [...all.values()],
        relay: true,
      });
    }
  }

  function hurry(): void {
    if (soon) return;
    soon = true;
    w.after(micros(5000), () => {
      soon = false;
      subscribe();
    });
  }

  function learn(n: KeyUpdate): void {
    const old = held.get(n.key);
    if (old !== undefined && (n.version < old.version || (n.version === old.version && n.epoch <= old.epoch))) return;
    held.set(n.key, n);
    if (old !== undefined && old.version === n.version) return;
    o.onUpdate(n);
    for (const [a] of live()) w.send(a, { kind: 'News', news: [n], membershipEpoch: 0, replicas: [] });
  }

  function onNews(m: MessageOf<'News'>): void {
    if (m.membershipEpoch > 0) o.onControlMembership(m.membershipEpoch, m.replicas);
    for (const n of m.news) learn(n);
  }

  function onSubscribe(m: MessageOf<'Subscribe'>): void {
    if (m.relay) return;
    const from = m.from as Address;
    const old = subs.get(from)?.leaseRequests ?? [];
    subs.set(from, { expiresAt: w.now() + 3_000_000, leaseRequests: m.tenures });
    const at = new Map(m.have.map((h) => [h.key, h.version]));
    const out = [...held.values()].filter((n) => n.version > (at.get(n.key) ?? 0));
    if (out.length > 0) w.send(from, { kind: 'News', news: out, membershipEpoch: 0, replicas: [] });
    if (m.tenures.some((t) => old.find((x) => x.router === t.router)?.applied !== t.applied)) hurry();
  }

  function onTenures(m: MessageOf<'Leases'>): void {
    for (const g of m.grants) {
      if (own !== undefined && g.router === own.router) o.onLeaseGrant(g, g.router);
    }
    for (const [a, s] of live()) {
      const gs = m.grants.filter((g) => s.leaseRequests.some((t) => t.router === g.router));
      if (gs.length > 0) w.send(a, { kind: 'Leases', grants: gs });
    }
  }

  function routerAsks(router: string, asked: number, applied: number): void {
    const eager = own === undefined || own.router !== router || own.applied !== applied;
    own = { router, asked, applied };
    ownAt = w.now();
    if (eager) hurry();
  }

  const stop = every(w, () => micros(300_000), subscribe);
  return {
    isZoneLeader: isHome,
    zoneLeader: home,
    subscribers: () => live().map(([a]) => a),
    get: (k) => held.get(k),
    all: () => [...held.values()],
    receiveUpdates: onNews,
    receiveSubscription: onSubscribe,
    receiveLeases: onTenures,
    requestRouterLease: routerAsks,
    mergeUpdate: learn,
    stop,
  };
}
