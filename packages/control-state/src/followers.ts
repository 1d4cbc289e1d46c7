/**
 * The followers of this node: product agents that subscribe to keys and routers that follow one. They are told what is
 * on a majority, and nothing else, so two of them that are told one version of a key are told the same bytes.
 */
import { micros, type Address, type MessageOf, type KeyUpdate } from '@tansypost/inner-protocol';
import { isLeasedToRouters, isInternalKey, type NodeContext } from './node-context.js';
import type { CommittedRows } from './committed-rows.js';
import type { RouterLeases } from './router-leases.js';
import type { Row } from './row.js';
import type { ServingLeases } from './serving-lease.js';

type Subscribe = MessageOf<'Subscribe'>;

/** What a follower is told of a key when it asks. */
export interface FollowStatus {
  readonly version: number;
  readonly membershipEpoch: number;
  readonly voting: boolean;
  /** Whether this node holds the lease to hand the key out as current; if not, there may be newer. */
  readonly leased: boolean;
}

/** What telling followers needs of the node. */
export interface FollowersOptions {
  readonly cluster: NodeContext;
  readonly committed: CommittedRows;
  readonly servingLeases: ServingLeases;
  readonly routerLeases: RouterLeases;
  readonly shouldLead: (key: string) => boolean;
  /** Whether this node has listened long enough to know who else is there. */
  readonly isSettled: () => boolean;
  /** Addresses that are told the membership now and then without asking. */
  readonly seeds: readonly Address[];
}

/** Tells those who follow this node. */
export interface Followers {
  readonly subscribe: (request: Subscribe) => void;
  /** Takes in that somebody follows a key, and sends what is newer than what it has. */
  readonly follow: (key: string, version: number, membershipEpoch: number, from: Address) => FollowStatus;
  /** Tells all followers of a row that is on a majority. */
  readonly push: (key: string, row: Row) => void;
  readonly announceMembership: () => void;
}

const followedFor = micros(3_000_000);

/** Makes the table of followers of a node. */
export function createFollowers(options: FollowersOptions): Followers {
  const { cluster, committed, servingLeases } = options;
  const { world, replica } = cluster;
  const followers = new Map<Address, number>();

  function tell(to: Address, news: KeyUpdate[]): void {
    const { membershipEpoch, replicas } = replica.membership();
    world.send(to, { kind: 'News', news, membershipEpoch, replicas: [...replicas] });
  }

  function push(key: string, row: Row): void {
    if (row.version === 0 || isInternalKey(key)) return;
    for (const [follower, until] of followers) {
      if (until < world.now()) followers.delete(follower);
      else tell(follower, [newsOf(key, row)]);
    }
  }

  function follow(key: string, version: number, membershipEpoch: number, from: Address): FollowStatus {
    followers.set(from, world.now() + followedFor);
    const record = replica.membership();
    const voting = replica.state() === 'voting';
    const leader = cluster.leaderOf(key);
    if (voting && options.isSettled() && !leader.isLeading() && options.shouldLead(key)) leader.acquire();
    servingLeases.want(key);
    const row = committed.newest(key);
    if (row.version > version) tell(from, [newsOf(key, row)]);
    else if (record.membershipEpoch > membershipEpoch) tell(from, []);
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
    followers.set(from, world.now() + followedFor);
    const news: KeyUpdate[] = [];
    for (const had of request.have) {
      const leader = cluster.leaderOf(had.key);
      if (!leader.isLeading() && options.shouldLead(had.key)) leader.acquire();
      if (!leader.isLeading()) continue;
      if (leader.row().version > had.version) news.push(newsOf(had.key, leader.row()));
      if (isLeasedToRouters(had.key) && request.tenures.length > 0) options.routerLeases.grant(had.key, request);
    }
    news.push(...newsNotNamed(new Set(request.have.map((had) => had.key))));
    tell(from, news);
  }

  function newsNotNamed(named: ReadonlySet<string>): KeyUpdate[] {
    const news: KeyUpdate[] = [];
    for (const [key, leader] of cluster.leaders()) {
      const told = !named.has(key) && leader.isLeading() && leader.row().version > 0 && !isInternalKey(key);
      if (told) news.push(newsOf(key, leader.row()));
    }
    return news;
  }

  function announceMembership(): void {
    if (replica.membership().membershipEpoch > 0) for (const seed of options.seeds) tell(seed, []);
  }

  return { subscribe, follow, push, announceMembership };
}

function newsOf(key: string, row: Row): KeyUpdate {
  return { key, epoch: row.epoch, version: row.version, value: row.value };
}
