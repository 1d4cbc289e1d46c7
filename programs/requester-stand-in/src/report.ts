/** Summarizes outcomes: requests served, counts of every outcome, and TTFT of complete requests by kind of request. */
import type { Outcome } from './requester.js';

export function quantile(values: readonly number[], quantileRank: number): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(quantileRank * sorted.length))]!;
}

export interface TrafficSummary {
  readonly requests: number;
  readonly whole: number;
  /** Share of requests served completely; refused ones count as not served. */
  readonly availability: number;
  readonly wrong: number;
  /** Counts by outcome: 'whole', or how the request ended, a colon and the kind. */
  readonly ends: { readonly [outcome: string]: number };
  /** In milliseconds. */
  readonly ttft: {
    readonly [kind: string]: { readonly n: number; readonly p50: number; readonly p99: number; readonly mean: number };
  };
}

export function summarizeTraffic(outcomes: readonly Outcome[]): TrafficSummary {
  const ends: Record<string, number> = {};
  for (const outcome of outcomes) {
    const label = outcome.ended === 'whole' ? 'whole' : `${outcome.ended}: ${outcome.kind}`;
    ends[label] = (ends[label] ?? 0) + 1;
  }
  const whole = outcomes.filter((outcome) => outcome.ended === 'whole');
  const kinds = [...new Set(outcomes.map((outcome) => outcome.request.kind))].sort();
  return {
    requests: outcomes.length,
    whole: whole.length,
    availability: outcomes.length === 0 ? 0 : whole.length / outcomes.length,
    wrong: outcomes.filter((outcome) => outcome.ended === 'WRONG').length,
    ends,
    ttft: Object.fromEntries(
      kinds.map((kind) => {
        const ttfts = whole.filter((outcome) => outcome.request.kind === kind).map((outcome) => outcome.ttftMs);
        const mean = ttfts.reduce((sum, value) => sum + value, 0) / Math.max(1, ttfts.length);
        return [
          kind,
          {
            n: ttfts.length,
            p50: Math.round(quantile(ttfts, 0.5)),
            p99: Math.round(quantile(ttfts, 0.99)),
            mean: Math.round(mean),
          },
        ];
      }),
    ),
  };
}
