/**
 * The features of one candidate for one prompt, in the paper's three groups: the request, the expected
 * hit, and the worker's state. No feature names a worker. The paper's GPU model is replaced by a
 * speed class read from observed pace, one column a class.
 */
import type { Candidate, PromptSummary } from './worker-snapshot.js';

export const speedClassCount = 4;
export const featureNames = [
  'tokens',
  'hit',
  'missTokens',
  'running',
  'queued',
  'prefillTokens',
  'decodeTokens',
  'kvUsed',
  'classUnknown',
  'classSlow',
  'classMiddle',
  'classFast',
] as const;
export const featureCount = featureNames.length;

export function computeFeatures(p: PromptSummary, hit: number, c: Candidate): Float32Array {
  const x = new Float32Array(featureCount);
  x[0] = p.tokens;
  x[1] = hit;
  x[2] = p.tokens * (1 - hit);
  x[3] = c.running;
  x[4] = c.queued;
  x[5] = c.prefillTokens;
  x[6] = c.decodeTokens;
  x[7] = c.kvUsed;
  x[8 + Math.min(speedClassCount - 1, Math.max(0, c.speedClass))] = 1;
  return x;
}
