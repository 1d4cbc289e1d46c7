/**
 * How long the first answer of a worker is awaited before another worker is asked, where asking twice does no harm.
 *
 * A worker may answer everybody else and still never answer one request, so its load reports and its other answers
 * say nothing about that request. The only evidence is the time that has passed against the time expected. As in
 * RFC 6298, the patience is the expected time plus the usual error of that estimate plus four times its mean
 * deviation: it is short while estimates hold and grows by itself when all workers answer late. Short prompts are let
 * in before others, so the errors of their estimates are small and are kept apart.
 */
export type AttemptKind = 'read' | 'short read' | 'run from memory' | 'run alone' | 'short run alone';

/** The patience learnt from the answers so far. */
export interface AnswerPatience {
  /** The first answer came, or was given up on, after `took`; all times are microseconds. */
  readonly observe: (kind: AttemptKind, expected: number, took: number) => void;
  readonly of: (kind: AttemptKind, expected: number, least: number) => number;
}

interface EstimateError {
  mean: number;
  deviation: number;
}

const meanGain = 1 / 8;
const deviationGain = 1 / 4;
const deviations = 4;
const firstDeviation = 60_000;

/** Begins with no error seen and a deviation of 60 ms. */
export function createAnswerPatience(): AnswerPatience {
  const errors = new Map<AttemptKind, EstimateError>();

  function errorOf(kind: AttemptKind): EstimateError {
    let error = errors.get(kind);
    if (error === undefined) errors.set(kind, (error = { mean: 0, deviation: firstDeviation }));
    return error;
  }

  function observe(kind: AttemptKind, expected: number, took: number): void {
    const error = errorOf(kind);
    const miss = took - expected - error.mean;
    error.deviation += deviationGain * (Math.abs(miss) - error.deviation);
    error.mean += meanGain * miss;
  }

  function of(kind: AttemptKind, expected: number, least: number): number {
    const error = errorOf(kind);
    return Math.max(least, expected + Math.max(0, error.mean) + deviations * error.deviation);
  }

  return { observe, of };
}
