/**
 * The synthetic traffic of the example deployments: tenants, kinds of requests and their mix, and prompts that share their
 * prefixes. It depends on the seed alone, so that a run can be repeated.
 */
import { createSeededRandom } from '@tansypost/inner-protocol';
import type { DesiredState } from '@tansypost/desired-state';

/** A kind of request; `weight` is its share of the traffic, `promptTokens` the minimum and maximum length. */
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
export const deployments: { readonly [name: string]: Deployment } = { ferry, 'cold-storage': coldStorage };

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

/** The desired state with one template per tenant; `priorityOf` gives the `worth` of a kind. */
export function buildDesiredState(
  deployment: Deployment,
  priorityOf: (kind: RequestKind) => number = (kind) => kind.worth,
): DesiredState {
  return {
    templates: deployment.tenants.map((tenant) => ({
      tenant,
      kinds: Object.fromEntries(
        deployment.kinds.map((kind) => [
          kind.kind,
          {
            worth: priorityOf(kind),
            patienceMs: kind.patienceMs,
            share: Math.round(kind.weight * 10),
            repeatable: kind.repeatable,
          },
        ]),
      ),
    })),
  };
}

function words(random: () => number, count: number): string {
  let text = '';
  for (let index = 0; index < count; index += 1)
    text += `${Math.floor(random() * 60466176)
      .toString(36)
      .padStart(5, '0')} `;
  return text;
}

/** The relative weight of a kind at a time, in seconds from the start. */
export type TrafficMix = (kind: RequestKind, at: number) => number;
export function steadyMix(kind: RequestKind): number {
  return kind.weight;
}
// Oscillates between mostly long and mostly short prompts.
export function oscillatingMix(periodSeconds: number): TrafficMix {
  return function mix(kind, at) {
    const longPromptFactor = 1 + 0.9 * Math.sin((2 * Math.PI * at) / periodSeconds);
    return kind.weight * (kind.promptTokens[1] > 1000 ? longPromptFactor : 2 - longPromptFactor);
  };
}

export interface TrafficSource {
  readonly next: (at: number) => TestRequest;
}

export function createTraffic(deployment: Deployment, seed: number, mix: TrafficMix = steadyMix): TrafficSource {
  const random = createSeededRandom(seed);
  const sharedParts = new Map<string, string>();
  let requestCount = 0;
  // The same words for the same name, so that prompts share them.
  function sharedPart(name: string, wordCount: number): string {
    let text = sharedParts.get(name);
    if (text === undefined) {
      text = words(
        createSeededRandom(
          [...name].reduce((hash, character) => (Math.imul(hash, 31) + character.charCodeAt(0)) | 0, 7),
        ),
        wordCount,
      );
      sharedParts.set(name, text);
    }
    return text;
  }
  function next(at: number): TestRequest {
    requestCount += 1;
    const weights = deployment.kinds.map((kind) => mix(kind, at));
    let remaining = random() * weights.reduce((sum, weight) => sum + weight, 0);
    let index = 0;
    while (index < weights.length - 1 && remaining >= weights[index]!) {
      remaining -= weights[index]!;
      index += 1;
    }
    const kind = deployment.kinds[index]!;
    const tenant = deployment.tenants[Math.floor(random() * deployment.tenants.length)]!;
    const wordCount = Math.round(kind.promptTokens[0] + random() * (kind.promptTokens[1] - kind.promptTokens[0]));
    const group = Math.floor(random() ** 2 * 24);
    const prefix = sharedPart(`${deployment.name}/${tenant}/${kind.kind}`, Math.round(kind.promptTokens[0] * 0.35));
    const document = sharedPart(`${deployment.name}/${kind.kind}/${group}`, Math.round(kind.promptTokens[0] * 0.4));
    const uniquePart = words(random, Math.max(8, wordCount - Math.round(kind.promptTokens[0] * 0.75)));
    return {
      id: `${deployment.name}-${seed}-${requestCount}`,
      tenant,
      kind: kind.kind,
      prompt: `${prefix}${document}${uniquePart}${requestCount}`,
      maxTokens: kind.answerTokens,
      repeatable: kind.repeatable,
      patienceMs: kind.patienceMs,
      worth: kind.worth,
    };
  }
  return { next };
}
