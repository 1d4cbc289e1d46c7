/**
 * Adaptive timeout for the first response of a worker, after which another worker is tried where a second attempt is
 * safe.
 *
 * A worker may answer all other requests and never answer one, so its load reports and its other responses say nothing
 * about that request. The only evidence is the elapsed time compared with the expected time. As in RFC 6298, the
 * timeout is the expected time plus the smoothed error of that estimate plus four times its mean deviation: it is short
 * while estimates are accurate and grows when all workers respond late. Workers admit short prompts before others, so
 * the errors of their estimates are small and are tracked separately.
 */

/**
 * Kinds of attempts whose estimation errors are tracked separately: prefills, runs with transferred KV cache (`run from
 * memory`) and runs with a local prefill (`run alone`).
 */
export type AttemptKind = 'read' | 'short read' | 'run from memory' | 'run alone' | 'short run alone';

/** Timeouts derived from the responses so far. */
export interface ResponseTimeouts {
  /** Records that the first response came, or was abandoned, after `took`; all times are microseconds. */
  readonly observe: (kind: AttemptKind, expected: number, took: number) => void;
  /** The timeout of an attempt, never below `minimum`. */
  readonly timeoutFor: (kind: AttemptKind, expected: number, minimum: number) => number;
}

interface EstimateError {
  mean: number;
  deviation: number;
}

const meanGain = 1 / 8;
const deviationGain = 1 / 4;
const deviationFactor = 4;
const initialDeviationMicros = 60_000;

/** Starts with an error of 0 and a mean deviation of 60 ms. */
export function createResponseTimeouts(): ResponseTimeouts {
  const errors = new Map<AttemptKind, EstimateError>();

  function errorFor(kind: AttemptKind): EstimateError {
    let error = errors.get(kind);
    if (error === undefined) errors.set(kind, (error = { mean: 0, deviation: initialDeviationMicros }));
    return error;
  }

  function observe(kind: AttemptKind, expected: number, took: number): void {
    const error = errorFor(kind);
    const residual = took - expected - error.mean;
    error.deviation += deviationGain * (Math.abs(residual) - error.deviation);
    error.mean += meanGain * residual;
  }

  function of(kind: AttemptKind, expected: number, minimum: number): number {
    const error = errorFor(kind);
    return Math.max(minimum, expected + Math.max(0, error.mean) + deviationFactor * error.deviation);
  }

  return { observe, timeoutFor: of };
}
