/** One attempt to have a request run by a decode worker, whose stream is passed on as it comes. */
import { micros } from '@tansypost/inner-protocol';
import type { Pair } from './assign-pair.js';
import { createAttemptAbort } from './attempt-abort.js';
import { firstLookAtRun, longestPause, nextLookIn, runTiming } from './attempt-timing.js';
import type { CourseContext } from './course-context.js';
import { createEventCutter } from './events.js';
import { hasSendLeft, mayMove, type InFlightRequest } from './in-flight-request.js';
import { alternativeTo, isWorthLeaving } from './pair-choice.js';
import type { AnswerHead, MemorySource, RunResult, RunSink, RunTerms } from './ports.js';
import { splitReading } from './request-timeline.js';
import { finishRun } from './run-outcome.js';
import type { RunAttempt } from './run-under-way.js';

/** Where another available worker may take it up, one that has been silent for too long is left. */
function watch(context: CourseContext, attempt: RunAttempt): void {
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

function isSilent(context: CourseContext, attempt: RunAttempt, waited: number): boolean {
  if (attempt.seen) return waited >= longestPause(attempt.inFlight);
  return waited >= attempt.timing.silentAfter && context.fleet.silent(attempt.runner.id);
}

function hasAlternative(context: CourseContext, { inFlight, runner }: RunAttempt): boolean {
  return context.budget.room(inFlight.service.name) && alternativeTo(context, inFlight, runner.id, true) !== undefined;
}

function begin(
  context: CourseContext,
  inFlight: InFlightRequest,
  pair: Pair,
  memory: MemorySource | undefined,
): RunAttempt {
  const { world, fleet, ports } = context;
  const { runner } = pair;
  const timing = runTiming(context, inFlight, pair, memory !== undefined);
  const under = fleet.began(runner.id, 'run', pair.runnerTokens, timing.expected);
  const abort = createAttemptAbort(world, inFlight);
  const begunAt = world.now();
  const heard = { seen: false, heardAt: begunAt, ended: false, overdue: false };
  const { serviceTime } = pair;
  const attempt: RunAttempt = { inFlight, runner, memory, timing, serviceTime, begunAt, abort, under, ...heard };
  if (mayMove(inFlight)) world.after(micros(firstLookAtRun(timing)), () => watch(context, attempt));
  inFlight.sends += 1;
  inFlight.workers.push(runner.id);
  if (memory === undefined) ports.reading?.(runner.id, pair.serviceTime);
  context.count(memory === undefined ? 'run alone' : 'run from memory');
  return attempt;
}

function runTerms({ inFlight, memory, timing, begunAt }: RunAttempt): RunTerms {
  const asked = inFlight.request.lastEvent;
  const lastEvent = inFlight.begun ? (inFlight.cutter?.last() ?? asked) : asked;
  return {
    left: inFlight.limit - begunAt,
    urgency: timing.urgency,
    ...(memory === undefined ? {} : { from: memory }),
    ...(lastEvent === undefined ? {} : { lastEvent }),
  };
}

function passHead(context: CourseContext, attempt: RunAttempt, head: AnswerHead): void {
  const { inFlight } = attempt;
  attempt.under.progress();
  attempt.heardAt = context.world.now();
  if (inFlight.begun) return;
  inFlight.begun = true;
  inFlight.cutter = inFlight.path.streaming ? createEventCutter(inFlight.request.lastEvent) : undefined;
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
function heardFirstPiece(context: CourseContext, { inFlight, heardAt }: RunAttempt): void {
  inFlight.firstAt = heardAt;
  const { tenant } = inFlight.request;
  if (tenant !== undefined) context.ports.began?.(tenant);
}

/** Notes that a piece has come, for the estimates of this attempt and of its reader. */
function heardPiece(context: CourseContext, attempt: RunAttempt): void {
  const { inFlight, timing } = attempt;
  const now = context.world.now();
  const { timeline } = inFlight;
  if (inFlight.pieces > 0) timeline.longestPause = Math.max(timeline.longestPause, now - inFlight.lastPieceAt);
  if (inFlight.pieces === 0) spentOnFirstPiece(attempt, now - attempt.begunAt);
  inFlight.lastPieceAt = now;
  attempt.heardAt = now;
  if (!attempt.seen) context.patience.observe(timing.kind, timing.expected, attempt.heardAt - attempt.begunAt);
  attempt.seen = true;
  inFlight.pieces += 1;
  if (inFlight.pieces === 1) heardFirstPiece(context, attempt);
  if (inFlight.chosen !== undefined) context.ports.sample?.(inFlight.chosen.row, attempt.heardAt - inFlight.chosen.at);
  inFlight.chosen = undefined;
  attempt.under.progress();
}

/** Passes on the whole events that have come; a stream that leaves one out is ended. */
function passPiece(context: CourseContext, attempt: RunAttempt, piece: Buffer): void | Promise<void> {
  const { cutter, reply } = attempt.inFlight;
  heardPiece(context, attempt);
  const events = cutter === undefined ? piece : cutter.push(piece);
  if (cutter?.gap() === true) attempt.abort.abort();
  return events.length > 0 ? reply.chunk(events) : undefined;
}

/** Runs the request on `pair.runner`. True when the request has been answered. */
export async function attemptRun(
  context: CourseContext,
  inFlight: InFlightRequest,
  pair: Pair,
  memory: MemorySource | undefined,
): Promise<boolean> {
  const attempt = begin(context, inFlight, pair, memory);
  const terms = runTerms(attempt);
  if (inFlight.begun) inFlight.cutter?.again();
  const sink: RunSink = {
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
