/** Reads one key after the other that this node should lead, which repairs old copies, and tells the others of it. */
import type { NodeContext } from './node-context.js';
import { isLocalKey } from './node-context.js';
import { membershipKey } from './membership-record.js';
import type { Row } from './row.js';

/** What the sweep over the keys needs of its node. */
export interface AntiEntropyOptions {
  readonly cluster: NodeContext;
  readonly shouldLead: (key: string) => boolean;
  readonly onConfirmed: (key: string, row: Row) => void;
}

/** Gives the function that reads the next key. */
export function createAntiEntropy(options: AntiEntropyOptions): () => void {
  const { replica, leaderOf: leader } = options.cluster;
  let position = 0;

  function isCovered(key: string): boolean {
    return key !== membershipKey && !isLocalKey(key) && options.shouldLead(key);
  }

  return function readNextKey(): void {
    const keys = replica.keys().filter(isCovered).sort();
    if (replica.state() !== 'voting' || keys.length === 0) return;
    position += 1;
    const key = keys[position % keys.length]!;
    leader(key).read((row) => {
      if (row !== undefined) options.onConfirmed(key, row);
    });
  };
}
