/**
 * Cuts a prompt into blocks for the prefix tree. Tokens are words with the space before them, a stand-in
 * for a tokenizer that only needs to be the same on every router; a block is sixteen tokens, and
 * its number depends on nothing but its own text, since the tree keeps the order.
 */
import { hash32 } from '@tansypost/inner-protocol';
import type { PromptSummary } from './worker-snapshot.js';

export const tokensPerBlock = 16;

export function summarizePrompt(p: string, groupBlocks = 4): PromptSummary {
  const ts = p.match(/\S+\s*/g) ?? [];
  const blocks: number[] = [];
  for (let i = 0; i + tokensPerBlock <= ts.length; i += tokensPerBlock)
    blocks.push(hash32(ts.slice(i, i + tokensPerBlock).join('')));
  return { tokens: ts.length, blocks, prefixGroup: blocks.slice(0, groupBlocks).join('.') };
}
