/** Timeouts of one attempt at a worker, and its urgency there; times are microseconds. */
import type { AttemptKind } from './response-timeouts.js';
import type { WorkerPair } from './assign-worker-pair.js';
import type { HandlerContext } from './handler-context.js';
import type { InFlightRequest } from './in-flight-request.js';
import { timeToFirstTokenFromKvMicros } from './pair-selection.js';

/** A worker that answers no request is abandoned after this, where another attempt is safe. */
const prefillSilence = { minMicros: 450_000, factor: 2.5 };
const runSilence = { minMicros: 700_000, factor: 3 };
const streamSilence = { minMicros: 900_000, factor: 3 };
/**
 * How long a worker that answers other requests may leave one unanswered. A run with transferred KV cache waits for no
 * prefill, and a short prompt is admitted before others; a longer prompt may wait behind others for long, and is
 * abandoned only when it misses its target latency anyway.
 */
const kvRunTimeout = { minMicros: 400_000, factor: 3 };
const prefillTimeout = { minShortMicros: 400_000, factor: 5 };
/** Prompts whose prefill takes less than this are short. */
const maxShortPrefillMicros = 60_000;

/** Interval between checks of an unanswered attempt: a share of the time waited so far, within these bounds. */
const minCheckIntervalMicros = 50_000;
const maxCheckIntervalMicros = 200_000;
const checkIntervalShare = 1 / 8;

/** Urgency values; workers admit the lowest first. */
const urgencies = { short: 1, prefilled: 2, tight: 3, near: 4, ample: 5, late: 7 };
/** Shares of the target latency below which the remaining slack is tight or near. */
const tightSlack = 0.25;
const nearSlack = 0.6;

/** The expected duration of one attempt, and the times after which it is abandoned. */
export interface AttemptTiming {
  readonly kind: AttemptKind;
  readonly expected: number;
  /** Abandoned after this if the worker answers no request. */
  readonly unresponsiveAfter: number;
  /** Abandoned after this although the worker answers other requests. */
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
 * Short prompts delay no other request, so they go first. The order of the others follows their slack: the time left
 * until the target latency less the time of the prefill. Requests that have already missed the target go last, as they
 * lose nothing by waiting.
 */
function urgencyOf(context: HandlerContext, inFlight: InFlightRequest, pair: WorkerPair): number {
  const { targetLatency } = inFlight.route;
  const slack = inFlight.arrivedAt + targetLatency - context.world.now() - pair.serviceTime;
  if (isShort(pair)) return urgencies.short;
  if (slack < 0) return urgencies.late;
  if (slack < tightSlack * targetLatency) return urgencies.tight;
  return slack < nearSlack * targetLatency ? urgencies.near : urgencies.ample;
}

/** The timing of a prefill at the prefill worker of `pair`. */
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

/** The timing of a run at the decode worker of `pair`, with transferred KV cache or with a local prefill. */
export function runTiming(
  context: HandlerContext,
  inFlight: InFlightRequest,
  pair: WorkerPair,
  hasKv: boolean,
): AttemptTiming {
  const expected = hasKv ? timeToFirstTokenFromKvMicros : pair.timeToFirstToken;
  const localKind: AttemptKind = isShort(pair) ? 'short run alone' : 'run alone';
  const kind = hasKv ? 'run from memory' : localKind;
  const minimum = hasKv ? timeoutOf(kvRunTimeout, expected) : minPrefillTimeout(inFlight, pair, expected);
  return {
    kind,
    expected,
    unresponsiveAfter: timeoutOf(runSilence, pair.timeToFirstToken),
    overdueAfter: context.responseTimeouts.timeoutFor(kind, expected, minimum),
    urgency: hasKv ? urgencies.prefilled : urgencyOf(context, inFlight, pair),
  };
}

/**
 * Time until the next check of an attempt that has waited for `waited` and can be abandoned after `earliestAbandon`. A
 * check costs a wake-up and, past that time, a search among all workers.
 */
export function nextCheckIn(waited: number, earliestAbandon: number): number {
  const interval = Math.min(maxCheckIntervalMicros, Math.max(minCheckIntervalMicros, checkIntervalShare * waited));
  return Math.max(interval, earliestAbandon - waited);
}

/** Time from the start of a run to its first check. */
export function firstRunCheckIn(timing: AttemptTiming): number {
  return Math.min(timing.overdueAfter, runSilence.minMicros);
}

/** The gap between chunks after which a stream counts as unresponsive. */
export function maxStreamSilence(inFlight: InFlightRequest): number {
  return timeoutOf(streamSilence, inFlight.route.maxEventGap);
}
