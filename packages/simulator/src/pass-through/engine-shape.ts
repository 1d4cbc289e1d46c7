/** Performance model of the workers of a simulated service. Times are whole or fractional microseconds. */

/** A worker that prefills prompts and decodes tokens. */
export interface EngineShape {
  /** Maximum concurrent requests, and maximum queue length. */
  readonly slots: number;
  readonly queued: number;
  /** Time of a decode step, and the additional time per running request and per token of context. */
  readonly step: number;
  readonly stepPerRun: number;
  readonly stepPerContextToken: number;
  /** Prefill time at a prefill worker per token and per pair of tokens. Decode workers take twice as long. */
  readonly prefillPerToken: number;
  readonly prefillPerTokenPair: number;
  /** Delay before a prefill starts; it does not block other requests. */
  readonly prefillDelay: number;
  /** Tokens in the first event of a response, and in each later one. */
  readonly firstStride: number;
  readonly stride: number;
  /** Prefill chunk size in tokens at prefill and decode workers, and its factor when no request is decoding. */
  readonly prefillChunk: number;
  readonly decodeChunk: number;
  readonly idleChunkFactor: number;
  readonly kvTokens: number;
  readonly tokenBytes: number;
  readonly linkMbps: number;
  readonly transferSetup: number;
}

/** A worker of a service without a model: each request occupies a slot for some time. */
export interface PlainShape {
  readonly slots: number;
  readonly queued: number;
  readonly work: LogNormal;
  /** Probability, from 0 to 1, of a failure response. */
  readonly failures: number;
}

/** A log-normal distribution of sizes or times: mean, standard deviation of the logarithm, and upper bound. */
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

/** The default performance model. */
export function defaultEngine(kvTokens: number): EngineShape {
  return {
    slots: 64,
    queued: 40,
    step: 2600,
    stepPerRun: 40,
    stepPerContextToken: 0,
    prefillPerToken: 1 / 0.0482,
    prefillPerTokenPair: 0,
    prefillDelay: 0,
    firstStride: 4,
    stride: 4,
    prefillChunk: 1024,
    decodeChunk: 256,
    idleChunkFactor: 4,
    kvTokens,
    tokenBytes: 18_432,
    linkMbps: 740_000,
    transferSetup: 0,
  };
}
