/** How long an attempt at a worker is awaited, and how urgent it is there; times are microseconds. */
import type { AttemptKind } from './response-timeouts.js';
import type { WorkerPair } from './assign-worker-pair.js';
import type { HandlerContext } from './handler-context.js';
import type { InFlightRequest } from './in-flight-request.js';
import { timeToFirstTokenFromKv } from './pair-selection.js';

/** A worker that is silent to everybody is left after this, where that can do no harm. */
const prefillSilence = { minMicros: 450_000, factor: 2.5 };
const runSilence = { minMicros: 700_000, factor: 3 };
const streamSilence = { minMicros: 900_000, factor: 3 };
/**
 * How long a worker that answers others may leave one request unanswered. A run from memory waits for no prompt, and a
 * short prompt goes before others; a longer prompt may be behind others for long, and is left only when it is late for
 * its aim anyway.
 */
const kvRunTimeout = { minMicros: 400_000, factor: 3 };
const prefillTimeout = { minShortMicros: 400_000, factor: 5 };
/** Prompts that take less than this to read are short. */
const maxShortPrefillMicros = 60_000;

/** A silent attempt is looked at so often at first, and more and more seldom as it waits. */
const minCheckIntervalMicros = 50_000;
const maxCheckIntervalMicros = 200_000;
const checkIntervalShare = 1 / 8;

/** Values of the urgency that workers admit by, the lowest first. */
const urgencies = { short: 1, begun: 2, tight: 3, near: 4, ample: 5, late: 7 };
/** Parts of the aim below which what is left to wait is tight or near. */
const tightSlack = 0.25;
const nearSlack = 0.6;

/** What one attempt is expected to take, and the silence after which it is left. */
export interface AttemptTiming {
  readonly kind: AttemptKind;
  readonly expected: number;
  /** Left after this if the worker is silent to everybody. */
  readonly unresponsiveAfter: number;
  /** Left after this though the worker answers others. */
  readonly overdueAfter: number;
  readonly urgency: number;
}

function isShort(pair: WorkerPair): boolean {
  return pair.serviceTime < maxShortPrefillMicros;
}

function timeoutOf(bound: { readonly minMicros: number; readonly factor: number }, expected: number): number {
  return Math.max(bound.minMicros, bound.factor * expected);
}

function minPrefillTimeout(inFlight: InFlightRequest, pair: WorkerPair, expected: number): number {
  const minMicros = isShort(pair) ? prefillTimeout.minShortMicros : inFlight.route.targetLatency;
  return timeoutOf({ minMicros, factor: prefillTimeout.factor }, expected);
}

/**
 * Short prompts hold nobody up, so they go before the rest; of the others, what is left until the aim less what it takes
 * to read says how long it can wait, and what cannot be in time any more goes last, as it loses nothing by it.
 */
function urgencyOf(context: HandlerContext, inFlight: InFlightRequest, pair: WorkerPair): number {
  const { targetLatency } = inFlight.route;
  const slack = inFlight.arrivedAt + targetLatency - context.world.now() - pair.serviceTime;
  if (isShort(pair)) return urgencies.short;
  if (slack < 0) return urgencies.late;
  if (slack < tightSlack * targetLatency) return urgencies.tight;
  return slack < nearSlack * targetLatency ? urgencies.near : urgencies.ample;
}

/** The timing of a read by the reader of `pair`. */
export function prefillTiming(context: HandlerContext, inFlight: InFlightRequest, pair: WorkerPair): AttemptTiming {
  const expected = pair.prefillTime;
  const kind: AttemptKind = isShort(pair) ? 'short read' : 'read';
  return {
    kind,
    expected,
    unresponsiveAfter: timeoutOf(prefillSilence, expected),
    overdueAfter: context.responseTimeouts.timeoutFor(kind, expected, minPrefillTimeout(inFlight, pair, expected)),
    urgency: urgencyOf(context, inFlight, pair),
  };
}

/** The timing of a run on the runner of `pair`, from memory read elsewhere or alone. */
export function runTiming(
  context: HandlerContext,
  inFlight: InFlightRequest,
  pair: WorkerPair,
  hasKv: boolean,
): AttemptTiming {
  const expected = hasKv ? timeToFirstTokenFromKv : pair.timeToFirstToken;
  const localKind: AttemptKind = isShort(pair) ? 'short run alone' : 'run alone';
  const kind = hasKv ? 'run from memory' : localKind;
  const minimum = hasKv ? timeoutOf(kvRunTimeout, expected) : minPrefillTimeout(inFlight, pair, expected);
  return {
    kind,
    expected,
    unresponsiveAfter: timeoutOf(runSilence, pair.timeToFirstToken),
    overdueAfter: context.responseTimeouts.timeoutFor(kind, expected, minimum),
    urgency: hasKv ? urgencies.begun : urgencyOf(context, inFlight, pair),
  };
}

/**
 * How long after a look at an attempt the next one is due, where it has waited so long and can be left after `leftAfter`
 * at the earliest: a look costs a wake-up, and past that moment a search among all workers.
 */
export function nextCheckIn(waited: number, earliestAbandon: number): number {
  const interval = Math.min(maxCheckIntervalMicros, Math.max(minCheckIntervalMicros, checkIntervalShare * waited));
  return Math.max(interval, earliestAbandon - waited);
}

/** When a run is looked at first. */
export function firstRunCheckIn(timing: AttemptTiming): number {
  return Math.min(timing.overdueAfter, runSilence.minMicros);
}

/** The pause after which a stream counts as silent. */
export function maxStreamSilence(inFlight: InFlightRequest): number {
  return timeoutOf(streamSilence, inFlight.route.maxEventGap);
}
