/**
 * The followers of this node: agents that subscribe to keys, and routers that follow one key. They receive committed
 * rows only, so two followers that receive the same version of a key receive the same bytes.
 */
import { micros, type Address, type MessageOf, type KeyUpdate } from '@tansypost/inner-protocol';
import { isLeasedToRouters, isInternalKey, type NodeContext } from './node-context.js';
import type { CommittedRows } from './committed-rows.js';
import type { RouterLeases } from './router-leases.js';
import type { Row } from './row.js';
import type { ServingLeases } from './serving-lease.js';

type Subscribe = MessageOf<'Subscribe'>;

/** The status of a key as reported to a follower. */
export interface FollowStatus {
  readonly version: number;
  readonly membershipEpoch: number;
  readonly voting: boolean;
  /** Whether this node holds the serving lease of the key; if not, a newer version may be committed. */
  readonly leased: boolean;
}

/** Dependencies of the followers table on its node. */
export interface FollowersOptions {
  readonly node: NodeContext;
  readonly committed: CommittedRows;
  readonly servingLeases: ServingLeases;
  readonly routerLeases: RouterLeases;
  readonly shouldLead: (key: string) => boolean;
  /** Whether this node has listened long enough to know which other replicas are alive. */
  readonly isSettled: () => boolean;
  /** Addresses that are sent the membership record periodically without a subscription. */
  readonly seeds: readonly Address[];
}

/** Sends updates to the followers of this node. */
export interface Followers {
  readonly subscribe: (request: Subscribe) => void;
  /** Registers a follower of a key and sends it the row and the membership record if they are newer than its own. */
  readonly follow: (key: string, version: number, membershipEpoch: number, from: Address) => FollowStatus;
  /** Sends a committed row to all followers. */
  readonly push: (key: string, row: Row) => void;
  readonly announceMembership: () => void;
}

const followerTimeoutUs = micros(3_000_000);

/** Creates the table of followers of a node. */
export function createFollowers(options: FollowersOptions): Followers {
  const { node, committed, servingLeases } = options;
  const { world, replica } = node;
  const followers = new Map<Address, number>();

  function sendUpdates(to: Address, updates: KeyUpdate[]): void {
    const { membershipEpoch, replicas } = replica.membership();
    world.send(to, { kind: 'News', news: updates, membershipEpoch, replicas: [...replicas] });
  }

  function push(key: string, row: Row): void {
    if (row.version === 0 || isInternalKey(key)) return;
    for (const [follower, until] of followers) {
      if (until < world.now()) followers.delete(follower);
      else sendUpdates(follower, [updateOf(key, row)]);
    }
  }

  function follow(key: string, version: number, membershipEpoch: number, from: Address): FollowStatus {
    followers.set(from, world.now() + followerTimeoutUs);
    const record = replica.membership();
    const voting = replica.state() === 'voting';
    const leader = node.leaderOf(key);
    if (voting && options.isSettled() && !leader.isLeading() && options.shouldLead(key)) leader.acquire();
    servingLeases.keepAlive(key);
    const row = committed.newest(key);
    if (row.version > version) sendUpdates(from, [updateOf(key, row)]);
    else if (record.membershipEpoch > membershipEpoch) sendUpdates(from, []);
    return {
      version: row.version,
      membershipEpoch: record.membershipEpoch,
      voting,
      leased: servingLeases.holds(key),
    };
  }

  function subscribe(request: Subscribe): void {
    const from = request.from as Address;
    if (replica.state() !== 'voting') return;
    followers.set(from, world.now() + followerTimeoutUs);
    const updates: KeyUpdate[] = [];
    for (const subscribed of request.have) {
      const leader = node.leaderOf(subscribed.key);
      if (!leader.isLeading() && options.shouldLead(subscribed.key)) leader.acquire();
      if (!leader.isLeading()) continue;
      if (leader.row().version > subscribed.version) updates.push(updateOf(subscribed.key, leader.row()));
      if (isLeasedToRouters(subscribed.key) && request.tenures.length > 0)
        options.routerLeases.grant(subscribed.key, request);
    }
    updates.push(...updatesOfOtherKeys(new Set(request.have.map((subscribed) => subscribed.key))));
    sendUpdates(from, updates);
  }

  function updatesOfOtherKeys(requestedKeys: ReadonlySet<string>): KeyUpdate[] {
    const updates: KeyUpdate[] = [];
    for (const [key, leader] of node.leaders()) {
      const isDue = !requestedKeys.has(key) && leader.isLeading() && leader.row().version > 0 && !isInternalKey(key);
      if (isDue) updates.push(updateOf(key, leader.row()));
    }
    return updates;
  }

  function announceMembership(): void {
    if (replica.membership().membershipEpoch > 0) for (const seed of options.seeds) sendUpdates(seed, []);
  }

  return { subscribe, follow, push, announceMembership };
}

function updateOf(key: string, row: Row): KeyUpdate {
  return { key, epoch: row.epoch, version: row.version, value: row.value };
}
