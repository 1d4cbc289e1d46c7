/**
 * Deployments on which routing decisions are compared: three shapes modelled on known deployments, and random ones. A
 * site defines the requests, the workers and the score weights; the simulated day adds load and faults.
 */
import { createSeededRandom } from '@tansypost/inner-protocol';
import type { EngineShape, LogNormal } from '../pass-through/engine-shape.js';
import { mainService, type PassedDeployment, type PassedKind } from '../pass-through/passed-deployment.js';

/** The weights of the parts of a day's score; they add up to 1. */
export interface ScoreWeights {
  readonly mean: number;
  readonly windows: number;
  readonly kinds: number;
  readonly zones: number;
  readonly nines: number;
}

/** Costs in units of request value. */
export interface CostRates {
  /** Per thousand tokens of shared prefixes that are prefilled again. */
  readonly recompute: number;
  /** Per thousand tokens of KV cache transferred. */
  readonly transfer: number;
}

/** A deployment with its score weights and costs. */
export interface DecisionSite {
  readonly name: string;
  readonly deployment: PassedDeployment;
  /** The number of machines that hold control state. */
  readonly replicas: number;
  /** Whether these machines also run routers. */
  readonly colocatedRouters: boolean;
  readonly weights: ScoreWeights;
  readonly rates: CostRates;
}

const microsPerMs = 1000;
const defaultRates: CostRates = { recompute: 0.2, transfer: 0.0074 };

/** Two engines: a mixture-of-experts model with little KV cache per token, and a dense model with much. */
const sparseEngine: EngineShape = {
  slots: 64,
  queued: 192,
  step: 2.6 * microsPerMs,
  stepPerRun: 0.12 * microsPerMs,
  stepPerContextToken: 0.00384,
  prefillPerToken: microsPerMs / 48.2,
  prefillPerTokenPair: 0.000248,
  prefillDelay: 14 * microsPerMs,
  firstStride: 1,
  stride: 12,
  prefillChunk: 1024,
  decodeChunk: 256,
  idleChunkFactor: 1,
  kvTokens: 410_894,
  tokenBytes: 18_432,
  linkMbps: 740_000,
  transferSetup: 2.5 * microsPerMs,
};
const denseEngine: EngineShape = {
  ...sparseEngine,
  slots: 16,
  queued: 48,
  step: 2.2 * microsPerMs,
  stepPerRun: 0,
  stepPerContextToken: 0.0175,
  prefillPerToken: microsPerMs / 140,
  prefillPerTokenPair: 0.000295,
  prefillDelay: 53 * microsPerMs,
  stride: 19,
  kvTokens: 444_000,
  tokenBytes: 131_072,
  linkMbps: 1_100_000,
  transferSetup: 1.7 * microsPerMs,
};
const plainEngine: EngineShape = { ...denseEngine, slots: 6, kvTokens: 0, tokenBytes: 0, firstStride: 1, stride: 1 };

function logNormal(mean: number, spread: number, max: number): LogNormal {
  return { mean, spread, most: max };
}

interface KindOptions {
  readonly rate: number;
  readonly targetLatencyMs: number;
  readonly deadlineMs: number;
  readonly maxEventGapMs: number;
  readonly value: number;
  readonly priority: number;
  readonly maxAttempts: number;
  readonly resumable: boolean;
}

function modelKind(name: string, options: KindOptions): Omit<PassedKind, 'draw' | 'shared' | 'own' | 'answer'> {
  return {
    name,
    rate: options.rate,
    aim: options.targetLatencyMs * microsPerMs,
    budget: options.deadlineMs * microsPerMs,
    pause: options.maxEventGapMs * microsPerMs,
    rank: options.priority,
    streaming: true,
    resumable: options.resumable,
    repeatable: false,
    sends: options.maxAttempts,
    furtherTries: 1,
    worth: options.value,
    lateWorth: 0.3 * options.value,
  };
}

/** Kinds with long, medium and small prompts, each of which starts with prefixes that other prompts share. */
function longKind(name: string, options: KindOptions, prefixCount: number, outputChunks: LogNormal): PassedKind {
  const shared = [
    { tokens: logNormal(512, 0.4, 1280), things: 3 },
    { tokens: logNormal(4870, 0.7, 14_600), things: prefixCount },
  ];
  const draw = { shared, own: logNormal(6610, 1.4, 54_600), pieces: outputChunks };
  return { ...modelKind(name, options), shared: 5382, own: 6610, answer: 32, draw, bodyBytes: 12_000 };
}

function middleKind(name: string, options: KindOptions, prefixCount: number, outputChunks: LogNormal): PassedKind {
  const shared = [
    { tokens: logNormal(119, 0.4, 298), things: Math.ceil(prefixCount / 29) },
    { tokens: logNormal(79, 0.7, 238), things: prefixCount },
  ];
  const draw = { shared, own: logNormal(628, 1, 3310), pieces: outputChunks };
  return { ...modelKind(name, options), shared: 198, own: 628, answer: 24, draw, bodyBytes: 830 };
}

function smallKind(name: string, options: KindOptions, prefixCount: number, outputChunks: LogNormal): PassedKind {
  const shared = [
    { tokens: logNormal(341, 0.4, 851), things: Math.ceil(prefixCount / 24) },
    { tokens: logNormal(227, 0.7, 681), things: prefixCount },
  ];
  const draw = { shared, own: logNormal(1800, 1.3, 6870), pieces: outputChunks };
  return { ...modelKind(name, options), shared: 568, own: 1800, answer: 2, draw, bodyBytes: 2400 };
}

function plainKind(name: string, service: string, rate: number): PassedKind {
  const none = logNormal(0, 0, 0);
  return {
    name,
    service,
    rate,
    shared: 0,
    own: 0,
    answer: 1,
    aim: 120 * microsPerMs,
    pause: 0,
    budget: 1000 * microsPerMs,
    rank: 2,
    streaming: false,
    resumable: false,
    repeatable: false,
    sends: 1,
    furtherTries: 1,
    draw: { shared: [], own: none, pieces: logNormal(1, 0, 1) },
    worth: 1,
    lateWorth: 0.3,
    bodyBytes: 600,
  };
}

const ninesWeights: ScoreWeights = { mean: 0.4, windows: 0.15, kinds: 0.1, zones: 0, nines: 0.35 };
const kindsWeights: ScoreWeights = { mean: 0.4, windows: 0.1, kinds: 0.3, zones: 0.2, nines: 0 };
const windowsWeights: ScoreWeights = { mean: 0.6, windows: 0.25, kinds: 0.15, zones: 0, nines: 0 };

function kindOptions(
  overrides: Partial<KindOptions> & Pick<KindOptions, 'rate' | 'targetLatencyMs' | 'value' | 'priority'>,
): KindOptions {
  return { deadlineMs: 8000, maxEventGapMs: 300, maxAttempts: 2, resumable: false, ...overrides };
}

/** Many routers and workers of a dense model, plus a small service without a model. */
const dense: DecisionSite = {
  name: 'dense',
  replicas: 6,
  colocatedRouters: true,
  weights: ninesWeights,
  rates: defaultRates,
  deployment: {
    name: 'dense',
    zones: ['a', 'b', 'c'],
    routers: 73,
    workers: 63,
    asideWorkers: 3,
    kvTokens: denseEngine.kvTokens,
    sendSlack: 186,
    clientsPerZone: 55,
    clump: 3,
    rereadWindow: 4_900_000,
    kinds: [
      longKind(
        'long',
        kindOptions({
          rate: 65,
          targetLatencyMs: 500,
          deadlineMs: 6000,
          maxEventGapMs: 200,
          value: 2,
          priority: 1,
          maxAttempts: 1,
        }),
        1118,
        logNormal(20.1, 0.44, 59),
      ),
      middleKind(
        'middle',
        kindOptions({
          rate: 67,
          targetLatencyMs: 250,
          deadlineMs: 6000,
          maxEventGapMs: 200,
          value: 3,
          priority: 0,
          maxAttempts: 2,
          resumable: true,
        }),
        1163,
        logNormal(15.3, 0.69, 50),
      ),
      smallKind(
        'small',
        kindOptions({
          rate: 164,
          targetLatencyMs: 300,
          deadlineMs: 2000,
          maxEventGapMs: 200,
          value: 1,
          priority: 2,
          maxAttempts: 1,
        }),
        1889,
        logNormal(1.5, 1.4, 6),
      ),
      plainKind('receipt', 'plain', 74),
    ],
    services: [
      { name: mainService, workers: 63, prefillShare: 0.28, slow: [1, 1, 1.3], engine: denseEngine },
      {
        name: 'plain',
        workers: 3,
        prefillShare: 0,
        slow: [1, 1, 1.3],
        engine: plainEngine,
        plain: { slots: 6, queued: 24, work: logNormal(15 * microsPerMs, 0.5, 110 * microsPerMs), failures: 0.004 },
      },
    ],
  },
};

function sparse(
  name: string,
  weights: ScoreWeights,
  shape: { zones: number; routers: number; workers: number; rate: number; replicas: number },
): DecisionSite {
  const { rate } = shape;
  const stream = { maxEventGapMs: 300, maxAttempts: 2 };
  return {
    name,
    replicas: shape.replicas,
    colocatedRouters: false,
    weights,
    rates: { recompute: 0.22, transfer: 0.00756 },
    deployment: {
      name,
      zones: ['a', 'b', 'c', 'd'].slice(0, shape.zones),
      routers: shape.routers,
      workers: shape.workers,
      asideWorkers: 0,
      kvTokens: sparseEngine.kvTokens,
      sendSlack: 56,
      clientsPerZone: Math.ceil(shape.routers * 2.5),
      clump: 3,
      kinds: [
        longKind(
          'long',
          kindOptions({
            ...stream,
            rate: 0.232 * rate,
            targetLatencyMs: 800,
            value: 3,
            priority: 0,
            maxAttempts: 3,
            resumable: true,
          }),
          Math.ceil(3.4 * rate),
          logNormal(8, 0.5, 30),
        ),
        middleKind(
          'middle',
          kindOptions({ ...stream, rate: 0.413 * rate, targetLatencyMs: 800, value: 2, priority: 1 }),
          Math.ceil(3.5 * rate),
          logNormal(6, 0.7, 25),
        ),
        smallKind(
          'small',
          kindOptions({
            ...stream,
            rate: 0.355 * rate,
            targetLatencyMs: 1500,
            deadlineMs: 2500,
            value: 1,
            priority: 2,
            maxAttempts: 1,
          }),
          Math.ceil(5.7 * rate),
          logNormal(1.2, 1, 5),
        ),
      ],
      services: [
        { name: mainService, workers: shape.workers, prefillShare: 0.4, slow: [1, 1, 1.3], engine: sparseEngine },
      ],
    },
  };
}

/** The known deployment shapes by name. */
export const decisionSites: { readonly [name: string]: DecisionSite } = {
  dense,
  'small-a': sparse('small-a', kindsWeights, { zones: 4, routers: 9, workers: 13, rate: 61, replicas: 3 }),
  'small-b': sparse('small-b', windowsWeights, { zones: 3, routers: 7, workers: 6, rate: 31, replicas: 3 }),
  'grown-a': sparse('grown-a', kindsWeights, { zones: 4, routers: 67, workers: 60, rate: 330, replicas: 5 }),
  'grown-b': sparse('grown-b', windowsWeights, { zones: 4, routers: 80, workers: 40, rate: 240, replicas: 5 }),
};

/**
 * Generates a random site: sizes, speeds, shares, request mix and target latencies vary, as does whether control machines
 * also run routers. The same seed gives the same site.
 */
export function generateSite(seed: number): DecisionSite {
  const random = createSeededRandom(seed * 2671 + 5);
  function between(low: number, high: number): number {
    return low + (high - low) * random();
  }
  function integerBetween(low: number, high: number): number {
    return Math.round(between(low, high));
  }
  const baseEngine = random() < 0.5 ? denseEngine : sparseEngine;
  const speed = between(0.6, 1.6);
  const engine: EngineShape = {
    ...baseEngine,
    slots: integerBetween(8, 64),
    queued: integerBetween(24, 120),
    step: baseEngine.step * between(0.7, 1.4),
    prefillPerToken: baseEngine.prefillPerToken / speed,
    prefillPerTokenPair: baseEngine.prefillPerTokenPair / speed,
    prefillDelay: baseEngine.prefillDelay * between(0.3, 1.2),
    stride: integerBetween(4, 20),
    kvTokens: integerBetween(200_000, 600_000),
    linkMbps: baseEngine.linkMbps * between(0.3, 1.5),
  };
  const workers = integerBetween(8, 40);
  const prefillShare = between(0.2, 0.5);
  const load = between(0.25, 0.6);
  // The mean tokens of a prompt in the mix; the request rate follows from the load that the prefill workers should have.
  const [long, middle, small] = [between(0.05, 0.35), between(0.2, 0.5), between(0.2, 0.5)];
  const sum = long + middle + small;
  const meanTokens = (long * 12_000 + middle * 826 + small * 2368) / sum;
  const prefillWorkers = workers * (prefillShare + 0.3 * (1 - prefillShare));
  const rate = Math.min(400, (load * prefillWorkers * 1_000_000) / (meanTokens * engine.prefillPerToken * 1.3));
  const zones = ['a', 'b', 'c', 'd', 'e'].slice(0, integerBetween(2, 5));
  const latencyFactor = between(0.8, 2);
  const engineLatencyFactor = denseEngine === baseEngine ? 1 : 1.8;
  const slow = Array.from({ length: integerBetween(1, 4) }, () => between(1, 1.5));
  return {
    name: `drawn-${seed}`,
    replicas: random() < 0.5 ? 3 : 5,
    colocatedRouters: random() < 0.5,
    weights: [ninesWeights, kindsWeights, windowsWeights][Math.floor(random() * 3)]!,
    rates: { recompute: between(0.1, 0.3), transfer: between(0.003, 0.015) },
    deployment: {
      name: `drawn-${seed}`,
      zones,
      routers: integerBetween(6, 30),
      workers,
      asideWorkers: 0,
      kvTokens: engine.kvTokens,
      sendSlack: integerBetween(50, 200),
      clientsPerZone: integerBetween(10, 60),
      clump: between(1, 4),
      kinds: [
        longKind(
          'long',
          kindOptions({
            rate: (rate * long) / sum,
            targetLatencyMs: 500 * latencyFactor * engineLatencyFactor,
            value: integerBetween(1, 3),
            priority: 1,
            maxAttempts: integerBetween(1, 3),
            resumable: random() < 0.3,
          }),
          integerBetween(20, 1200),
          logNormal(between(6, 20), 0.5, 60),
        ),
        middleKind(
          'middle',
          kindOptions({
            rate: (rate * middle) / sum,
            targetLatencyMs: 250 * latencyFactor * engineLatencyFactor,
            value: integerBetween(1, 3),
            priority: 0,
            maxAttempts: integerBetween(1, 3),
            resumable: random() < 0.5,
          }),
          integerBetween(20, 1200),
          logNormal(between(4, 16), 0.7, 50),
        ),
        smallKind(
          'small',
          kindOptions({
            rate: (rate * small) / sum,
            targetLatencyMs: 300 * latencyFactor * engineLatencyFactor,
            deadlineMs: integerBetween(2000, 5000),
            value: 1,
            priority: 2,
            maxAttempts: integerBetween(1, 2),
          }),
          integerBetween(20, 1900),
          logNormal(1.5, 1, 6),
        ),
      ],
      services: [{ name: mainService, workers, prefillShare, slow, engine }],
    },
  };
}
