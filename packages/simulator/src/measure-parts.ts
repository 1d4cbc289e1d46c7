/**
 * Measures shifts of parts: the same arrivals with shifts on and with parts held still, in virtual time, with the settings as
 * shipped. Workers are slow enough for reading to be what runs short while the mix leans to long prompts.
 */
import type { Deployment } from '@tansypost/requester-stand-in';
import { verdictDefaults } from '@tansypost/rehearsal';
import { agentDefaults } from '@tansypost/router-agent';
import { createSim } from './sim-fleet.js';

export interface PartsFigure {
  readonly shifts: boolean;
  readonly seed: number;
  readonly asked: number;
  readonly whole: number;
  readonly mean: number;
  readonly p99: number;
  readonly ended: string;
}

export async function measureParts(
  d: Deployment,
  seed: number,
  seconds: number,
  period: number,
  shifts: boolean,
): Promise<PartsFigure> {
  const sim = createSim({
    deployment: d,
    seed,
    span: seconds,
    calm: 12,
    rate: d.rate,
    faults: [],
    plain: true,
    policy: 'heuristic',
    trainEvery: 1e9,
    paces: [5200, 4200, 3600, 5000],
    swing: period,
    shiftParts: shifts,
    shiftHold: 8_000_000,
    shiftRest: 60_000_000,
    slice: agentDefaults.treatmentShare,
    rehearsalLimit: agentDefaults.rehearsalTimeLimitUs,
    verdict: verdictDefaults,
  });
  const h = await sim.run();
  const rs = h.requests.filter((q) => q.at >= (seconds / 2) * 1e6 && q.at < seconds * 1e6);
  const ts = rs
    .filter((q) => q.ended === 'whole')
    .map((q) => q.ttft! / 1000)
    .sort((a, b) => a - b);
  const last = h.records.at(-1)?.record;
  const running =
    last?.running === undefined ? [] : [`${last.running.id} in stage ${last.running.stage + 1}, ${last.running.state}`];
  return {
    shifts,
    seed,
    asked: rs.length,
    whole: ts.length,
    mean: ts.reduce((a, b) => a + b, 0) / Math.max(1, ts.length),
    p99: ts[Math.floor(ts.length * 0.99)] ?? 0,
    ended: [...(last?.ended ?? []).map((e) => `${e.id} ${e.outcome}`), ...running].join(', '),
  };
}
