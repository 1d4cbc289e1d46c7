/**
 * Scores a virtual day: the earned share of the requests' value over the whole day, in the worst windows, and of the
 * worst-served kind and zone, plus the served share counted in nines, minus the cost of recomputed and moved tokens.
 */
import type { PassedHistory, AttemptRecord } from '../pass-through/passed-history.js';
import type { DecisionSite } from './decision-sites.js';

/** The score of a day with its parts; shares are from 0 to 1. */
export interface DecisionScore {
  /** The weighted sum of the parts, minus the costs. */
  readonly score: number;
  readonly mean: number;
  readonly windows: number;
  readonly worstKind: number;
  readonly nines: number;
  readonly unservedShare: number;
  readonly requests: number;
  readonly late: number;
  readonly recomputeCost: number;
  readonly transferCost: number;
}

/** One request of a client, including all its attempts. */
interface ScoredRequest {
  readonly kind: string;
  readonly at: number;
  readonly maxValue: number;
  readonly earnedValue: number;
  readonly served: boolean;
  readonly late: boolean;
  readonly size: number;
}

const windowLengthUs = 2_000_000;
const worstWindowCount = 2;
/** The unserved share at which the nines part reaches its maximum of 1. */
const bestUnserved = 0.001;
const minSizeWeight = 0.3;
const maxSizeWeight = 4;
/** The largest tenth of the requests of a kind, and the fifth below it, also count as kinds of their own. */
const largest = { from: 0.9, to: 1 };
const large = { from: 0.7, to: 0.9 };
const earlyRejectionFraction = 0.25;

function groupBy<T, K>(items: Iterable<T>, keyOf: (item: T) => K): Map<K, T[]> {
  const groups = new Map<K, T[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
}

function earnedShare(requests: readonly ScoredRequest[]): number {
  const maxValue = requests.reduce((sum, request) => sum + request.maxValue, 0);
  return maxValue === 0 ? 1 : requests.reduce((sum, request) => sum + request.earnedValue, 0) / maxValue;
}

/** The fraction of its value that a request earned: 1 in time, less when late, 0 when not served. */
function earnedFraction(
  attempts: readonly AttemptRecord[],
  targetLatency: number,
  maxEventGap: number,
  lateFraction: number,
): number {
  const first = attempts[0]!;
  const served = attempts.find((attempt) => attempt.ended === 'whole');
  if (served === undefined) return 0;
  const answeredAt = served.streaming ? (served.firstByteAt ?? served.end!) : served.end!;
  const exceededGap = maxEventGap > 0 && served.maxGapUs > maxEventGap;
  if (!exceededGap && answeredAt - first.at <= targetLatency) return 1;
  const rejectedEarly =
    served !== first && first.ended === 'refused' && first.end! - first.at <= earlyRejectionFraction * targetLatency;
  if (rejectedEarly && !exceededGap && answeredAt - served.at <= targetLatency) return (1 + lateFraction) / 2;
  return lateFraction;
}

function scoredRequests(history: PassedHistory, site: DecisionSite): ScoredRequest[] {
  const kinds = new Map(site.deployment.kinds.map((kind) => [kind.name, kind]));
  const attemptsByTask = groupBy(
    history.tries.filter((attempt) => attempt.at >= history.from),
    (attempt) => attempt.task,
  );
  const firstAttempts = [...attemptsByTask.values()].map((attempts) => attempts[0]!);
  const meanSizes = new Map(
    [...groupBy(firstAttempts, (attempt) => attempt.kind)].map(([kind, all]) => [
      kind,
      all.reduce((sum, attempt) => sum + attempt.costTokens, 0) / all.length,
    ]),
  );
  return [...attemptsByTask.values()].map((attempts) => {
    const first = attempts[0]!;
    const kind = kinds.get(first.kind)!;
    const value = kind.worth ?? 1;
    const relative = first.costTokens / Math.max(1, meanSizes.get(first.kind)!);
    const weight = first.costTokens <= 10 ? 1 : Math.min(maxSizeWeight, minSizeWeight + (1 - minSizeWeight) * relative);
    const fraction = earnedFraction(attempts, kind.aim, kind.pause, (kind.lateWorth ?? 0) / value);
    const maxValue = value * weight;
    return {
      kind: first.kind,
      at: first.at,
      maxValue,
      earnedValue: maxValue * fraction,
      served: fraction > 0,
      late: fraction > 0 && fraction < 1,
      size: first.costTokens,
    };
  });
}

function worstKindShare(requests: readonly ScoredRequest[]): number {
  const shares: number[] = [];
  for (const all of groupBy(requests, (request) => request.kind).values()) {
    const bySize = [...all].sort((a, b) => a.size - b.size);
    shares.push(earnedShare(all));
    for (const { from, to } of [largest, large])
      shares.push(earnedShare(bySize.slice(Math.floor(from * all.length), Math.floor(to * all.length))));
  }
  return Math.min(...shares);
}

function worstWindowShare(requests: readonly ScoredRequest[]): number {
  const windows = [...groupBy(requests, (request) => Math.floor(request.at / windowLengthUs)).values()].map(
    earnedShare,
  );
  const worst = windows.sort((a, b) => a - b).slice(0, worstWindowCount);
  return worst.reduce((sum, windowShare) => sum + windowShare, 0) / worst.length;
}

function ninesFraction(unservedShare: number): number {
  const bounded = Math.max(unservedShare, bestUnserved);
  return Math.max(0, Math.min(1, Math.log(bounded) / Math.log(bestUnserved)));
}

/** Scores the recorded history of a day. */
export function scoreDay(history: PassedHistory, site: DecisionSite): DecisionScore {
  const requests = scoredRequests(history, site);
  const maxValue = requests.reduce((sum, request) => sum + request.maxValue, 0);
  const unservedShare = requests.filter((request) => !request.served).length / Math.max(1, requests.length);
  const mean = earnedShare(requests);
  const windows = worstWindowShare(requests);
  const worstKind = worstKindShare(requests);
  const nines = ninesFraction(unservedShare);
  const recomputeCost = ((history.costs.reread / 1000) * site.rates.recompute) / maxValue;
  const transferCost = ((history.costs.moved / 1000) * site.rates.transfer) / maxValue;
  const { weights } = site;
  // The zones here differ only by chance, so the mean of the whole day stands in for the worst zone.
  const parts =
    weights.mean * mean +
    weights.windows * windows +
    weights.kinds * worstKind +
    weights.zones * mean +
    weights.nines * nines;
  const late = requests.filter((request) => request.late).length;
  return {
    score: parts - recomputeCost - transferCost,
    mean,
    windows,
    worstKind,
    nines,
    unservedShare,
    requests: requests.length,
    late,
    recomputeCost,
    transferCost,
  };
}
