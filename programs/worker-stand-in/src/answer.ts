/**
 * The answers of the stand-in, derived from the prompt alone, so that whoever asked can tell every
 * token of its own answer from any other: a foreign, stitched or falsely complete one is found out.
 */
import { digest, hash32 } from '@tansypost/inner-protocol';

export function promptDigest(prompt: string): string {
  return digest(prompt).slice(0, 32);
}
export function answerLength(dig: string, maxTokens: number): number {
  return Math.max(1, maxTokens - (hash32(`${dig}#`) % Math.max(1, Math.floor(maxTokens / 4))));
}
export function answerToken(dig: string, i: number): string {
  return ` t${hash32(`${dig}:${i}`).toString(36)}`;
}
export function answerText(dig: string, from: number, to: number): string {
  let s = '';
  for (let i = from; i < to; i += 1) s += answerToken(dig, i);
  return s;
}

export type AnswerVerdict = 'whole' | 'cut' | 'foreign' | 'overlong';
export function classifyAnswer(prompt: string, maxTokens: number, got: string): AnswerVerdict {
  const d = promptDigest(prompt);
  const want = answerText(d, 0, answerLength(d, maxTokens));
  if (got === want) return 'whole';
  if (want.startsWith(got)) return 'cut';
  return got.startsWith(want) ? 'overlong' : 'foreign';
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  it('tells a whole answer from a cut, a foreign, a stitched and an overlong one', () => {
    const [p, q] = ['first prompt', 'second prompt'];
    const d = promptDigest(p);
    const n = answerLength(d, 40);
    expect(classifyAnswer(p, 40, answerText(d, 0, n))).toBe('whole');
    expect(classifyAnswer(p, 40, answerText(d, 0, n - 1))).toBe('cut');
    expect(classifyAnswer(p, 40, answerText(promptDigest(q), 0, n))).toBe('foreign');
    expect(classifyAnswer(p, 40, answerText(d, 0, 5) + answerText(promptDigest(q), 5, n))).toBe('foreign');
    expect(classifyAnswer(p, 40, answerText(d, 0, 5) + answerText(d, 4, n))).toBe('foreign');
    expect(classifyAnswer(p, 40, answerText(d, 0, n) + answerToken(d, n))).toBe('overlong');
  });
}
