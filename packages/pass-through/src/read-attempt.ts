/** One attempt to have a prompt read by a prefill worker. */
import { micros } from '@tansypost/inner-protocol';
import type { Reason } from '@tansypost/placement';
import { promptBlocks, type WorkerPair } from './assign-pair.js';
import { createAttemptAbort, type AttemptAbort } from './attempt-abort.js';
import { nextLookIn, readTiming, type AttemptTiming } from './attempt-timing.js';
import type { HandlerContext } from './course-context.js';
import { mayReadAgain, type InFlightRequest } from './in-flight-request.js';
import { isWorthLeaving } from './pair-choice.js';
import { splitReading } from './request-timeline.js';
import type { PrefillResult } from './ports.js';
import type { FleetWorker, AttemptTracker } from './worker-fleet.js';

/** Choices that need no line in the log. */
const usualReasons: readonly Reason[] = ['scored', 'explored', 'only'];

interface ReadAttempt {
  readonly inFlight: InFlightRequest;
  readonly pair: WorkerPair;
  readonly reader: FleetWorker;
  readonly timing: AttemptTiming;
  readonly begunAt: number;
  readonly abort: AttemptAbort;
  readonly under: AttemptTracker;
  ended: boolean;
  overdue: boolean;
}

/** Every choice is counted with its reason; those that were not the model's are told of now and then. */
function countReason(context: HandlerContext, reason: Reason): void {
  const times = context.count(`reader ${reason}`);
  if (!usualReasons.includes(reason) && Number.isInteger(Math.log10(times)))
    context.world.log(4001, { reason, n: times });
}

/** A worker that answers nobody is left; one that answers others, where another may be asked instead. */
function watch(context: HandlerContext, attempt: ReadAttempt): void {
  if (attempt.ended) return;
  const { inFlight, reader, timing } = attempt;
  const waited = context.world.now() - attempt.begunAt;
  const aloneOnly = !mayReadAgain(inFlight);
  attempt.overdue = waited >= timing.overdueAfter && isWorthLeaving(context, inFlight, reader.id, waited, aloneOnly);
  const silent = waited >= timing.silentAfter && context.fleet.isUnresponsive(reader.id);
  if (attempt.overdue || silent) attempt.abort.abort();
  else {
    const next = nextLookIn(waited, Math.min(timing.overdueAfter, timing.silentAfter));
    context.world.after(micros(next), () => watch(context, attempt));
  }
}

function begin(context: HandlerContext, inFlight: InFlightRequest, pair: WorkerPair, reader: FleetWorker): ReadAttempt {
  context.ports.announceActivity?.(reader.id, pair.serviceTime);
  const under = context.fleet.startAttempt(reader.id, 'read', pair.prefillWorkerTokens, pair.prefillTime);
  const timing = readTiming(context, inFlight, pair);
  const abort = createAttemptAbort(context.world, inFlight);
  const begunAt = context.world.now();
  const attempt = { inFlight, pair, reader, timing, begunAt, abort, under, ended: false, overdue: false };
  inFlight.reads += 1;
  inFlight.workers.push(reader.id);
  const firstLook = Math.min(timing.silentAfter, timing.overdueAfter);
  context.world.after(micros(firstLook), () => watch(context, attempt));
  return attempt;
}

function finishRead(context: HandlerContext, attempt: ReadAttempt): void {
  const { inFlight, pair, reader, begunAt } = attempt;
  const now = context.world.now();
  const { queue, reading } = splitReading(now - begunAt, pair.serviceTime);
  inFlight.timeline.parts.prefillQueue += queue;
  inFlight.timeline.parts.prefill += reading;
  attempt.under.finish('done');
  context.tree.insert(promptBlocks(inFlight.request), reader.id, now);
  if (pair.assignment === undefined) return;
  context.paces.saw(reader.id, pair.prefillWorkerTokens, now - begunAt, pair.assignment.worker.running);
  inFlight.chosen = { row: pair.assignment.row, at: begunAt };
  countReason(context, pair.assignment.reason);
}

function finishUnread(context: HandlerContext, attempt: ReadAttempt, got: PrefillResult): void {
  attempt.inFlight.timeline.parts.lostRead += context.world.now() - attempt.begunAt;
  const refused = got.tag === 'refused';
  const misdirected = refused && got.misdirected;
  if (attempt.overdue || (refused && !misdirected)) context.ports.announceActivity?.(attempt.reader.id, 0, true);
  if (attempt.overdue) {
    context.count('left an overdue read');
    attempt.under.finish('overdue');
  } else if (attempt.inFlight.gone.aborted) attempt.under.finish('left');
  else if (misdirected) attempt.under.finish('gone');
  else attempt.under.finish(refused ? 'refused' : 'failed');
}

/** Sends the request to `reader` to be read, until it answers, is left, or the request ends. */
export async function attemptRead(
  context: HandlerContext,
  inFlight: InFlightRequest,
  pair: WorkerPair,
  reader: FleetWorker,
): Promise<PrefillResult> {
  const { world, ports, responseTimeouts: patience } = context;
  const attempt = begin(context, inFlight, pair, reader);
  const { timing, begunAt, abort } = attempt;
  const left = inFlight.limit - begunAt;
  const got = await ports.workers.prefill(reader, inFlight.request, left, timing.urgency, abort.signal);
  attempt.ended = true;
  abort.end();
  if (got.tag === 'read' || attempt.overdue) patience.observe(timing.kind, timing.expected, world.now() - begunAt);
  if (got.tag === 'read') finishRead(context, attempt);
  else finishUnread(context, attempt, got);
  return got;
}
