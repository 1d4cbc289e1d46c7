/** Counts the requests that did not end in time by cause. */
import type { MissedRequest } from './parse-missed-requests.js';

/** A group of missed requests. */
export interface CauseRow {
  readonly key: readonly string[];
  readonly count: number;
  /** Mean excess of TTFT over the target latency, in milliseconds; undefined where no request had a first chunk. */
  readonly meanExcessMs: number | undefined;
  readonly meanPromptTokens: number;
}

/** Bounds of the ranges of prompt sizes, in tokens. */
const sizeBounds = [512, 2048, 8192, 16_384, 32_768];

/** Names the range that a prompt's size is in. */
export function sizeRange(tokens: number): string {
  const above = sizeBounds.filter((bound) => tokens >= bound);
  const low = above.at(-1) ?? 0;
  const high = sizeBounds[above.length];
  return high === undefined ? `${low}+` : `${low}-${high - 1}`;
}

/** Whether the prompt was prefilled at a separate worker, at the decode worker, or not at all. */
export function placementOf(request: MissedRequest): 'apart' | 'alone' | 'no prompt' {
  if (request.prompt === 0) return 'no prompt';
  return request.reads > 0 ? 'apart' : 'alone';
}

function mean(values: readonly number[]): number | undefined {
  return values.length === 0 ? undefined : values.reduce((sum, value) => sum + value, 0) / values.length;
}

function rowOf(key: readonly string[], requests: readonly MissedRequest[]): CauseRow {
  const excess = requests.filter((request) => request.firstMs >= 0).map((request) => request.firstMs - request.aimMs);
  return {
    key,
    count: requests.length,
    meanExcessMs: mean(excess),
    meanPromptTokens: mean(requests.map((request) => request.prompt)) ?? 0,
  };
}

/** Groups requests by the key that `keyOf` returns, largest group first. */
export function groupMissedRequests(
  requests: readonly MissedRequest[],
  keyOf: (request: MissedRequest) => readonly string[],
): CauseRow[] {
  const groups = new Map<string, { key: readonly string[]; requests: MissedRequest[] }>();
  for (const request of requests) {
    const key = keyOf(request);
    const name = key.join('\n');
    const group = groups.get(name) ?? { key, requests: [] };
    group.requests.push(request);
    groups.set(name, group);
  }
  return [...groups.values()].map((group) => rowOf(group.key, group.requests)).sort((a, b) => b.count - a.count);
}

/** Counts the missed requests of each cause in each second. */
export function countCausesBySecond(requests: readonly MissedRequest[]): Map<number, Map<string, number>> {
  const seconds = new Map<number, Map<string, number>>();
  for (const request of requests) {
    const second = Math.floor(request.second);
    const causes = seconds.get(second) ?? new Map<string, number>();
    const name = causeName(request);
    causes.set(name, (causes.get(name) ?? 0) + 1);
    seconds.set(second, causes);
  }
  return seconds;
}

/** Names the cause of a late request; for one without a complete answer, its outcome too. */
export function causeName(request: MissedRequest): string {
  return request.outcome.startsWith('late') ? request.cause : `${request.outcome}: ${request.cause}`;
}
