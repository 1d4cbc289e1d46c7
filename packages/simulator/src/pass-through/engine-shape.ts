/** How the workers of a virtual service compute. Times are whole or fractional microseconds. */

/** A worker that reads prompts and makes tokens. */
export interface EngineShape {
  /** Requests at a time, and how many more may wait. */
  readonly slots: number;
  readonly queued: number;
  /** One token of every running request, and how much longer that takes for each of them and each token of context. */
  readonly step: number;
  readonly stepPerRun: number;
  readonly stepPerContextToken: number;
  /** Reading a prompt at a prefill worker: for each token, and for each pair of tokens. Decode workers take twice that. */
  readonly perToken: number;
  readonly perPair: number;
  /** Before the reading of a prompt begins; it holds up no other. */
  readonly firstTime: number;
  /** Tokens in the first piece of an answer, and in each later one. */
  readonly firstStride: number;
  readonly stride: number;
  /** Tokens read between two steps, at prefill and decode workers, and how many times as many where nothing runs. */
  readonly prefillPiece: number;
  readonly decodePiece: number;
  readonly idlePieces: number;
  readonly kvTokens: number;
  readonly tokenBytes: number;
  readonly linkMbps: number;
  readonly moveSetup: number;
}

/** A worker of a service that is no model service: each request takes a slot for some time. */
export interface PlainShape {
  readonly slots: number;
  readonly queued: number;
  readonly work: LogNormal;
  /** How often, from 0 to 1, it answers that it failed. */
  readonly failures: number;
}

/** A distribution of sizes or times: its mean, the deviation of its logarithm, and a bound. */
export interface LogNormal {
  readonly mean: number;
  readonly spread: number;
  readonly most: number;
}

/** Draws by the Box-Muller transform. */
export function drawLogNormal(shape: LogNormal, random: () => number): number {
  if (shape.spread === 0) return Math.min(shape.most, shape.mean);
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const value = shape.mean * Math.exp(shape.spread * normal - (shape.spread * shape.spread) / 2);
  return Math.min(shape.most, value);
}

/** The engine that days have which say nothing else. */
export function usualEngine(kvTokens: number): EngineShape {
  return {
    slots: 64,
    queued: 40,
    step: 2600,
    stepPerRun: 40,
    stepPerContextToken: 0,
    perToken: 1 / 0.0482,
    perPair: 0,
    firstTime: 0,
    firstStride: 4,
    stride: 4,
    prefillPiece: 1024,
    decodePiece: 256,
    idlePieces: 4,
    kvTokens,
    tokenBytes: 18_432,
    linkMbps: 740_000,
    moveSetup: 0,
  };
}
