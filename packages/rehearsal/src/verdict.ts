// The verdict on a rehearsal: non-inferiority of the slice against the control drawn beside it, on three measures at
// once: TTFT from arrival, time per token of the answer, and the share answered within patience. The first two are
// ratios of geometric means, compared within each kind of request and pooled, so that the mix does not blur them; a
// request that failed counts with its whole patience as TTFT, lest failing fast look good. To pass, all three must be
// shown to be within their margins; harm shown on any one of them ends it.
//
// It is looked at again and again, so the error is spent over looks that are fixed by the slice's count beforehand, as in
// Lan and DeMets, "Discrete sequential boundaries for clinical trials" (Biometrika 70, 1983). What a look may spend is
// bounded by the plain sum over the looks (Bonferroni) and not by the joint law of the looks: that costs some
// requests more, but holds however the answers depend on each other. Nothing is decided between the looks. The last
// look, when time is up, spends what is left.
import type { ArmCount } from '@tansypost/inner-protocol';
import type { ArmFigures, Measured } from './record.js';

export interface VerdictOptions {
  readonly minCount: number;
  readonly ttftMargin: number;
  readonly tokenMargin: number;
  readonly failureMargin: number;
}
export const verdictDefaults: VerdictOptions = {
  minCount: 200,
  ttftMargin: 0.1,
  tokenMargin: 0.1,
  failureMargin: 0.02,
};
export type Verdict = 'open' | 'pass' | 'harmful';
export type VerdictCounts = Pick<
  ArmCount,
  'arm' | 'stratum' | 'count' | 'failures' | 'sum' | 'squares' | 'tokenCount' | 'tokenSum' | 'tokenSquares'
>;

const level = 0.05;
const spending = [0.15, 0.2, 0.25, 0.2, 0.2];

// The slice's count at which look n is due; each look has twice the requests of the one before.
export function lookAt(n: number, o: VerdictOptions): number {
  return n < spending.length ? o.minCount * 2 ** n : Infinity;
}
// What look n may spend; the last one, at whatever count, all that is left.
export function spendOf(n: number, last: boolean): number {
  const left = level * spending.slice(n).reduce((a, x) => a + x, 0);
  return last ? left : level * (spending[n] ?? 0);
}
// The upper quantile of the normal law (Abramowitz and Stegun 26.2.23, to within 0.0005).
export function quantile(alpha: number): number {
  if (alpha <= 0) return Infinity;
  const t = Math.sqrt(-2 * Math.log(alpha));
  return t - (2.515517 + 0.802853 * t + 0.010328 * t * t) / (1 + 1.432788 * t + 0.189269 * t * t + 0.001308 * t ** 3);
}

interface Moments {
  readonly n: number;
  readonly mean: number;
  readonly variance: number;
}
function moments(n: number, sum: number, squares: number): Moments {
  const mean = n > 0 ? sum / n : 0;
  return { n, mean, variance: n > 1 ? (Math.max(0, squares / n - mean * mean) * n) / (n - 1) : 0 };
}
function total(cs: readonly VerdictCounts[], f: (c: VerdictCounts) => number): number {
  return cs.reduce((a, c) => a + f(c), 0);
}
function figures(cs: readonly VerdictCounts[]): ArmFigures {
  const m = moments(
    total(cs, (c) => c.count),
    total(cs, (c) => c.sum),
    total(cs, (c) => c.squares),
  );
  return { count: m.n, failures: total(cs, (c) => c.failures), meanLog: m.mean, sdLog: Math.sqrt(m.variance) };
}

// Wilson's bounds for a share, used as Newcombe does for a difference of two.
function wilson(k: number, n: number, z: number): { low: number; high: number; p: number } {
  const p = k / n;
  const d = 1 + (z * z) / n;
  const mid = (p + (z * z) / (2 * n)) / d;
  const half = (z * Math.sqrt((p * (1 - p)) / n + (z * z) / (4 * n * n))) / d;
  return { low: mid - half, high: mid + half, p };
}

function pooled(
  cs: readonly VerdictCounts[],
  f: (cs: readonly VerdictCounts[]) => Moments,
): { diff: number; se: number; n: number } {
  let [all, diff, v] = [0, 0, 0];
  for (const s of new Set(cs.map((c) => c.stratum))) {
    const a = f(cs.filter((c) => c.stratum === s && c.arm === 'slice'));
    const b = f(cs.filter((c) => c.stratum === s && c.arm === 'control'));
    if (a.n < 5 || b.n < 5) continue;
    // Weighted by what the scarcer arm lends, so that a full slice against a small control is weighed as its reverse.
    const weight = (a.n * b.n) / (a.n + b.n);
    all += weight;
    diff += weight * (a.mean - b.mean);
    v += weight * weight * (a.variance / a.n + b.variance / b.n);
  }
  return all === 0 ? { diff: 0, se: Infinity, n: 0 } : { diff: diff / all, se: Math.sqrt(v) / all, n: all };
}

function percent(x: number): string {
  return `${((Math.exp(x) - 1) * 100).toFixed(1)} %`;
}

export function verdict(
  cs: readonly VerdictCounts[],
  o: VerdictOptions,
  spend: number,
): { verdict: Verdict; measured: Measured } {
  const slice = figures(cs.filter((c) => c.arm === 'slice'));
  const control = figures(cs.filter((c) => c.arm === 'control'));
  function say(v: Verdict, why: string): { verdict: Verdict; measured: Measured } {
    return { verdict: v, measured: { slice, control, why } };
  }
  if (slice.count < 30 || control.count < 30) return say('open', 'too few requests yet');
  // Any of three measures may show harm, so each may spend a third of it.
  const [z, zHarm] = [quantile(spend), quantile(spend / 3)];
  function shares(q: number): { least: number; worst: number; diff: number } {
    const [f, g] = [wilson(slice.failures, slice.count, q), wilson(control.failures, control.count, q)];
    return {
      diff: f.p - g.p,
      worst: f.p - g.p + Math.sqrt((f.high - f.p) ** 2 + (g.p - g.low) ** 2),
      least: f.p - g.p - Math.sqrt((f.p - f.low) ** 2 + (g.high - g.p) ** 2),
    };
  }
  const fails = shares(z);
  if (shares(zHarm).least > o.failureMargin)
    return say(
      'harmful',
      `the share not answered in patience is ${(fails.diff * 100).toFixed(1)} points above the control's`,
    );
  const t = pooled(cs, (x) =>
    moments(
      total(x, (c) => c.count),
      total(x, (c) => c.sum),
      total(x, (c) => c.squares),
    ),
  );
  const k = pooled(cs, (x) =>
    moments(
      total(x, (c) => c.tokenCount),
      total(x, (c) => c.tokenSum),
      total(x, (c) => c.tokenSquares),
    ),
  );
  const [ttft, token] = [Math.log(1 + o.ttftMargin), Math.log(1 + o.tokenMargin)];
  if (t.diff - zHarm * t.se > ttft) return say('harmful', `TTFT is ${percent(t.diff)} above the control's`);
  if (k.diff - zHarm * k.se > token) return say('harmful', `time per token is ${percent(k.diff)} above the control's`);
  const found = `TTFT ${percent(t.diff)}, time per token ${percent(k.diff)}, not answered in patience ${(fails.diff * 100).toFixed(1)} points, against the control`;
  const fine =
    t.n > 0 && t.diff + z * t.se < ttft && k.n > 0 && k.diff + z * k.se < token && fails.worst < o.failureMargin;
  return slice.count >= o.minCount && control.count >= o.minCount && fine
    ? say('pass', found)
    : say('open', `${found}: neither harm nor its absence is shown yet`);
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  const { seeded } = await import('@tansypost/inner-protocol');
  interface Truth {
    readonly slower?: number;
    readonly thicker?: number;
    readonly fail?: number;
  }
  // Answers come in a queue's spells, which both arms share, and with heavy tails: one in twenty is five times as slow.
  function draw(
    r: () => number,
    slice: number,
    truth: Truth,
  ): { step: (n: number) => void; counts: () => VerdictCounts[] } {
    const cs = ['slice', 'control'].flatMap((a) =>
      ['long', 'short'].map((s) => ({
        arm: a,
        stratum: s,
        count: 0,
        failures: 0,
        sum: 0,
        squares: 0,
        tokenCount: 0,
        tokenSum: 0,
        tokenSquares: 0,
      })),
    );
    let spell = 0;
    function normal(): number {
      return Math.sqrt(-2 * Math.log(r() + 1e-12)) * Math.cos(2 * Math.PI * r());
    }
    function step(n: number): void {
      for (let i = 0; i < n; i += 1) {
        spell = 0.95 * spell + 0.1 * normal();
        const u = r();
        if (u >= 4 * slice) continue;
        const harmed = u < slice;
        const c = cs[(harmed ? 0 : 2) + (r() < 0.3 ? 0 : 1)]!;
        const failed = r() < 0.002 + (harmed ? (truth.fail ?? 0) : 0);
        const l = failed
          ? Math.log(8)
          : Math.log(c.stratum === 'long' ? 0.4 : 0.06) +
            spell +
            0.55 * normal() +
            (r() < 0.05 ? Math.log(5) : 0) +
            (harmed ? Math.log(truth.slower ?? 1) : 0);
        c.count += 1;
        c.failures += failed ? 1 : 0;
        c.sum += l;
        c.squares += l * l;
        if (failed) continue;
        const k = Math.log(0.012) + 0.25 * normal() + (harmed ? Math.log(truth.thicker ?? 1) : 0);
        c.tokenCount += 1;
        c.tokenSum += k;
        c.tokenSquares += k * k;
      }
    }
    return { step, counts: () => cs };
  }
  function rehearse(r: () => number, truth: Truth, rate: number): { verdict: Verdict; seconds: number } {
    const d = draw(r, 0.1, truth);
    let n = 0;
    for (let s = 1; s <= 300; s += 1) {
      d.step(rate);
      const count = d
        .counts()
        .filter((c) => c.arm === 'slice')
        .reduce((a, c) => a + c.count, 0);
      const last = s === 300;
      if (count < lookAt(n, verdictDefaults) && !last) continue;
      const v = verdict(d.counts(), verdictDefaults, spendOf(n, last)).verdict;
      if (v !== 'open') return { verdict: v, seconds: s };
      n += 1;
    }
    return { verdict: 'open', seconds: 300 };
  }
  it('holds its level over all looks: harm at the margin seldom passes, the harmless is seldom called harmful, and most of it passes', () => {
    const r = seeded(77);
    const runs = 200;
    const n = { none: 0, called: 0, slow: 0, thick: 0, failing: 0 };
    for (let i = 0; i < runs; i += 1) {
      const calm = rehearse(r, { slower: 0.95 }, 70).verdict;
      if (calm === 'pass') n.none += 1;
      if (calm === 'harmful') n.called += 1;
      if (rehearse(r, { slower: 1.1 }, 70).verdict === 'pass') n.slow += 1;
      if (rehearse(r, { thicker: 1.1 }, 70).verdict === 'pass') n.thick += 1;
      if (rehearse(r, { fail: 0.02 }, 70).verdict === 'pass') n.failing += 1;
    }
    console.log(
      `of ${runs} rehearsals, seed 77: harmless ${n.none} passed, ${n.called} called harmful; at the margin passed: TTFT ${n.slow}, time per token ${n.thick}, failures ${n.failing}`,
    );
    expect(n.none).toBeGreaterThan(0.6 * runs);
    // The level is 5 %; three standard errors of so many draws are 4.6 points.
    for (const k of ['slow', 'thick', 'failing', 'called'] as const) expect(n[k]).toBeLessThan(0.096 * runs);
  });
  it('spends no more than its level over all looks, whenever the last one comes', () => {
    for (let last = 0; last <= 5; last += 1) {
      let all = spendOf(last, true);
      for (let n = 0; n < last; n += 1) all += spendOf(n, false);
      expect(all).toBeCloseTo(0.05, 9);
    }
    for (const [a, z] of [
      [0.05, 1.645],
      [0.01, 2.326],
      [0.0025, 2.807],
    ] as const)
      expect(quantile(a)).toBeCloseTo(z, 2);
  });
  it('counts a failure with its patience, so that failing fast does not look quick', () => {
    const r = seeded(5);
    const d = draw(r, 0.1, { fail: 0.3 });
    d.step(20_000);
    const v = verdict(d.counts(), { ...verdictDefaults, failureMargin: 1 }, 0.05);
    expect(v.verdict).toBe('harmful');
    expect(v.measured.why).toMatch(/TTFT/);
  });
}
