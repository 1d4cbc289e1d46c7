/**
 * Cuts a prompt into blocks for the prefix tree. Tokens are words with the space before them, a stand-in
 * for a tokenizer that only needs to be the same on every router; a block is sixteen tokens, and
 * its number depends on nothing but its own text, since the tree keeps the order.
 */
import { hash32 } from '@tansypost/inner-protocol';
import type { PromptFacts } from './capture.js';

export const blockTokens = 16;

export function promptFacts(p: string, groupBlocks = 4): PromptFacts {
  const ts = p.match(/\S+\s*/g) ?? [];
  const blocks: number[] = [];
  for (let i = 0; i + blockTokens <= ts.length; i += blockTokens)
    blocks.push(hash32(ts.slice(i, i + blockTokens).join('')));
  return { tokens: ts.length, blocks, group: blocks.slice(0, groupBlocks).join('.') };
}
