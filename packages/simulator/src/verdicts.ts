/**
 * How often the verdict errs, measured on rehearsals drawn from what the fleet itself shows: the TTFTs and paces of a simulated
 * run, in their order and so with their spells and tails, dealt to the arms at random, with a known harm done to the slice.
 */
import { createSeededRandom } from '@tansypost/inner-protocol';
import type { Deployment } from '@tansypost/requester-stand-in';
import {
  countAnswer,
  createCohortCounts,
  requestsAtAnalysis,
  errorBudgetOf,
  judgeRehearsal,
  verdictDefaults,
  type VerdictCounts,
} from '@tansypost/rehearsal';
import { agentDefaults } from '@tansypost/router-agent';
import { createSim } from './sim-fleet.js';

interface Seen {
  readonly stratum: number;
  readonly failed: boolean;
  readonly ttft: number;
  readonly token: number;
  readonly patience: number;
}
export interface Harm {
  readonly ttft: number;
  readonly token: number;
  readonly fail: number;
}
export interface VerdictFigure {
  readonly passed: number;
  readonly harmful: number;
  readonly open: number;
  readonly live: number;
  readonly medianSeconds: number;
}

export async function fleetShows(d: Deployment, seed: number, seconds: number, swing: boolean): Promise<Seen[]> {
  const h = await createSim({
    deployment: d,
    seed,
    span: seconds,
    calm: 12,
    rate: d.rate,
    faults: [],
    policy: 'heuristic',
    plain: true,
    trainEvery: 1e9,
    shiftParts: false,
    ...(swing ? { swing: 60 } : {}),
  }).run();
  const strata = [...new Set(h.requests.map((q) => `${q.tenant}/${q.kind}`))];
  const answer = new Map(d.kinds.map((k) => [k.kind, k.answerTokens]));
  return h.requests
    .filter((q) => q.at > 20e6 && q.end !== undefined)
    .map((q) => {
      const failed = q.ended !== 'whole';
      const ttft = failed ? q.patience : q.ttft!;
      return {
        stratum: strata.indexOf(`${q.tenant}/${q.kind}`),
        failed,
        ttft: Math.log(ttft),
        token: Math.log(Math.max(1, (q.end! - q.at - ttft) / answer.get(q.kind)!)),
        patience: Math.log(q.patience),
      };
    });
}

const limitSeconds = agentDefaults.rehearsalTimeLimitUs / 1e6;

function stage(
  seen: readonly Seen[],
  r: () => number,
  slice: number,
  control: number,
  perSecond: number,
  harm: Harm,
): { verdict: string; seconds: number } {
  const strata = 1 + Math.max(...seen.map((x) => x.stratum));
  const cs: VerdictCounts[] = Array.from({ length: 2 * strata }, (_, i) =>
    createCohortCounts(i < strata ? 'slice' : 'control', `${i % strata}`),
  );
  const n = { slice: 0, control: 0 };
  const logs = [Math.log(harm.ttft), Math.log(harm.token)] as const;
  let at = Math.floor(r() * seen.length);
  let looks = 0;
  for (let s = 1; s <= limitSeconds; s += 1) {
    for (let i = 0; i < perSecond; i += 1) {
      const x = seen[(at += 1) % seen.length]!;
      const u = r();
      if (u >= slice && u < 1 - control) continue;
      const harmed = u < slice;
      const c = cs[(harmed ? 0 : strata) + x.stratum]!;
      n[harmed ? 'slice' : 'control'] += 1;
      const failed = x.failed || (harmed && harm.fail > 0 && r() < harm.fail);
      const l = failed ? x.patience : x.ttft + (harmed ? logs[0] : 0);
      const k = failed ? undefined : x.token + (harmed ? logs[1] : 0);
      countAnswer(c, { failed, logTtft: l, logTokenTime: k });
    }
    const last = s === limitSeconds;
    if (!last && Math.min(n.slice, n.control) < requestsAtAnalysis(looks, verdictDefaults)) continue;
    const v = judgeRehearsal(cs, verdictDefaults, errorBudgetOf(looks, last)).verdict;
    if (v !== 'open') return { verdict: v, seconds: s };
    looks += 1;
  }
  return { verdict: 'open', seconds: limitSeconds };
}

export function measureVerdict(
  seen: readonly Seen[],
  seed: number,
  count: number,
  perSecond: number,
  harm: Harm,
): VerdictFigure {
  const r = createSeededRandom(seed);
  const out: { verdict: string; seconds: number; live: boolean }[] = [];
  for (let i = 0; i < count; i += 1) {
    const first = stage(seen, r, 0.1, 0.3, perSecond, harm);
    const second = first.verdict === 'pass' ? stage(seen, r, 0.5, 0.5, perSecond, harm) : undefined;
    out.push({ ...first, seconds: first.seconds + (second?.seconds ?? 0), live: second?.verdict === 'pass' });
  }
  const times = out.map((x) => x.seconds).sort((a, b) => a - b);
  function of(v: string): number {
    return out.filter((x) => x.verdict === v).length / count;
  }
  return {
    passed: of('pass'),
    harmful: of('harmful'),
    open: of('open'),
    live: out.filter((x) => x.live).length / count,
    medianSeconds: times[Math.floor(count / 2)]!,
  };
}
