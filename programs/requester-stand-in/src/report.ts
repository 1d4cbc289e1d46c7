/** Sums up outcomes: what was served, what was turned away and how, and TTFT by kind. */
import type { Outcome } from './requester.js';

export function quantile(xs: readonly number[], q: number): number {
  if (xs.length === 0) return 0;
  const s = [...xs].sort((a, b) => a - b);
  return s[Math.min(s.length - 1, Math.floor(q * s.length))]!;
}

export interface TrafficSummary {
  readonly requests: number;
  readonly whole: number;
  readonly availability: number;
  readonly wrong: number;
  readonly ends: { readonly [k: string]: number };
  readonly ttft: {
    readonly [kind: string]: { readonly n: number; readonly p50: number; readonly p99: number; readonly mean: number };
  };
}

export function summarizeTraffic(os: readonly Outcome[]): TrafficSummary {
  const ends: Record<string, number> = {};
  for (const o of os) {
    const k = o.ended === 'whole' ? 'whole' : `${o.ended}: ${o.kind}`;
    ends[k] = (ends[k] ?? 0) + 1;
  }
  const whole = os.filter((o) => o.ended === 'whole');
  const kinds = [...new Set(os.map((o) => o.request.kind))].sort();
  return {
    requests: os.length,
    whole: whole.length,
    availability: os.length === 0 ? 0 : whole.length / os.length,
    wrong: os.filter((o) => o.ended === 'WRONG').length,
    ends,
    ttft: Object.fromEntries(
      kinds.map((k) => {
        const ts = whole.filter((o) => o.request.kind === k).map((o) => o.ttftMs);
        const mean = ts.reduce((a, b) => a + b, 0) / Math.max(1, ts.length);
        return [
          k,
          {
            n: ts.length,
            p50: Math.round(quantile(ts, 0.5)),
            p99: Math.round(quantile(ts, 0.99)),
            mean: Math.round(mean),
          },
        ];
      }),
    ),
  };
}
