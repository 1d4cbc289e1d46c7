/**
 * Anti-entropy: reads the keys that this node should lead one after the other. Each read repairs outdated replicas of
 * the key and announces the committed version to the other nodes.
 */
import type { NodeContext } from './node-context.js';
import { isLocalKey } from './node-context.js';
import { membershipKey } from './membership-record.js';
import type { Row } from './row.js';

/** Dependencies of anti-entropy on its node. */
export interface AntiEntropyOptions {
  readonly node: NodeContext;
  readonly shouldLead: (key: string) => boolean;
  readonly onConfirmed: (key: string, row: Row) => void;
}

/** Returns a function that reads the next key in turn. */
export function createAntiEntropy(options: AntiEntropyOptions): () => void {
  const { replica, leaderOf } = options.node;
  let position = 0;

  function isCovered(key: string): boolean {
    return key !== membershipKey && !isLocalKey(key) && options.shouldLead(key);
  }

  return function readNextKey(): void {
    const keys = replica.keys().filter(isCovered).sort();
    if (replica.state() !== 'voting' || keys.length === 0) return;
    position += 1;
    const key = keys[position % keys.length]!;
    leaderOf(key).read((row) => {
      if (row !== undefined) options.onConfirmed(key, row);
    });
  };
}
