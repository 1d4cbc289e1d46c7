/**
 * Features of one candidate for one prompt, in the three groups of the paper: the request, the expected cache hit, and the
 * worker's state. No feature identifies a worker. In place of the paper's GPU model there is a speed class, taken from
 * observed throughput and encoded with one column for each class.
 */
import type { Candidate, PromptSummary } from './worker-snapshot.js';

/** Number of speed classes, see `ThroughputTracker`. */
export const speedClassCount = 4;
/** Names of the features by their index. */
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
/** Number of features. */
export const featureCount = featureNames.length;

/** Computes the features; `hitShare` is the share of the prompt expected to be cached at the candidate. */
export function computeFeatures(prompt: PromptSummary, hitShare: number, candidate: Candidate): Float32Array {
  const row = new Float32Array(featureCount);
  row[0] = prompt.tokens;
  row[1] = hitShare;
  row[2] = prompt.tokens * (1 - hitShare);
  row[3] = candidate.running;
  row[4] = candidate.queued;
  row[5] = candidate.prefillTokens;
  row[6] = candidate.decodeTokens;
  row[7] = candidate.kvUsed;
  row[8 + Math.min(speedClassCount - 1, Math.max(0, candidate.speedClass))] = 1;
  return row;
}
