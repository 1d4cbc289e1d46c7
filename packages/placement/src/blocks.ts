/**
 * Cuts a prompt into blocks for the prefix tree. A token here is a word with the whitespace after it: that stands in for a
 * tokenizer, which only has to be the same on every router. A block's number is the hash of its own text alone, as the
 * tree keeps the order of blocks.
 */
import { hash32 } from '@tansypost/inner-protocol';
import type { PromptSummary } from './worker-snapshot.js';

/** Tokens in one block; a shorter rest at the end of a prompt is in no block. */
export const tokensPerBlock = 16;

/** Counts a prompt's tokens and hashes its blocks; the first `groupBlocks` of them name its prefix group. */
export function summarizePrompt(prompt: string, groupBlocks = 4): PromptSummary {
  const tokens = prompt.match(/\S+\s*/g) ?? [];
  const blocks: number[] = [];
  for (let i = 0; i + tokensPerBlock <= tokens.length; i += tokensPerBlock)
    blocks.push(hash32(tokens.slice(i, i + tokensPerBlock).join('')));
  return { tokens: tokens.length, blocks, prefixGroup: blocks.slice(0, groupBlocks).join('.') };
}
