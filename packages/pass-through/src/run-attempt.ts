/** One attempt to have a request run by a decode worker, whose stream is passed on as it comes. */
import { micros } from '@tansypost/inner-protocol';
import type { WorkerPair } from './assign-pair.js';
import { createAttemptAbort } from './attempt-abort.js';
import { firstLookAtRun, longestPause, nextLookIn, runTiming } from './attempt-timing.js';
import type { HandlerContext } from './course-context.js';
import { createSseFramer } from './events.js';
import { hasSendLeft, mayMove, type InFlightRequest } from './in-flight-request.js';
import { alternativeTo, isWorthLeaving } from './pair-choice.js';
import type { ResponseHead, KvSource, RunResult, ResponseSink, RunParameters } from './ports.js';
import { splitReading } from './request-timeline.js';
import { finishRun } from './run-outcome.js';
import type { RunAttempt } from './run-under-way.js';

/** Where another available worker may take it up, one that has been silent for too long is left. */
function watch(context: HandlerContext, attempt: RunAttempt): void {
  const { inFlight, runner, timing, seen } = attempt;
  if (attempt.ended || !mayMove(inFlight)) return;
  const waited = context.world.now() - attempt.heardAt;
  const mayLeave = hasSendLeft(inFlight);
  const late = !seen && mayLeave && waited >= timing.overdueAfter;
  attempt.overdue = late && isWorthLeaving(context, inFlight, runner.id, waited, true);
  if (attempt.overdue || (mayLeave && isSilent(context, attempt, waited) && hasAlternative(context, attempt))) {
    context.count(attempt.overdue ? 'left an overdue run' : 'left a silent worker');
    attempt.abort.abort();
  } else {
    const next = nextLookIn(waited, seen ? longestPause(inFlight) : Math.min(timing.overdueAfter, timing.silentAfter));
    context.world.after(micros(next), () => watch(context, attempt));
  }
}

function isSilent(context: HandlerContext, attempt: RunAttempt, waited: number): boolean {
  if (attempt.seen) return waited >= longestPause(attempt.inFlight);
  return waited >= attempt.timing.silentAfter && context.fleet.isUnresponsive(attempt.runner.id);
}

function hasAlternative(context: HandlerContext, { inFlight, runner }: RunAttempt): boolean {
  return (
    context.retryBudget.hasRoom(inFlight.service.name) &&
    alternativeTo(context, inFlight, runner.id, true) !== undefined
  );
}

function begin(
  context: HandlerContext,
  inFlight: InFlightRequest,
  pair: WorkerPair,
  memory: KvSource | undefined,
): RunAttempt {
  const { world, fleet, ports } = context;
  const { decodeWorker: runner } = pair;
  const timing = runTiming(context, inFlight, pair, memory !== undefined);
  const under = fleet.startAttempt(runner.id, 'run', pair.decodeWorkerTokens, timing.expected);
  const abort = createAttemptAbort(world, inFlight);
  const begunAt = world.now();
  const heard = { seen: false, heardAt: begunAt, ended: false, overdue: false };
  const { serviceTime } = pair;
  const attempt: RunAttempt = { inFlight, runner, memory, timing, serviceTime, begunAt, abort, under, ...heard };
  if (mayMove(inFlight)) world.after(micros(firstLookAtRun(timing)), () => watch(context, attempt));
  inFlight.sends += 1;
  inFlight.workers.push(runner.id);
  if (memory === undefined) ports.announceActivity?.(runner.id, pair.serviceTime);
  context.count(memory === undefined ? 'run alone' : 'run from memory');
  return attempt;
}

function runTerms({ inFlight, memory, timing, begunAt }: RunAttempt): RunParameters {
  const asked = inFlight.request.lastEventId;
  const lastEvent = inFlight.begun ? (inFlight.cutter?.lastEventId() ?? asked) : asked;
  return {
    remainingTime: inFlight.limit - begunAt,
    urgency: timing.urgency,
    ...(memory === undefined ? {} : { kvSource: memory }),
    ...(lastEvent === undefined ? {} : { lastEventId: lastEvent }),
  };
}

function passHead(context: HandlerContext, attempt: RunAttempt, head: ResponseHead): void {
  const { inFlight } = attempt;
  attempt.under.progress();
  attempt.heardAt = context.world.now();
  if (inFlight.begun) return;
  inFlight.begun = true;
  inFlight.cutter = inFlight.path.streaming ? createSseFramer(inFlight.request.lastEventId) : undefined;
  inFlight.reply.head(head);
}

function spentOnFirstPiece({ inFlight, memory, serviceTime }: RunAttempt, took: number): void {
  const { parts } = inFlight.timeline;
  if (memory !== undefined) {
    parts.move += took;
    return;
  }
  const { queue, reading } = splitReading(took, serviceTime);
  parts.decodeQueue += queue;
  parts.decodePrefill += reading;
}

/** The first piece of a request, whichever of its attempts it came from: it has begun to run. */
function heardFirstPiece(context: HandlerContext, { inFlight, heardAt }: RunAttempt): void {
  inFlight.firstAt = heardAt;
  const { tenant } = inFlight.request;
  if (tenant !== undefined) context.ports.requestStarted?.(tenant);
}

/** Notes that a piece has come, for the estimates of this attempt and of its reader. */
function heardPiece(context: HandlerContext, attempt: RunAttempt): void {
  const { inFlight, timing } = attempt;
  const now = context.world.now();
  const { timeline } = inFlight;
  if (inFlight.pieces > 0) timeline.longestPause = Math.max(timeline.longestPause, now - inFlight.lastPieceAt);
  if (inFlight.pieces === 0) spentOnFirstPiece(attempt, now - attempt.begunAt);
  inFlight.lastPieceAt = now;
  attempt.heardAt = now;
  if (!attempt.seen) context.responseTimeouts.observe(timing.kind, timing.expected, attempt.heardAt - attempt.begunAt);
  attempt.seen = true;
  inFlight.pieces += 1;
  if (inFlight.pieces === 1) heardFirstPiece(context, attempt);
  if (inFlight.chosen !== undefined)
    context.ports.recordSample?.(inFlight.chosen.row, attempt.heardAt - inFlight.chosen.at);
  inFlight.chosen = undefined;
  attempt.under.progress();
}

/** Passes on the whole events that have come; a stream that leaves one out is ended. */
function passPiece(context: HandlerContext, attempt: RunAttempt, piece: Buffer): void | Promise<void> {
  const { cutter, reply } = attempt.inFlight;
  heardPiece(context, attempt);
  const events = cutter === undefined ? piece : cutter.push(piece);
  if (cutter?.hasGap() === true) attempt.abort.abort();
  return events.length > 0 ? reply.chunk(events) : undefined;
}

/** Runs the request on `pair.runner`. True when the request has been answered. */
export async function attemptRun(
  context: HandlerContext,
  inFlight: InFlightRequest,
  pair: WorkerPair,
  memory: KvSource | undefined,
): Promise<boolean> {
  const attempt = begin(context, inFlight, pair, memory);
  const terms = runTerms(attempt);
  if (inFlight.begun) inFlight.cutter?.resume();
  const sink: ResponseSink = {
    head: (head) => passHead(context, attempt, head),
    chunk: (piece) => passPiece(context, attempt, piece),
  };
  const { runner, abort } = attempt;
  const got: RunResult = await context.ports.workers.run(runner, inFlight.request, terms, sink, abort.signal);
  attempt.ended = true;
  abort.end();
  if (inFlight.pieces === 0 && got.tag !== 'whole')
    inFlight.timeline.parts.lostRun += context.world.now() - attempt.begunAt;
  return finishRun(context, attempt, got);
}
