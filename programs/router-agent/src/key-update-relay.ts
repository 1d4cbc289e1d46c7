/**
 * Relays key updates from the control cluster to the agents. In each zone one agent is the zone leader of the service: it
 * subscribes to the control replicas, and the other agents of the zone subscribe to it. Subscriptions carry the routers'
 * requests for their feed lease in one direction; updates and lease grants come back in the other. The versions held here
 * never decrease.
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

/** Settings of the relay. */
export interface KeyUpdateRelayOptions {
  readonly self: Address;
  readonly member: string;
  readonly service: string;
  readonly zoneMembers: () => MemberEntry[];
  readonly replicas: () => readonly ReplicaEntry[];
  readonly onControlMembership: (membershipEpoch: number, replicas: ReplicaEntry[]) => void;
  readonly onUpdate: (update: KeyUpdate) => void;
  readonly onLeaseGrant: (grant: { asked: number; version: number }, router: string) => void;
}
/** The key updates that this agent holds. */
export interface KeyUpdateRelay {
  readonly isZoneLeader: () => boolean;
  readonly zoneLeader: () => Address;
  readonly subscribers: () => Address[];
  readonly get: (key: string) => KeyUpdate | undefined;
  readonly all: () => KeyUpdate[];
  readonly receiveUpdates: (message: MessageOf<'News'>) => void;
  readonly receiveSubscription: (message: MessageOf<'Subscribe'>) => void;
  readonly receiveLeases: (message: MessageOf<'Leases'>) => void;
  readonly requestRouterLease: (router: string, asked: number, applied: number) => void;
  readonly mergeUpdate: (update: KeyUpdate) => void;
  readonly stop: () => void;
}
interface Subscriber {
  expiresAt: number;
  leaseRequests: MessageOf<'Subscribe'>['tenures'];
}

/** Starts a relay, which subscribes every 300 ms, and within 5 ms after a router's lease request has changed. */
export function createKeyUpdateRelay(world: World, options: KeyUpdateRelayOptions): KeyUpdateRelay {
  const updates = new Map<string, KeyUpdate>();
  const subscribersByAddress = new Map<Address, Subscriber>();
  let ownRequest: { router: string; asked: number; applied: number } | undefined;
  let ownRequestAt = -Infinity;
  let lastZoneLeader: Address | undefined;
  let isSubscribeScheduled = false;
  const subscribedKeys = [`desired/${options.service}`, `rehearsal/${options.service}`];

  function zoneLeader(): Address {
    const leader = rendezvous(options.service, options.zoneMembers(), (entry) => entry.member)[0]!;
    const address = leader.address as Address;
    if (address !== lastZoneLeader) world.log(3004, { home: leader.member });
    lastZoneLeader = address;
    return address;
  }
  function isZoneLeader(): boolean {
    return zoneLeader() === options.self;
  }
  function liveSubscribers(): [Address, Subscriber][] {
    for (const [address, subscriber] of subscribersByAddress)
      if (subscriber.expiresAt < world.now()) subscribersByAddress.delete(address);
    return [...subscribersByAddress];
  }
  function heldVersions(): { key: string; epoch: number; version: number }[] {
    const keys = new Set([...subscribedKeys, ...updates.keys()]);
    return [...keys].map((key) => ({
      key,
      epoch: updates.get(key)?.epoch ?? 0,
      version: updates.get(key)?.version ?? 0,
    }));
  }

  function subscribe(): void {
    const ownRequests = ownRequest !== undefined && world.now() - ownRequestAt < 2_000_000 ? [ownRequest] : [];
    const leader = zoneLeader();
    if (leader !== options.self) {
      world.send(leader, {
        kind: 'Subscribe',
        from: options.self,
        have: heldVersions(),
        tenures: ownRequests,
        relay: false,
      });
      return;
    }
    const requestsByRouter = new Map(ownRequests.map((request) => [request.router, request]));
    for (const [, subscriber] of liveSubscribers())
      for (const request of subscriber.leaseRequests)
        if ((requestsByRouter.get(request.router)?.asked ?? -1) < request.asked)
          requestsByRouter.set(request.router, request);
    for (const replica of options.replicas()) {
      world.send(replica.address as Address, {
        kind: 'Subscribe',
        from: options.self,
        have: heldVersions(),
        tenures: [...requestsByRouter.values()],
        relay: true,
      });
    }
  }

  function subscribeSoon(): void {
    if (isSubscribeScheduled) return;
    isSubscribeScheduled = true;
    world.after(micros(5000), () => {
      isSubscribeScheduled = false;
      subscribe();
    });
  }

  function mergeUpdate(update: KeyUpdate): void {
    const previous = updates.get(update.key);
    if (
      previous !== undefined &&
      (update.version < previous.version || (update.version === previous.version && update.epoch <= previous.epoch))
    )
      return;
    updates.set(update.key, update);
    if (previous !== undefined && previous.version === update.version) return;
    options.onUpdate(update);
    for (const [address] of liveSubscribers())
      world.send(address, { kind: 'News', news: [update], membershipEpoch: 0, replicas: [] });
  }

  function receiveUpdates(message: MessageOf<'News'>): void {
    if (message.membershipEpoch > 0) options.onControlMembership(message.membershipEpoch, message.replicas);
    for (const update of message.news) mergeUpdate(update);
  }

  function receiveSubscription(message: MessageOf<'Subscribe'>): void {
    if (message.relay) return;
    const from = message.from as Address;
    const previousRequests = subscribersByAddress.get(from)?.leaseRequests ?? [];
    subscribersByAddress.set(from, { expiresAt: world.now() + 3_000_000, leaseRequests: message.tenures });
    const heldVersionsOfSubscriber = new Map(message.have.map((held) => [held.key, held.version]));
    const missingUpdates = [...updates.values()].filter(
      (update) => update.version > (heldVersionsOfSubscriber.get(update.key) ?? 0),
    );
    if (missingUpdates.length > 0)
      world.send(from, { kind: 'News', news: missingUpdates, membershipEpoch: 0, replicas: [] });
    if (
      message.tenures.some(
        (request) => previousRequests.find((old) => old.router === request.router)?.applied !== request.applied,
      )
    )
      subscribeSoon();
  }

  function receiveLeases(message: MessageOf<'Leases'>): void {
    for (const grant of message.grants) {
      if (ownRequest !== undefined && grant.router === ownRequest.router) options.onLeaseGrant(grant, grant.router);
    }
    for (const [address, subscriber] of liveSubscribers()) {
      const grants = message.grants.filter((grant) =>
        subscriber.leaseRequests.some((request) => request.router === grant.router),
      );
      if (grants.length > 0) world.send(address, { kind: 'Leases', grants });
    }
  }

  function requestRouterLease(router: string, askedAt: number, applied: number): void {
    const isNewRequest = ownRequest === undefined || ownRequest.router !== router || ownRequest.applied !== applied;
    ownRequest = { router, asked: askedAt, applied };
    ownRequestAt = world.now();
    if (isNewRequest) subscribeSoon();
  }

  const stop = every(world, () => micros(300_000), subscribe);
  return {
    isZoneLeader,
    zoneLeader,
    subscribers: () => liveSubscribers().map(([address]) => address),
    get: (key) => updates.get(key),
    all: () => [...updates.values()],
    receiveUpdates,
    receiveSubscription,
    receiveLeases,
    requestRouterLease,
    mergeUpdate,
    stop,
  };
}
