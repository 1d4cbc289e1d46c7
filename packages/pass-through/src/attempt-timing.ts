/** How long an attempt at a worker is awaited, and how urgent it is there; times are microseconds. */
import type { AttemptKind } from './answer-patience.js';
import type { WorkerPair } from './assign-pair.js';
import type { HandlerContext } from './course-context.js';
import type { InFlightRequest } from './in-flight-request.js';
import { firstTimeFromMemory } from './pair-choice.js';

/** A worker that is silent to everybody is left after this, where that can do no harm. */
const readSilence = { least: 450_000, times: 2.5 };
const firstSilence = { least: 700_000, times: 3 };
const pauseSilence = { least: 900_000, times: 3 };
/**
 * How long a worker that answers others may leave one request unanswered. A run from memory waits for no prompt, and a
 * short prompt goes before others; a longer prompt may be behind others for long, and is left only when it is late for
 * its aim anyway.
 */
const memoryPatience = { least: 400_000, times: 3 };
const promptPatience = { leastShort: 400_000, times: 5 };
/** Prompts that take less than this to read are short. */
const shortRead = 60_000;

/** A silent attempt is looked at so often at first, and more and more seldom as it waits. */
const leastWatchInterval = 50_000;
const mostWatchInterval = 200_000;
const watchShare = 1 / 8;

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
  readonly silentAfter: number;
  /** Left after this though the worker answers others. */
  readonly overdueAfter: number;
  readonly urgency: number;
}

function isShort(pair: WorkerPair): boolean {
  return pair.serviceTime < shortRead;
}

function atLeast(bound: { readonly least: number; readonly times: number }, expected: number): number {
  return Math.max(bound.least, bound.times * expected);
}

function promptLeast(inFlight: InFlightRequest, pair: WorkerPair, expected: number): number {
  const least = isShort(pair) ? promptPatience.leastShort : inFlight.path.targetLatency;
  return atLeast({ least, times: promptPatience.times }, expected);
}

/**
 * Short prompts hold nobody up, so they go before the rest; of the others, what is left until the aim less what it takes
 * to read says how long it can wait, and what cannot be in time any more goes last, as it loses nothing by it.
 */
function urgencyOf(context: HandlerContext, inFlight: InFlightRequest, pair: WorkerPair): number {
  const { targetLatency: aim } = inFlight.path;
  const slack = inFlight.arrived + aim - context.world.now() - pair.serviceTime;
  if (isShort(pair)) return urgencies.short;
  if (slack < 0) return urgencies.late;
  if (slack < tightSlack * aim) return urgencies.tight;
  return slack < nearSlack * aim ? urgencies.near : urgencies.ample;
}

/** The timing of a read by the reader of `pair`. */
export function readTiming(context: HandlerContext, inFlight: InFlightRequest, pair: WorkerPair): AttemptTiming {
  const expected = pair.prefillTime;
  const kind: AttemptKind = isShort(pair) ? 'short read' : 'read';
  return {
    kind,
    expected,
    silentAfter: atLeast(readSilence, expected),
    overdueAfter: context.responseTimeouts.of(kind, expected, promptLeast(inFlight, pair, expected)),
    urgency: urgencyOf(context, inFlight, pair),
  };
}

/** The timing of a run on the runner of `pair`, from memory read elsewhere or alone. */
export function runTiming(
  context: HandlerContext,
  inFlight: InFlightRequest,
  pair: WorkerPair,
  fromMemory: boolean,
): AttemptTiming {
  const expected = fromMemory ? firstTimeFromMemory : pair.timeToFirstToken;
  const alone: AttemptKind = isShort(pair) ? 'short run alone' : 'run alone';
  const kind = fromMemory ? 'run from memory' : alone;
  const least = fromMemory ? atLeast(memoryPatience, expected) : promptLeast(inFlight, pair, expected);
  return {
    kind,
    expected,
    silentAfter: atLeast(firstSilence, pair.timeToFirstToken),
    overdueAfter: context.responseTimeouts.of(kind, expected, least),
    urgency: fromMemory ? urgencies.begun : urgencyOf(context, inFlight, pair),
  };
}

/**
 * How long after a look at an attempt the next one is due, where it has waited so long and can be left after `leftAfter`
 * at the earliest: a look costs a wake-up, and past that moment a search among all workers.
 */
export function nextLookIn(waited: number, leftAfter: number): number {
  const usual = Math.min(mostWatchInterval, Math.max(leastWatchInterval, watchShare * waited));
  return Math.max(usual, leftAfter - waited);
}

/** When a run is looked at first. */
export function firstLookAtRun(timing: AttemptTiming): number {
  return Math.min(timing.overdueAfter, firstSilence.least);
}

/** The pause after which a stream counts as silent. */
export function longestPause(inFlight: InFlightRequest): number {
  return atLeast(pauseSilence, inFlight.path.maxEventGap);
}
