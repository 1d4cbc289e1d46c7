// The verdict on a rehearsal: non-inferiority on two measures at once. The slice's TTFT, as the ratio of
// geometric means, must with 95 % confidence be no more than the margin above the control's; its
// share of failures no more than its own margin above. TTFT is compared within each kind of request
// and the differences are pooled, so that the mix does not blur them. Harm shown on either measure
// ends it; what is still open when its time is up is inconclusive, and inconclusive is not live.
import type { ArmCount } from '@tansypost/inner-protocol';
import type { ArmFigures, Measured } from './rehearsal.js';

export interface VerdictOptions {
  readonly minCount: number;
  readonly ttftMargin: number;
  readonly failureMargin: number;
}
export const verdictDefaults: VerdictOptions = { minCount: 200, ttftMargin: 0.1, failureMargin: 0.02 };
export type Verdict = 'open' | 'pass' | 'harmful';
type Counts = Pick<ArmCount, 'arm' | 'stratum' | 'count' | 'failures' | 'sum' | 'squares'>;
const z = 1.645;

function figures(cs: readonly Counts[]): ArmFigures {
  const t = cs.reduce((a, c) => ({ count: a.count + c.count, failures: a.failures + c.failures, sum: a.sum + c.sum, squares: a.squares + c.squares }), { count: 0, failures: 0, sum: 0, squares: 0 });
  const n = t.count - t.failures;
  const mean = n > 0 ? t.sum / n : 0;
  return { count: t.count, failures: t.failures, meanLog: mean, sdLog: n > 1 ? Math.sqrt(Math.max(0, t.squares / n - mean * mean) * (n / (n - 1))) : 0 };
}

// Wilson's bounds for a share, used as Newcombe does for a difference of two.
function wilson(k: number, n: number): { low: number; high: number; p: number } {
  const p = k / n;
  const d = 1 + (z * z) / n;
  const mid = (p + (z * z) / (2 * n)) / d;
  const half = (z * Math.sqrt((p * (1 - p)) / n + (z * z) / (4 * n * n))) / d;
  return { low: mid - half, high: mid + half, p };
}

function pooled(cs: readonly Counts[]): { diff: number; se: number; n: number } {
  let [all, diff, v] = [0, 0, 0];
  for (const s of new Set(cs.map((c) => c.stratum))) {
    const a = figures(cs.filter((c) => c.stratum === s && c.arm === 'slice'));
    const b = figures(cs.filter((c) => c.stratum === s && c.arm === 'control'));
    const [n, m] = [a.count - a.failures, b.count - b.failures];
    if (n < 5 || m < 5) continue;
    all += n;
    diff += n * (a.meanLog - b.meanLog);
    v += n * n * (a.sdLog ** 2 / n + b.sdLog ** 2 / m);
  }
  return all === 0 ? { diff: 0, se: Infinity, n: 0 } : { diff: diff / all, se: Math.sqrt(v) / all, n: all };
}

export function verdict(cs: readonly Counts[], o: VerdictOptions): { verdict: Verdict; measured: Measured } {
  const slice = figures(cs.filter((c) => c.arm === 'slice'));
  const control = figures(cs.filter((c) => c.arm === 'control'));
  function say(v: Verdict, why: string): { verdict: Verdict; measured: Measured } {
    return { verdict: v, measured: { slice, control, why } };
  }
  if (slice.count < 30 || control.count < 30) return say('open', 'too few requests yet');
  const [f, g] = [wilson(slice.failures, slice.count), wilson(control.failures, control.count)];
  const worst = f.p - g.p + Math.sqrt((f.high - f.p) ** 2 + (g.p - g.low) ** 2);
  const least = f.p - g.p - Math.sqrt((f.p - f.low) ** 2 + (g.high - g.p) ** 2);
  if (least > o.failureMargin) return say('harmful', `failures are at least ${(least * 100).toFixed(1)} points above the control`);
  const t = pooled(cs);
  if (t.n < 30) return say('open', 'too few answers yet');
  const margin = Math.log(1 + o.ttftMargin);
  if (t.diff - z * 1.5 * t.se > margin) return say('harmful', `TTFT is ${((Math.exp(t.diff) - 1) * 100).toFixed(1)} % above the control`);
  if (slice.count < o.minCount || control.count < o.minCount) return say('open', 'too few requests yet');
  if (t.diff + z * t.se < margin && worst < o.failureMargin) {
    return say('pass', `TTFT ${((Math.exp(t.diff) - 1) * 100).toFixed(1)} %, failures ${((f.p - g.p) * 100).toFixed(1)} points against the control`);
  }
  return say('open', 'neither harm nor its absence is shown yet');
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  const { seeded } = await import('@tansypost/inner-protocol');
  function arm(name: string, n: number, slower: number, fail: number, r: () => number): Counts[] {
    return ['long', 'short'].map((stratum, k) => {
      let [failures, sum, squares] = [0, 0, 0];
      for (let i = 0; i < n; i += 1) {
        if (r() < fail) {
          failures += 1;
          continue;
        }
        const l = Math.log((k === 0 ? 2 : 0.1) * slower) + 0.5 * Math.sqrt(-2 * Math.log(r() + 1e-12)) * Math.cos(2 * Math.PI * r());
        sum += l;
        squares += l * l;
      }
      return { arm: name, stratum, count: n, failures, sum, squares };
    });
  }
  it('passes what is harmless, catches harm, and leaves the rest open, over many draws', () => {
    const r = seeded(77);
    const n = { same: 0, slow: 0, failing: 0, few: 0 };
    for (let i = 0; i < 300; i += 1) {
      function against(k: number, slower: number, fail: number): Verdict {
        return verdict([...arm('slice', k, slower, fail, r), ...arm('control', 3 * k, 1, 0.001, r)], verdictDefaults).verdict;
      }
      if (against(300, 1, 0.001) === 'pass') n.same += 1;
      if (against(300, 1.2, 0.001) === 'pass') n.slow += 1;
      if (against(300, 1, 0.06) === 'pass') n.failing += 1;
      if (against(70, 1, 0) !== 'open') n.few += 1;
    }
    expect(n.same).toBeGreaterThan(200);
    expect(n.slow).toBeLessThan(6);
    expect(n.failing).toBe(0);
    expect(n.few).toBe(0);
  });
}
