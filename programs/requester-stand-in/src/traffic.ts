/**
 * The traffic of the two deployments: tenants, kinds, prompts whose opening parts are shared by many others, and
 * the mix between them. All from a seed, so that a run can be had again.
 */
import { createSeededRandom } from '@tansypost/inner-protocol';
import type { DesiredState } from '@tansypost/desired-state';

export interface RequestKind {
  readonly kind: string;
  readonly weight: number;
  readonly promptTokens: readonly [number, number];
  readonly answerTokens: number;
  readonly worth: number;
  readonly patienceMs: number;
  readonly repeatable: boolean;
}
export interface Deployment {
  readonly name: string;
  readonly zones: number;
  readonly machines: number;
  readonly workers: number;
  readonly rate: number;
  readonly tenants: readonly string[];
  readonly kinds: readonly RequestKind[];
}

export const ferry: Deployment = {
  name: 'ferry',
  zones: 4,
  machines: 12,
  workers: 12,
  rate: 70,
  tenants: ['passengers', 'truckers', 'agencies'],
  kinds: [
    {
      kind: 'manifest_review',
      weight: 0.15,
      promptTokens: [1000, 2400],
      answerTokens: 120,
      worth: 5,
      patienceMs: 20_000,
      repeatable: true,
    },
    {
      kind: 'fare_quote',
      weight: 0.6,
      promptTokens: [200, 450],
      answerTokens: 32,
      worth: 3,
      patienceMs: 8000,
      repeatable: true,
    },
    {
      kind: 'seat_hold',
      weight: 0.25,
      promptTokens: [100, 200],
      answerTokens: 4,
      worth: 8,
      patienceMs: 5000,
      repeatable: false,
    },
  ],
};
export const coldStorage: Deployment = {
  name: 'cold-storage',
  zones: 3,
  machines: 10,
  workers: 6,
  rate: 35,
  tenants: ['clerks', 'hauliers', 'customs'],
  kinds: [
    {
      kind: 'spoilage_claim',
      weight: 0.15,
      promptTokens: [1200, 2600],
      answerTokens: 160,
      worth: 5,
      patienceMs: 25_000,
      repeatable: false,
    },
    {
      kind: 'bay_answer',
      weight: 0.6,
      promptTokens: [200, 450],
      answerTokens: 36,
      worth: 3,
      patienceMs: 8000,
      repeatable: true,
    },
    {
      kind: 'alarm_mark',
      weight: 0.25,
      promptTokens: [80, 180],
      answerTokens: 2,
      worth: 9,
      patienceMs: 4000,
      repeatable: true,
    },
  ],
};
export const deployments: { readonly [k: string]: Deployment } = { ferry, 'cold-storage': coldStorage };

export interface TestRequest {
  readonly id: string;
  readonly tenant: string;
  readonly kind: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly repeatable: boolean;
  readonly patienceMs: number;
  readonly worth: number;
}

export function buildDesiredState(d: Deployment, worthOf: (k: RequestKind) => number = (k) => k.worth): DesiredState {
  return {
    templates: d.tenants.map((tenant) => ({
      tenant,
      kinds: Object.fromEntries(
        d.kinds.map((k) => [
          k.kind,
          { worth: worthOf(k), patienceMs: k.patienceMs, share: Math.round(k.weight * 10), repeatable: k.repeatable },
        ]),
      ),
    })),
  };
}

function words(r: () => number, n: number): string {
  let s = '';
  for (let i = 0; i < n; i += 1)
    s += `${Math.floor(r() * 60466176)
      .toString(36)
      .padStart(5, '0')} `;
  return s;
}

export type TrafficMix = (k: RequestKind, at: number) => number;
export function steadyMix(k: RequestKind): number {
  return k.weight;
}
// Swings between long prompts and long answers with the period given in seconds.
export function oscillatingMix(period: number): TrafficMix {
  return function mix(k, at) {
    const long = 1 + 0.9 * Math.sin((2 * Math.PI * at) / period);
    return k.weight * (k.promptTokens[1] > 1000 ? long : 2 - long);
  };
}

export interface TrafficSource {
  readonly next: (at: number) => TestRequest;
}

export function createTraffic(d: Deployment, seed: number, mix: TrafficMix = steadyMix): TrafficSource {
  const r = createSeededRandom(seed);
  const shared = new Map<string, string>();
  let n = 0;
  function part(name: string, size: number): string {
    let s = shared.get(name);
    if (s === undefined) {
      s = words(createSeededRandom([...name].reduce((a, c) => (Math.imul(a, 31) + c.charCodeAt(0)) | 0, 7)), size);
      shared.set(name, s);
    }
    return s;
  }
  function next(at: number): TestRequest {
    n += 1;
    const ws = d.kinds.map((k) => mix(k, at));
    let u = r() * ws.reduce((a, b) => a + b, 0);
    let i = 0;
    while (i < ws.length - 1 && u >= ws[i]!) {
      u -= ws[i]!;
      i += 1;
    }
    const k = d.kinds[i]!;
    const tenant = d.tenants[Math.floor(r() * d.tenants.length)]!;
    const size = Math.round(k.promptTokens[0] + r() * (k.promptTokens[1] - k.promptTokens[0]));
    const group = Math.floor(r() ** 2 * 24);
    const opening = part(`${d.name}/${tenant}/${k.kind}`, Math.round(k.promptTokens[0] * 0.35));
    const file = part(`${d.name}/${k.kind}/${group}`, Math.round(k.promptTokens[0] * 0.4));
    const own = words(r, Math.max(8, size - Math.round(k.promptTokens[0] * 0.75)));
    return {
      id: `${d.name}-${seed}-${n}`,
      tenant,
      kind: k.kind,
      prompt: `${opening}${file}${own}${n}`,
      maxTokens: k.answerTokens,
      repeatable: k.repeatable,
      patienceMs: k.patienceMs,
      worth: k.worth,
    };
  }
  return { next };
}
