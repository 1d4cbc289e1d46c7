/**
 * Deployments on which decisions are compared: three shapes like those that are known, and drawn ones. A site says what
 * is asked for, which workers there are, and how worth is weighed; days bring its load and its troubles.
 */
import { createSeededRandom } from '@tansypost/inner-protocol';
import type { EngineShape, LogNormal } from '../pass-through/engine-shape.js';
import { mainService, type PassedDeployment, type PassedKind } from '../pass-through/passed-deployment.js';

/** How the parts of a day's worth are weighed; they add up to 1. */
export interface ScoreWeights {
  readonly mean: number;
  readonly windows: number;
  readonly kinds: number;
  readonly zones: number;
  readonly nines: number;
}

/** What is charged, in worth. */
export interface CostRates {
  /** For each thousand tokens of shared parts that are read again. */
  readonly recompute: number;
  /** For each thousand tokens of memory moved. */
  readonly transfer: number;
}

/** A deployment with its goal. */
export interface DecisionSite {
  readonly name: string;
  readonly deployment: PassedDeployment;
  /** Machines that hold control state, and whether they run routers as well. */
  readonly replicas: number;
  readonly colocatedRouters: boolean;
  readonly weights: ScoreWeights;
  readonly rates: CostRates;
}

const millisecond = 1000;
const usualRates: CostRates = { recompute: 0.2, transfer: 0.0074 };

/** Engines of two sizes: a mixture of experts with small memory for each token, and a dense model with large. */
const sparseEngine: EngineShape = {
  slots: 64,
  queued: 192,
  step: 2.6 * millisecond,
  stepPerRun: 0.12 * millisecond,
  stepPerContextToken: 0.00384,
  perToken: millisecond / 48.2,
  perPair: 0.000248,
  firstTime: 14 * millisecond,
  firstStride: 1,
  stride: 12,
  prefillPiece: 1024,
  decodePiece: 256,
  idlePieces: 1,
  kvTokens: 410_894,
  tokenBytes: 18_432,
  linkMbps: 740_000,
  moveSetup: 2.5 * millisecond,
};
const denseEngine: EngineShape = {
  ...sparseEngine,
  slots: 16,
  queued: 48,
  step: 2.2 * millisecond,
  stepPerRun: 0,
  stepPerContextToken: 0.0175,
  perToken: millisecond / 140,
  perPair: 0.000295,
  firstTime: 53 * millisecond,
  stride: 19,
  kvTokens: 444_000,
  tokenBytes: 131_072,
  linkMbps: 1_100_000,
  moveSetup: 1.7 * millisecond,
};
const plainEngine: EngineShape = { ...denseEngine, slots: 6, kvTokens: 0, tokenBytes: 0, firstStride: 1, stride: 1 };

function logNormal(mean: number, spread: number, most: number): LogNormal {
  return { mean, spread, most };
}

interface KindTerms {
  readonly rate: number;
  readonly aimMs: number;
  readonly deadlineMs: number;
  readonly pauseMs: number;
  readonly worth: number;
  readonly rank: number;
  readonly sends: number;
  readonly resumable: boolean;
}

function modelKind(name: string, terms: KindTerms): Omit<PassedKind, 'draw' | 'shared' | 'own' | 'answer'> {
  return {
    name,
    rate: terms.rate,
    aim: terms.aimMs * millisecond,
    budget: terms.deadlineMs * millisecond,
    pause: terms.pauseMs * millisecond,
    rank: terms.rank,
    streaming: true,
    resumable: terms.resumable,
    repeatable: false,
    sends: terms.sends,
    furtherTries: 1,
    worth: terms.worth,
    lateWorth: 0.3 * terms.worth,
  };
}

/** Long, middle and small prompts, each opening with parts that others share. */
function longKind(name: string, terms: KindTerms, things: number, pieces: LogNormal): PassedKind {
  const shared = [
    { tokens: logNormal(512, 0.4, 1280), things: 3 },
    { tokens: logNormal(4870, 0.7, 14_600), things },
  ];
  const draw = { shared, own: logNormal(6610, 1.4, 54_600), pieces };
  return { ...modelKind(name, terms), shared: 5382, own: 6610, answer: 32, draw, bodyBytes: 12_000 };
}

function middleKind(name: string, terms: KindTerms, things: number, pieces: LogNormal): PassedKind {
  const shared = [
    { tokens: logNormal(119, 0.4, 298), things: Math.ceil(things / 29) },
    { tokens: logNormal(79, 0.7, 238), things },
  ];
  const draw = { shared, own: logNormal(628, 1, 3310), pieces };
  return { ...modelKind(name, terms), shared: 198, own: 628, answer: 24, draw, bodyBytes: 830 };
}

function smallKind(name: string, terms: KindTerms, things: number, pieces: LogNormal): PassedKind {
  const shared = [
    { tokens: logNormal(341, 0.4, 851), things: Math.ceil(things / 24) },
    { tokens: logNormal(227, 0.7, 681), things },
  ];
  const draw = { shared, own: logNormal(1800, 1.3, 6870), pieces };
  return { ...modelKind(name, terms), shared: 568, own: 1800, answer: 2, draw, bodyBytes: 2400 };
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
    aim: 120 * millisecond,
    pause: 0,
    budget: 1000 * millisecond,
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

const ninesGoal: ScoreWeights = { mean: 0.4, windows: 0.15, kinds: 0.1, zones: 0, nines: 0.35 };
const kindsGoal: ScoreWeights = { mean: 0.4, windows: 0.1, kinds: 0.3, zones: 0.2, nines: 0 };
const windowsGoal: ScoreWeights = { mean: 0.6, windows: 0.25, kinds: 0.15, zones: 0, nines: 0 };

function terms(over: Partial<KindTerms> & Pick<KindTerms, 'rate' | 'aimMs' | 'worth' | 'rank'>): KindTerms {
  return { deadlineMs: 8000, pauseMs: 300, sends: 2, resumable: false, ...over };
}

/** Many routers and workers of a dense model, beside a small service that is none. */
const dense: DecisionSite = {
  name: 'dense',
  replicas: 6,
  colocatedRouters: true,
  weights: ninesGoal,
  rates: usualRates,
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
        terms({ rate: 65, aimMs: 500, deadlineMs: 6000, pauseMs: 200, worth: 2, rank: 1, sends: 1 }),
        1118,
        logNormal(20.1, 0.44, 59),
      ),
      middleKind(
        'middle',
        terms({ rate: 67, aimMs: 250, deadlineMs: 6000, pauseMs: 200, worth: 3, rank: 0, sends: 2, resumable: true }),
        1163,
        logNormal(15.3, 0.69, 50),
      ),
      smallKind(
        'small',
        terms({ rate: 164, aimMs: 300, deadlineMs: 2000, pauseMs: 200, worth: 1, rank: 2, sends: 1 }),
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
        plain: { slots: 6, queued: 24, work: logNormal(15 * millisecond, 0.5, 110 * millisecond), failures: 0.004 },
      },
    ],
  },
};

function sparse(
  name: string,
  goal: ScoreWeights,
  shape: { zones: number; routers: number; workers: number; rate: number; replicas: number },
): DecisionSite {
  const { rate } = shape;
  const stream = { pauseMs: 300, sends: 2 };
  return {
    name,
    replicas: shape.replicas,
    colocatedRouters: false,
    weights: goal,
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
          terms({ ...stream, rate: 0.232 * rate, aimMs: 800, worth: 3, rank: 0, sends: 3, resumable: true }),
          Math.ceil(3.4 * rate),
          logNormal(8, 0.5, 30),
        ),
        middleKind(
          'middle',
          terms({ ...stream, rate: 0.413 * rate, aimMs: 800, worth: 2, rank: 1 }),
          Math.ceil(3.5 * rate),
          logNormal(6, 0.7, 25),
        ),
        smallKind(
          'small',
          terms({ ...stream, rate: 0.355 * rate, aimMs: 1500, deadlineMs: 2500, worth: 1, rank: 2, sends: 1 }),
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

/** The known shapes by name. */
export const decisionSites: { readonly [name: string]: DecisionSite } = {
  dense,
  'small-a': sparse('small-a', kindsGoal, { zones: 4, routers: 9, workers: 13, rate: 61, replicas: 3 }),
  'small-b': sparse('small-b', windowsGoal, { zones: 3, routers: 7, workers: 6, rate: 31, replicas: 3 }),
  'grown-a': sparse('grown-a', kindsGoal, { zones: 4, routers: 67, workers: 60, rate: 330, replicas: 5 }),
  'grown-b': sparse('grown-b', windowsGoal, { zones: 4, routers: 80, workers: 40, rate: 240, replicas: 5 }),
};

/**
 * A site that nobody has seen: other sizes, speeds, shares, mixes and aims, with machines for control alone or without.
 * The same seed gives the same site.
 */
export function generateSite(seed: number): DecisionSite {
  const random = createSeededRandom(seed * 2671 + 5);
  function between(low: number, high: number): number {
    return low + (high - low) * random();
  }
  function whole(low: number, high: number): number {
    return Math.round(between(low, high));
  }
  const base = random() < 0.5 ? denseEngine : sparseEngine;
  const speed = between(0.6, 1.6);
  const engine: EngineShape = {
    ...base,
    slots: whole(8, 64),
    queued: whole(24, 120),
    step: base.step * between(0.7, 1.4),
    perToken: base.perToken / speed,
    perPair: base.perPair / speed,
    firstTime: base.firstTime * between(0.3, 1.2),
    stride: whole(4, 20),
    kvTokens: whole(200_000, 600_000),
    linkMbps: base.linkMbps * between(0.3, 1.5),
  };
  const workers = whole(8, 40);
  const prefillShare = between(0.2, 0.5);
  const load = between(0.25, 0.6);
  // What one prompt of the mix takes to read, from which the rate follows that loads the readers so much.
  const [long, middle, small] = [between(0.05, 0.35), between(0.2, 0.5), between(0.2, 0.5)];
  const sum = long + middle + small;
  const tokens = (long * 12_000 + middle * 826 + small * 2368) / sum;
  const readers = workers * (prefillShare + 0.3 * (1 - prefillShare));
  const rate = Math.min(400, (load * readers * 1_000_000) / (tokens * engine.perToken * 1.3));
  const zones = ['a', 'b', 'c', 'd', 'e'].slice(0, whole(2, 5));
  const aims = between(0.8, 2);
  const base12 = denseEngine === base ? 1 : 1.8;
  const slow = Array.from({ length: whole(1, 4) }, () => between(1, 1.5));
  return {
    name: `drawn-${seed}`,
    replicas: random() < 0.5 ? 3 : 5,
    colocatedRouters: random() < 0.5,
    weights: [ninesGoal, kindsGoal, windowsGoal][Math.floor(random() * 3)]!,
    rates: { recompute: between(0.1, 0.3), transfer: between(0.003, 0.015) },
    deployment: {
      name: `drawn-${seed}`,
      zones,
      routers: whole(6, 30),
      workers,
      asideWorkers: 0,
      kvTokens: engine.kvTokens,
      sendSlack: whole(50, 200),
      clientsPerZone: whole(10, 60),
      clump: between(1, 4),
      kinds: [
        longKind(
          'long',
          terms({
            rate: (rate * long) / sum,
            aimMs: 500 * aims * base12,
            worth: whole(1, 3),
            rank: 1,
            sends: whole(1, 3),
            resumable: random() < 0.3,
          }),
          whole(20, 1200),
          logNormal(between(6, 20), 0.5, 60),
        ),
        middleKind(
          'middle',
          terms({
            rate: (rate * middle) / sum,
            aimMs: 250 * aims * base12,
            worth: whole(1, 3),
            rank: 0,
            sends: whole(1, 3),
            resumable: random() < 0.5,
          }),
          whole(20, 1200),
          logNormal(between(4, 16), 0.7, 50),
        ),
        smallKind(
          'small',
          terms({
            rate: (rate * small) / sum,
            aimMs: 300 * aims * base12,
            deadlineMs: whole(2000, 5000),
            worth: 1,
            rank: 2,
            sends: whole(1, 2),
          }),
          whole(20, 1900),
          logNormal(1.5, 1, 6),
        ),
      ],
      services: [{ name: mainService, workers, prefillShare, slow, engine }],
    },
  };
}
