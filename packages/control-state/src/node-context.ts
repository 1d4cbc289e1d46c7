/** What the modules of one control node share. */
import type { Address, World } from '@tansypost/inner-protocol';
import type { KeyLeader } from './key-leader.js';
import type { QuorumRounds } from './quorum-round.js';
import type { Replica } from './replica.js';

/** One node's replica, rounds and leaders, as its modules use them. */
export interface NodeContext {
  readonly world: World;
  readonly self: Address;
  readonly replica: Replica;
  readonly rounds: QuorumRounds;
  /** The leader's side of a key at this node, made on first use. */
  readonly leaderOf: (key: string) => KeyLeader;
  /** The leaders made so far. */
  readonly leaders: () => ReadonlyMap<string, KeyLeader>;
}

/** Keys of the desired state are governed by the leases of the routers that serve by them. */
export function isLeasedToRouters(key: string): boolean {
  return key.startsWith('desired/');
}

/** Keys for the cluster's own use, never told to followers. */
export function isInternalKey(key: string): boolean {
  return key.startsWith('claim/') || key.startsWith('tenures/');
}

/** Rows that no leader writes: what a voter has promised in elections of duties. */
export function isLocalKey(key: string): boolean {
  return key.startsWith('~');
}
