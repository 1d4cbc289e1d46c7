/**
 * Measures placement: the learned policy, the heuristic, and least-request on the same arrivals, paired by seed,
 * in virtual time. Only requests after the warm-up count, for every policy alike.
 */
import type { Deployment } from '@tansypost/requester-stand-in';
import { verdictDefaults } from '@tansypost/rehearsal';
import { createSim } from './sim-fleet.js';

export const policies = ['lodestar', 'heuristic', 'least'] as const;
export type Policy = (typeof policies)[number];
export const loads = ['steady', 'heavy', 'swing'] as const;
export type Load = (typeof loads)[number];
export interface Figure {
  readonly policy: Policy;
  readonly load: Load;
  readonly seed: number;
  readonly n: number;
  readonly mean: number;
  readonly p50: number;
  readonly p99: number;
  readonly failed: number;
  readonly live: string;
  readonly rehearsals: string;
  readonly shares: string;
}

export async function measureOne(
  d: Deployment,
  policy: Policy,
  load: Load,
  seed: number,
  seconds: number,
): Promise<Figure> {
  const sim = createSim({
    deployment: d,
    seed,
    span: seconds,
    calm: 12,
    rate: load === 'heavy' ? d.rate * 1.8 : d.rate,
    faults: [],
    policy,
    plain: true,
    trainEvery: policy === 'lodestar' ? 1000 : 1e9,
    trainer: { fifoCapacity: 3000, replayCapacity: 2000, passes: 2 },
    verdict: verdictDefaults,
    rehearsalLimit: 120_000_000,
    slice: 0.1,
    shiftParts: false,
    ...(load === 'swing' ? { swing: 60 } : {}),
  });
  const h = await sim.run();
  const from = (seconds / 2) * 1e6;
  const rs = h.requests.filter((q) => q.at >= from && q.at < seconds * 1e6);
  const ts = rs
    .filter((q) => q.ended === 'whole')
    .map((q) => q.ttft! / 1000)
    .sort((a, b) => a - b);
  const rec = sim.agents[0]!.core!.rehearsalRecord();
  const reasons = new Map<string, number>();
  for (const r of sim.routers)
    for (const [k, v] of Object.entries((r.core!.metrics() as { placement: Record<string, number> }).placement))
      reasons.set(k, (reasons.get(k) ?? 0) + v);
  return {
    policy,
    load,
    seed,
    n: ts.length,
    failed: rs.length - ts.length,
    mean: ts.reduce((a, b) => a + b, 0) / ts.length,
    p50: ts[Math.floor(ts.length / 2)]!,
    p99: ts[Math.floor(ts.length * 0.99)]!,
    live: rec.live === undefined ? 'none' : `${rec.live.version.n}`,
    rehearsals: rec.ended
      .map((e) => `${e.outcome}: ${e.measured?.why ?? ''}`)
      .reverse()
      .join(' | '),
    shares: [...reasons].map(([k, v]) => `${k} ${v}`).join(', '),
  };
}
