/**
 * The answers of the simulated worker. They are derived from the prompt alone, so that a client can verify every token and
 * detect an answer that belongs to another prompt, is spliced from several, or is incomplete but marked as complete.
 */
import { digest, hash32 } from '@tansypost/inner-protocol';

export function promptDigest(prompt: string): string {
  return digest(prompt).slice(0, 32);
}
export function answerLength(promptHash: string, maxTokens: number): number {
  return Math.max(1, maxTokens - (hash32(`${promptHash}#`) % Math.max(1, Math.floor(maxTokens / 4))));
}
export function answerToken(promptHash: string, index: number): string {
  return ` t${hash32(`${promptHash}:${index}`).toString(36)}`;
}
export function answerText(promptHash: string, from: number, to: number): string {
  let text = '';
  for (let index = from; index < to; index += 1) text += answerToken(promptHash, index);
  return text;
}

/** `cut`: a true prefix of the answer; `foreign`: tokens that do not belong to it; `overlong`: tokens after its end. */
export type AnswerVerdict = 'whole' | 'cut' | 'foreign' | 'overlong';
export function classifyAnswer(prompt: string, maxTokens: number, received: string): AnswerVerdict {
  const promptHash = promptDigest(prompt);
  const expected = answerText(promptHash, 0, answerLength(promptHash, maxTokens));
  if (received === expected) return 'whole';
  if (expected.startsWith(received)) return 'cut';
  return received.startsWith(expected) ? 'overlong' : 'foreign';
}
