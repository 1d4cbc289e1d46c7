/** Makes the attempts of one request, one after the other, until it is answered or rejected. */
import type { WorkerPair } from './assign-worker-pair.js';
import { reject, type HandlerContext } from './handler-context.js';
import { decideNextStep, type NextStep } from './decision.js';
import { mayPrefillAgain, type InFlightRequest } from './in-flight-request.js';
import { choosePair, chooseDecodeWorker, pairWithSameWorker } from './pair-selection.js';
import type { Rejection, KvSource, PrefillResult } from './ports.js';
import { attemptPrefill } from './prefill-attempt.js';
import { attemptRun } from './run-attempt.js';
import type { FleetWorker } from './worker-fleet.js';

/** After more attempts than this for which no byte could be sent, no other worker is tried. */
const maxUnsentAttempts = 4;
/** When a client may retry after its request was rejected. */
const retryAfterSeconds = { failed: 0.3, refused: 0.5 };

type EndStep = Exclude<NextStep, { step: 'run' | 'resume' }>;
/** What follows a prefill: another pair to try, a run with the KV cache, or nothing, as the request has ended. */
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

/** Whether the request may be sent to one more worker; updates it to what the current tenants allow. */
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
    const reason = 'No worker could complete the request.';
    const mayRetry = step.ran === 'no' && step.kind !== 'unknown_key';
    const retryHint = mayRetry ? { retryAfterSeconds: retryAfterSeconds.failed } : {};
    rejectRequest(context, inFlight, { kind: step.kind, ran: step.ran, reason, ...retryHint });
  }
}

/** The worker of a broken run, as it has the prompt cached, else the cheapest pair; undefined where none is left. */
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

/** Makes attempts until the request is answered or rejected, or its client has disconnected. */
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

/** One run, preceded by prefills where the pair has a prefill worker. Returns true when the request has ended. */
async function attemptPair(
  context: HandlerContext,
  inFlight: InFlightRequest,
  firstPair: WorkerPair,
): Promise<boolean> {
  let pair = firstPair;
  while (pair.prefillWorker !== undefined && !inFlight.responseStarted) {
    const result = await attemptPrefill(context, inFlight, pair, pair.prefillWorker);
    const nextStep = afterPrefill(context, inFlight, pair.prefillWorker, result);
    if (nextStep.next === 'ended') return true;
    if (nextStep.next === 'run') return attemptRun(context, inFlight, nextStep.pair, nextStep.kvSource);
    pair = nextStep.pair;
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
  const reason = 'The prefill did not complete before the deadline of the request.';
  return rejectAndEnd(context, inFlight, {
    kind: 'budget_spent',
    ran: 'no',
    reason,
    retryAfterSeconds: retryAfterSeconds.failed,
  });
}

const keyRevoked: Rejection = { kind: 'unknown_key', ran: 'no', reason: 'The API key was revoked.' };
const noWorkerLeft: Rejection = {
  kind: 'no_workers',
  ran: 'no',
  reason: 'No worker is available for the request.',
  retryAfterSeconds: retryAfterSeconds.failed,
};
const prefillFailed: Rejection = {
  kind: 'workers_refused',
  ran: 'no',
  reason: 'The prefill failed and the retry budget is exhausted.',
  retryAfterSeconds: retryAfterSeconds.refused,
};

function rejectAndEnd(context: HandlerContext, inFlight: InFlightRequest, rejection: Rejection): AfterPrefill {
  rejectRequest(context, inFlight, rejection);
  return ended;
}

/** What is tried after a prefill that was refused, lost or not sent; the first two count against the retry budget. */
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
  // A prefill after the first counts as an attempt of the route, whether the worker accepts it or not.
  inFlight.attempts += 1;
  return { next: 'read', pair };
}
