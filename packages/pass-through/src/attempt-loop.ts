/** Attempts of one request, one after the other, until it is answered or given up on. */
import type { WorkerPair } from './assign-worker-pair.js';
import { reject, type HandlerContext } from './handler-context.js';
import { decideNextStep, type NextStep } from './decision.js';
import { mayPrefillAgain, type InFlightRequest } from './in-flight-request.js';
import { choosePair, chooseDecodeWorker, pairWithSameWorker } from './pair-selection.js';
import type { Rejection, KvSource, PrefillResult } from './ports.js';
import { attemptPrefill } from './prefill-attempt.js';
import { attemptRun } from './run-attempt.js';
import type { FleetWorker } from './worker-fleet.js';

/** Attempts of which no byte could be sent, before no other worker is tried. */
const maxUnsentAttempts = 4;
/** Seconds after which a requester may come back. */
const retryAfterSeconds = { failed: 0.3, refused: 0.5 };

type EndStep = Exclude<NextStep, { step: 'run' | 'resume' }>;
/** What follows a read: another pair to try, memory to run from, or nothing, as the request has been ended. */
type AfterPrefill =
  | { readonly next: 'read'; readonly pair: WorkerPair }
  | { readonly next: 'run'; readonly pair: WorkerPair; readonly kvSource: KvSource | undefined }
  | { readonly next: 'ended' };
const ended: AfterPrefill = { next: 'ended' };

function nextStep(context: HandlerContext, inFlight: InFlightRequest, pair: WorkerPair | undefined): NextStep {
  const { route, attempts, ran, responseStarted, lastRefused } = inFlight;
  return decideNextStep(
    { attempts, ran, responseStarted, lastRefused },
    {
      clientGone: inFlight.clientGone.aborted,
      admitted: readmit(context, inFlight),
      remainingTime: inFlight.deadline - context.world.now(),
      idempotent: route.idempotent,
      resumable: route.resumable,
      maxAttempts: Math.max(1, route.maxAttempts),
      retryAllowed: context.retryBudget.hasRoom(inFlight.service.name),
      workerAvailable: pair !== undefined,
    },
  );
}

/** Whether it may go to one more worker; what that is told of its sender is what holds now. */
function readmit(context: HandlerContext, inFlight: InFlightRequest): boolean {
  const admitted = context.admission.admit(inFlight.receivedRequest, inFlight.route);
  if (admitted !== undefined) inFlight.request = admitted.request;
  return admitted !== undefined;
}

function rejectRequest(context: HandlerContext, inFlight: InFlightRequest, rejection: Rejection): void {
  inFlight.rejection = rejection;
  reject(context, inFlight.response, rejection);
}

function endRequest(context: HandlerContext, inFlight: InFlightRequest, step: EndStep): void {
  if (step.step === 'stop') context.count('requester left');
  else if (step.step === 'cut') {
    context.count('cut');
    inFlight.response.abort();
  } else if (inFlight.lastFailure !== undefined) inFlight.response.respond(inFlight.lastFailure.response);
  else {
    const reason = 'No worker could run it to its end.';
    const mayRetry = step.ran === 'no' && step.kind !== 'unknown_key';
    const retryHint = mayRetry ? { retryAfterSeconds: retryAfterSeconds.failed } : {};
    rejectRequest(context, inFlight, { kind: step.kind, ran: step.ran, reason, ...retryHint });
  }
}

/** The worker that has the prompt of a broken run, else the pair that costs least; undefined where nobody is left. */
function nextPair(context: HandlerContext, inFlight: InFlightRequest): WorkerPair | undefined {
  if (inFlight.unsentAttempts > maxUnsentAttempts) return undefined;
  const { sameWorkerRetry } = inFlight;
  inFlight.sameWorkerRetry = undefined;
  const samePair = sameWorkerRetry === undefined ? undefined : pairWithSameWorker(context, sameWorkerRetry);
  if (samePair !== undefined) return samePair;
  if (sameWorkerRetry !== undefined) inFlight.triedWorkers.add(sameWorkerRetry.id);
  const localPrefillOnly = inFlight.attempts > 0 || inFlight.ran === 'maybe' || inFlight.prefillAttempts > 0;
  return choosePair(context, inFlight, localPrefillOnly);
}

/** Makes attempts until the request is answered, given up on or left by its requester. */
export async function runAttempts(context: HandlerContext, inFlight: InFlightRequest): Promise<void> {
  for (;;) {
    const pair = nextPair(context, inFlight);
    const step = nextStep(context, inFlight, pair);
    if (step.step !== 'run' && step.step !== 'resume') return endRequest(context, inFlight, step);
    if (step.step === 'resume' || !step.first) {
      context.retryBudget.recordRetry(inFlight.service.name);
      context.count(step.step === 'resume' ? 'resumed' : 'sent again');
    }
    if (await attemptPair(context, inFlight, pair!)) return;
  }
}

/** One run, with the reads before it where the pair has a reader. True when the request has ended. */
async function attemptPair(context: HandlerContext, inFlight: InFlightRequest, first: WorkerPair): Promise<boolean> {
  let pair = first;
  while (pair.prefillWorker !== undefined && !inFlight.responseStarted) {
    const result = await attemptPrefill(context, inFlight, pair, pair.prefillWorker);
    const after = afterPrefill(context, inFlight, pair.prefillWorker, result);
    if (after.next === 'ended') return true;
    if (after.next === 'run') return attemptRun(context, inFlight, after.pair, after.kvSource);
    pair = after.pair;
  }
  return attemptRun(context, inFlight, pair, undefined);
}

function afterPrefill(
  context: HandlerContext,
  inFlight: InFlightRequest,
  prefillWorker: FleetWorker,
  result: PrefillResult,
): AfterPrefill {
  const ended = inFlight.clientGone.aborted || inFlight.deadline <= context.world.now();
  const admitted = readmit(context, inFlight);
  if (result.tag === 'read') {
    const pair = ended || !admitted ? undefined : chooseDecodeWorker(context, inFlight, prefillWorker);
    if (pair !== undefined)
      return { next: 'run', pair, kvSource: { worker: prefillWorker, kvHandle: result.kvHandle } };
    context.ports.workers.freeKv(prefillWorker, result.kvHandle);
  } else {
    inFlight.triedWorkers.add(prefillWorker.id);
    context.count(`read ${result.tag}`);
  }
  if (ended) return endDuringPrefill(context, inFlight);
  if (!admitted) return rejectAndEnd(context, inFlight, keyRevoked);
  return result.tag === 'read'
    ? rejectAndEnd(context, inFlight, noWorkerLeft)
    : pairAfterFailedPrefill(context, inFlight, result);
}

function endDuringPrefill(context: HandlerContext, inFlight: InFlightRequest): AfterPrefill {
  if (inFlight.clientGone.aborted) {
    context.count('requester left');
    return ended;
  }
  const reason = 'It was not read within the time that it has.';
  return rejectAndEnd(context, inFlight, {
    kind: 'budget_spent',
    ran: 'no',
    reason,
    retryAfterSeconds: retryAfterSeconds.failed,
  });
}

const keyRevoked: Rejection = { kind: 'unknown_key', ran: 'no', reason: 'No tenant has this key any more.' };
const noWorkerLeft: Rejection = {
  kind: 'no_workers',
  ran: 'no',
  reason: 'No worker is left to run it.',
  retryAfterSeconds: retryAfterSeconds.failed,
};
const prefillFailed: Rejection = {
  kind: 'workers_refused',
  ran: 'no',
  reason: 'The worker asked to read it did not, and no send is left.',
  retryAfterSeconds: retryAfterSeconds.refused,
};

function rejectAndEnd(context: HandlerContext, inFlight: InFlightRequest, rejection: Rejection): AfterPrefill {
  rejectRequest(context, inFlight, rejection);
  return ended;
}

/** What is tried after a read that was turned away, lost or not sent; all but the last counts as an extra send. */
function pairAfterFailedPrefill(
  context: HandlerContext,
  inFlight: InFlightRequest,
  result: PrefillResult,
): AfterPrefill {
  const { retryBudget } = context;
  const service = inFlight.service.name;
  const isRetry = result.tag !== 'unsent';
  if (isRetry && !retryBudget.hasRoom(service)) return rejectAndEnd(context, inFlight, prefillFailed);
  const pair = choosePair(context, inFlight, !mayPrefillAgain(inFlight));
  if (pair === undefined) return rejectAndEnd(context, inFlight, noWorkerLeft);
  if (isRetry) retryBudget.recordRetry(service);
  if (pair.prefillWorker === undefined) return { next: 'run', pair, kvSource: undefined };
  // A read after the first counts among the workers that a request may go to, if it is taken up or not.
  inFlight.attempts += 1;
  return { next: 'read', pair };
}
