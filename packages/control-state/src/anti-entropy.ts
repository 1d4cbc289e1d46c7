/** Reads one key after the other that this node should lead, which repairs old copies, and tells the others of it. */
import type { NodeContext } from './node-context.js';
import { isLocalKey } from './node-context.js';
import { membershipKey } from './membership-record.js';
import type { Row } from './row.js';

/** What the sweep over the keys needs of its node. */
export interface AntiEntropyOptions {
  readonly cluster: NodeContext;
  readonly shouldLead: (key: string) => boolean;
  readonly confirmed: (key: string, row: Row) => void;
}

/** Gives the function that reads the next key. */
export function createAntiEntropy(options: AntiEntropyOptions): () => void {
  const { replica, leaderOf: leader } = options.cluster;
  let turn = 0;

  function isSwept(key: string): boolean {
    return key !== membershipKey && !isLocalKey(key) && options.shouldLead(key);
  }

  return function sweepOne(): void {
    const keys = replica.keys().filter(isSwept).sort();
    if (replica.state() !== 'voting' || keys.length === 0) return;
    turn += 1;
    const key = keys[turn % keys.length]!;
    leader(key).read((row) => {
      if (row !== undefined) options.confirmed(key, row);
    });
  };
}
