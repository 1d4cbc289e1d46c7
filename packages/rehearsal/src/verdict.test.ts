/** The verdict keeps its error rate over all analyses, on simulated requests with heavy tails. */
import { expect, it } from 'vitest';
import { createSeededRandom } from '@tansypost/inner-protocol';
import { countAnswer, createCohortCounts } from './cohort-counts.js';
import { requestsAtAnalysis, errorBudgetOf } from './error-spending.js';
import { upperNormalQuantile } from './statistics.js';
import { judgeRehearsal, verdictDefaults, type Verdict, type VerdictCounts } from './verdict.js';

/** What the change really does to the requests that take it. */
interface TrueEffect {
  readonly ttftFactor?: number;
  readonly tokenTimeFactor?: number;
  readonly addedFailureRate?: number;
}
// TTFTs are autocorrelated as in a queue, alike for both cohorts, and have a heavy tail: one in twenty is five times as long.
function simulateRequests(
  random: () => number,
  treatmentShare: number,
  effect: TrueEffect,
): { step: (count: number) => void; counts: () => VerdictCounts[] } {
  const statistics = ['slice', 'control'].flatMap((arm) =>
    ['long', 'short'].map((stratum) => createCohortCounts(arm, stratum)),
  );
  let queueEffect = 0;
  function normal(): number {
    return Math.sqrt(-2 * Math.log(random() + 1e-12)) * Math.cos(2 * Math.PI * random());
  }
  function drawLogTtft(stratum: string, isTreated: boolean): number {
    return (
      Math.log(stratum === 'long' ? 0.4 : 0.06) +
      queueEffect +
      0.55 * normal() +
      (random() < 0.05 ? Math.log(5) : 0) +
      (isTreated ? Math.log(effect.ttftFactor ?? 1) : 0)
    );
  }
  function step(count: number): void {
    for (let i = 0; i < count; i += 1) {
      queueEffect = 0.95 * queueEffect + 0.1 * normal();
      const position = random();
      if (position >= 4 * treatmentShare) continue;
      const isTreated = position < treatmentShare;
      const counts = statistics[(isTreated ? 0 : 2) + (random() < 0.3 ? 0 : 1)]!;
      const failed = random() < 0.002 + (isTreated ? (effect.addedFailureRate ?? 0) : 0);
      const logTtft = failed ? Math.log(8) : drawLogTtft(counts.stratum, isTreated);
      const logTokenTime = failed
        ? undefined
        : Math.log(0.012) + 0.25 * normal() + (isTreated ? Math.log(effect.tokenTimeFactor ?? 1) : 0);
      countAnswer(counts, { failed, logTtft, logTokenTime });
    }
  }
  return { step, counts: () => statistics };
}
function rehearse(
  random: () => number,
  effect: TrueEffect,
  requestsPerSecond: number,
): { verdict: Verdict; seconds: number } {
  const simulation = simulateRequests(random, 0.1, effect);
  let analyses = 0;
  for (let second = 1; second <= 300; second += 1) {
    simulation.step(requestsPerSecond);
    const count = simulation
      .counts()
      .filter((cohort) => cohort.arm === 'slice')
      .reduce((sum, cohort) => sum + cohort.count, 0);
    const last = second === 300;
    if (count < requestsAtAnalysis(analyses, verdictDefaults) && !last) continue;
    const found = judgeRehearsal(simulation.counts(), verdictDefaults, errorBudgetOf(analyses, last)).verdict;
    if (found !== 'open') return { verdict: found, seconds: second };
    analyses += 1;
  }
  return { verdict: 'open', seconds: 300 };
}
it('keeps its error rate over all analyses: harm at the margin seldom passes, a harmless change is seldom called harmful and mostly passes', () => {
  const random = createSeededRandom(77);
  const runs = 200;
  const found = { none: 0, called: 0, slow: 0, thick: 0, failing: 0 };
  for (let i = 0; i < runs; i += 1) {
    const harmless = rehearse(random, { ttftFactor: 0.95 }, 70).verdict;
    if (harmless === 'pass') found.none += 1;
    if (harmless === 'harmful') found.called += 1;
    if (rehearse(random, { ttftFactor: 1.1 }, 70).verdict === 'pass') found.slow += 1;
    if (rehearse(random, { tokenTimeFactor: 1.1 }, 70).verdict === 'pass') found.thick += 1;
    if (rehearse(random, { addedFailureRate: 0.02 }, 70).verdict === 'pass') found.failing += 1;
  }
  console.log(
    `of ${runs} rehearsals, seed 77: harmless ${found.none} passed, ${found.called} called harmful; at the margin passed: TTFT ${found.slow}, time per token ${found.thick}, failures ${found.failing}`,
  );
  expect(found.none).toBeGreaterThan(0.6 * runs);
  // The error rate is 5 %; three standard errors at this number of runs are 4.6 percentage points.
  for (const wrong of ['slow', 'thick', 'failing', 'called'] as const) expect(found[wrong]).toBeLessThan(0.096 * runs);
});
it('spends exactly its error rate over all analyses, whichever is the last', () => {
  for (let last = 0; last <= 5; last += 1) {
    let spent = errorBudgetOf(last, true);
    for (let analysis = 0; analysis < last; analysis += 1) spent += errorBudgetOf(analysis, false);
    expect(spent).toBeCloseTo(0.05, 9);
  }
  for (const [alpha, deviations] of [
    [0.05, 1.645],
    [0.01, 2.326],
    [0.0025, 2.807],
  ] as const)
    expect(upperNormalQuantile(alpha)).toBeCloseTo(deviations, 2);
});
it('counts a failure with its whole timeout as TTFT, so that failing fast does not look good', () => {
  const random = createSeededRandom(5);
  const simulation = simulateRequests(random, 0.1, { addedFailureRate: 0.3 });
  simulation.step(20_000);
  const result = judgeRehearsal(simulation.counts(), { ...verdictDefaults, failureMargin: 1 }, 0.05);
  expect(result.verdict).toBe('harmful');
  expect(result.measured.why).toMatch(/TTFT/);
});
