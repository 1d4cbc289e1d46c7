/** One attempt to prefill a prompt at a prefill worker. */
import { micros } from '@tansypost/inner-protocol';
import type { PlacementReason } from '@tansypost/placement';
import { promptBlocks, type WorkerPair } from './assign-worker-pair.js';
import { createAttemptAbort, type AttemptAbort } from './attempt-abort.js';
import { nextCheckIn, prefillTiming, type AttemptTiming } from './attempt-timing.js';
import type { HandlerContext } from './handler-context.js';
import { mayPrefillAgain, type InFlightRequest } from './in-flight-request.js';
import { isWorthAbandoning } from './pair-selection.js';
import { splitPrefillTime } from './request-timeline.js';
import type { PrefillResult } from './ports.js';
import type { FleetWorker, AttemptTracker } from './worker-fleet.js';

/** Reasons for a choice that are not logged. */
const unloggedReasons: readonly PlacementReason[] = ['scored', 'explored', 'only'];

interface PrefillAttempt {
  readonly inFlight: InFlightRequest;
  readonly pair: WorkerPair;
  readonly prefillWorker: FleetWorker;
  readonly timing: AttemptTiming;
  readonly startedAt: number;
  readonly abort: AttemptAbort;
  readonly tracker: AttemptTracker;
  ended: boolean;
  overdue: boolean;
}

/** Counts every choice by its reason; reasons other than the model's are logged at each power of ten. */
function countReason(context: HandlerContext, reason: PlacementReason): void {
  const times = context.count(`reader ${reason}`);
  if (!unloggedReasons.includes(reason) && Number.isInteger(Math.log10(times)))
    context.world.log(4001, { reason, n: times });
}

/** Abandons a worker that answers no request, and one that answers others where an alternative is worth it. */
function checkPrefill(context: HandlerContext, attempt: PrefillAttempt): void {
  if (attempt.ended) return;
  const { inFlight, prefillWorker, timing } = attempt;
  const waited = context.world.now() - attempt.startedAt;
  const localPrefillOnly = !mayPrefillAgain(inFlight);
  attempt.overdue =
    waited >= timing.overdueAfter && isWorthAbandoning(context, inFlight, prefillWorker.id, waited, localPrefillOnly);
  const unresponsive = waited >= timing.unresponsiveAfter && context.fleet.isUnresponsive(prefillWorker.id);
  if (attempt.overdue || unresponsive) attempt.abort.abort();
  else {
    const interval = nextCheckIn(waited, Math.min(timing.overdueAfter, timing.unresponsiveAfter));
    context.world.after(micros(interval), () => checkPrefill(context, attempt));
  }
}

function startPrefill(
  context: HandlerContext,
  inFlight: InFlightRequest,
  pair: WorkerPair,
  prefillWorker: FleetWorker,
): PrefillAttempt {
  context.ports.announceActivity?.(prefillWorker.id, pair.serviceTime);
  const tracker = context.fleet.startAttempt(prefillWorker.id, 'read', pair.prefillWorkerTokens, pair.prefillTime);
  const timing = prefillTiming(context, inFlight, pair);
  const abort = createAttemptAbort(context.world, inFlight);
  const startedAt = context.world.now();
  const attempt = {
    inFlight,
    pair,
    prefillWorker,
    timing,
    startedAt,
    abort,
    tracker,
    ended: false,
    overdue: false,
  };
  inFlight.prefillAttempts += 1;
  inFlight.workerIds.push(prefillWorker.id);
  const firstCheck = Math.min(timing.unresponsiveAfter, timing.overdueAfter);
  context.world.after(micros(firstCheck), () => checkPrefill(context, attempt));
  return attempt;
}

function finishPrefill(context: HandlerContext, attempt: PrefillAttempt): void {
  const { inFlight, pair, prefillWorker, startedAt } = attempt;
  const now = context.world.now();
  const { queue, prefill } = splitPrefillTime(now - startedAt, pair.serviceTime);
  inFlight.timeline.parts.prefillQueue += queue;
  inFlight.timeline.parts.prefill += prefill;
  attempt.tracker.finish('done');
  context.prefixTree.insert(promptBlocks(inFlight.request), prefillWorker.id, now);
  if (pair.assignment === undefined) return;
  context.throughput.record(
    prefillWorker.id,
    pair.prefillWorkerTokens,
    now - startedAt,
    pair.assignment.worker.running,
  );
  inFlight.placementSample = { features: pair.assignment.featureRow, chosenAt: startedAt };
  countReason(context, pair.assignment.reason);
}

function finishFailedPrefill(context: HandlerContext, attempt: PrefillAttempt, result: PrefillResult): void {
  attempt.inFlight.timeline.parts.lostRead += context.world.now() - attempt.startedAt;
  const refused = result.tag === 'refused';
  const misdirected = refused && result.misdirected;
  if (attempt.overdue || (refused && !misdirected)) context.ports.announceActivity?.(attempt.prefillWorker.id, 0, true);
  if (attempt.overdue) {
    context.count('left an overdue read');
    attempt.tracker.finish('overdue');
  } else if (attempt.inFlight.clientGone.aborted) attempt.tracker.finish('left');
  else if (misdirected) attempt.tracker.finish('gone');
  else if (result.tag === 'unknown' && result.malformed === true) recordMalformed(context, attempt, result.reason);
  else attempt.tracker.finish(refused ? 'refused' : 'failed');
}

function recordMalformed(context: HandlerContext, attempt: PrefillAttempt, why: string): void {
  const { inFlight, prefillWorker, tracker } = attempt;
  tracker.finish('malformed');
  context.count('malformed read');
  const { request, service } = inFlight;
  const response = { worker: prefillWorker.id, service: service.name, request: request.id, why, lastEventId: 0 };
  context.malformedResponses.record({ ...response, kind: 'read' });
}

/** Sends the request to `prefillWorker`; resolves when that answers or is abandoned, or when the request ends. */
export async function attemptPrefill(
  context: HandlerContext,
  inFlight: InFlightRequest,
  pair: WorkerPair,
  prefillWorker: FleetWorker,
): Promise<PrefillResult> {
  const { world, ports, responseTimeouts } = context;
  const attempt = startPrefill(context, inFlight, pair, prefillWorker);
  const { timing, startedAt, abort } = attempt;
  const remainingTime = inFlight.deadline - startedAt;
  const result = await ports.workers.prefill(
    prefillWorker,
    inFlight.request,
    remainingTime,
    timing.urgency,
    abort.signal,
  );
  attempt.ended = true;
  abort.dispose();
  if (result.tag === 'read' || attempt.overdue)
    responseTimeouts.observe(timing.kind, timing.expected, world.now() - startedAt);
  if (result.tag === 'read') finishPrefill(context, attempt);
  else finishFailedPrefill(context, attempt, result);
  return result;
}
