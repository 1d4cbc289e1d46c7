/**
 * Anti-entropy: reads, one after the other, the keys that this node should lead. Each read repairs outdated replicas of
 * the key, and confirms a row that the caller then announces to the other nodes.
 */
import type { NodeContext } from './node-context.js';
import { isLocalKey } from './node-context.js';
import { membershipKey } from './membership-record.js';
import type { Row } from './row.js';

/** Dependencies of anti-entropy on its node. */
export interface AntiEntropyOptions {
  readonly node: NodeContext;
  readonly shouldLead: (key: string) => boolean;
  /** Called with the row that a majority has confirmed to be the newest one. */
  readonly onConfirmed: (key: string, row: Row) => void;
}

/**
 * Returns a function that reads one key, the next in turn; it is to be called periodically, and does nothing unless the
 * replica votes.
 */
export function createAntiEntropy(options: AntiEntropyOptions): () => void {
  const { replica, leaderOf } = options.node;
  let position = 0;

  /**
   * The membership record is not read in turn: replicas adopt it from hellos, and a voter that is behind has it
   * rewritten (`finishMembershipIfBehind`).
   */
  function isInTurn(key: string): boolean {
    return key !== membershipKey && !isLocalKey(key) && options.shouldLead(key);
  }

  return function readNextKey(): void {
    const keys = replica.keys().filter(isInTurn).sort();
    if (replica.state() !== 'voting' || keys.length === 0) return;
    position += 1;
    const key = keys[position % keys.length]!;
    leaderOf(key).read((row) => {
      if (row !== undefined) options.onConfirmed(key, row);
    });
  };
}
