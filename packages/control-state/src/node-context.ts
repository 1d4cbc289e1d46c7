/** The state that the modules of one control node share. */
import type { Address, World } from '@tansypost/inner-protocol';
import type { KeyLeader } from './key-leader.js';
import type { QuorumRounds } from './quorum-round.js';
import type { Replica } from './replica.js';

/** A node's replica, quorum rounds and key leaders. */
export interface NodeContext {
  readonly world: World;
  readonly self: Address;
  readonly replica: Replica;
  readonly rounds: QuorumRounds;
  /** The leader role of a key on this node, created on first use. */
  readonly leaderOf: (key: string) => KeyLeader;
  /** The leader roles created so far, by key. */
  readonly leaders: () => ReadonlyMap<string, KeyLeader>;
}

/** Whether routers hold leases on a key: true for the keys of the desired state, which routers serve by. */
export function isLeasedToRouters(key: string): boolean {
  return key.startsWith('desired/');
}

/** Whether a key is internal to the control cluster and never sent to followers. */
export function isInternalKey(key: string): boolean {
  return key.startsWith('claim/') || key.startsWith('tenures/');
}

/**
 * Whether a row belongs to this replica alone and has no leader: the promises of voters in elections of singleton
 * roles.
 */
export function isLocalKey(key: string): boolean {
  return key.startsWith('~');
}
