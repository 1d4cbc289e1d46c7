/**
 * Cuts a prompt into blocks for the prefix tree. A token here is a word with the whitespace after it: this replaces a
 * tokenizer, and the split only has to be the same on every router. A block is identified by the hash of its own text, not
 * of the prefix before it, because the tree keeps the order of blocks.
 */
import { hash32 } from '@tansypost/inner-protocol';
import type { PromptSummary } from './worker-snapshot.js';

/** Tokens in one block; a shorter remainder at the end of a prompt is dropped. */
export const tokensPerBlock = 16;

/**
 * Counts a prompt's tokens and hashes its blocks; the first `groupBlocks` hashes, joined, name its prefix group. The name is
 * empty for a prompt shorter than a block.
 */
export function summarizePrompt(prompt: string, groupBlocks = 4): PromptSummary {
  const tokens = prompt.match(/\S+\s*/g) ?? [];
  const blocks: number[] = [];
  for (let i = 0; i + tokensPerBlock <= tokens.length; i += tokensPerBlock)
    blocks.push(hash32(tokens.slice(i, i + tokensPerBlock).join('')));
  return { tokens: tokens.length, blocks, prefixGroup: blocks.slice(0, groupBlocks).join('.') };
}
