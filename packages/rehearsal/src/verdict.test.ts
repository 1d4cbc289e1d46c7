/** The verdict holds its level over all looks, on drawn answers with heavy tails. */
import { expect, it } from 'vitest';
import { createSeededRandom } from '@tansypost/inner-protocol';
import { countAnswer, createCohortCounts } from './cohort-counts.js';
import { requestsAtAnalysis, errorBudgetOf } from './error-spending.js';
import { upperNormalQuantile } from './statistics.js';
import { judgeRehearsal, verdictDefaults, type Verdict, type VerdictCounts } from './verdict.js';

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
  const cs = ['slice', 'control'].flatMap((a) => ['long', 'short'].map((s) => createCohortCounts(a, s)));
  let spell = 0;
  function normal(): number {
    return Math.sqrt(-2 * Math.log(r() + 1e-12)) * Math.cos(2 * Math.PI * r());
  }
  function drawTime(stratum: string, harmed: boolean): number {
    return (
      Math.log(stratum === 'long' ? 0.4 : 0.06) +
      spell +
      0.55 * normal() +
      (r() < 0.05 ? Math.log(5) : 0) +
      (harmed ? Math.log(truth.slower ?? 1) : 0)
    );
  }
  function step(n: number): void {
    for (let i = 0; i < n; i += 1) {
      spell = 0.95 * spell + 0.1 * normal();
      const u = r();
      if (u >= 4 * slice) continue;
      const harmed = u < slice;
      const c = cs[(harmed ? 0 : 2) + (r() < 0.3 ? 0 : 1)]!;
      const failed = r() < 0.002 + (harmed ? (truth.fail ?? 0) : 0);
      const l = failed ? Math.log(8) : drawTime(c.stratum, harmed);
      const k = failed ? undefined : Math.log(0.012) + 0.25 * normal() + (harmed ? Math.log(truth.thicker ?? 1) : 0);
      countAnswer(c, { failed, logTtft: l, logTokenTime: k });
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
    if (count < requestsAtAnalysis(n, verdictDefaults) && !last) continue;
    const v = judgeRehearsal(d.counts(), verdictDefaults, errorBudgetOf(n, last)).verdict;
    if (v !== 'open') return { verdict: v, seconds: s };
    n += 1;
  }
  return { verdict: 'open', seconds: 300 };
}
it('holds its level over all looks: harm at the margin seldom passes, the harmless is seldom called harmful, and most of it passes', () => {
  const r = createSeededRandom(77);
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
    let all = errorBudgetOf(last, true);
    for (let n = 0; n < last; n += 1) all += errorBudgetOf(n, false);
    expect(all).toBeCloseTo(0.05, 9);
  }
  for (const [a, z] of [
    [0.05, 1.645],
    [0.01, 2.326],
    [0.0025, 2.807],
  ] as const)
    expect(upperNormalQuantile(a)).toBeCloseTo(z, 2);
});
it('counts a failure with its patience, so that failing fast does not look quick', () => {
  const r = createSeededRandom(5);
  const d = draw(r, 0.1, { fail: 0.3 });
  d.step(20_000);
  const v = judgeRehearsal(d.counts(), { ...verdictDefaults, failureMargin: 1 }, 0.05);
  expect(v.verdict).toBe('harmful');
  expect(v.measured.why).toMatch(/TTFT/);
});
