/** Attempts of one request, one after the other, until it is answered or given up on. */
import type { WorkerPair } from './assign-pair.js';
import { reject, type HandlerContext } from './course-context.js';
import { decideNextStep, type Step } from './decision.js';
import { mayReadAgain, type InFlightRequest } from './in-flight-request.js';
import { choosePair, chooseRunnerAfterRead, pairWithHolder } from './pair-choice.js';
import type { Rejection, KvSource, PrefillResult } from './ports.js';
import { attemptRead } from './read-attempt.js';
import { attemptRun } from './run-attempt.js';
import type { FleetWorker } from './worker-fleet.js';

/** Attempts of which no byte could be sent, before no other worker is tried. */
const mostUnsent = 4;
/** Seconds after which a requester may come back. */
const retryAfter = { failed: 0.3, refused: 0.5 };

type EndStep = Exclude<Step, { step: 'run' | 'resume' }>;
/** What follows a read: another pair to try, memory to run from, or nothing, as the request has been ended. */
type AfterRead =
  | { readonly next: 'read'; readonly pair: WorkerPair }
  | { readonly next: 'run'; readonly pair: WorkerPair; readonly memory: KvSource | undefined }
  | { readonly next: 'ended' };
const ended: AfterRead = { next: 'ended' };

function nextStep(context: HandlerContext, inFlight: InFlightRequest, pair: WorkerPair | undefined): Step {
  const { path, sends, ran, begun, lastRefused } = inFlight;
  return decideNextStep(
    { attempts: sends, ran, responseStarted: begun, lastRefused },
    {
      clientGone: inFlight.gone.aborted,
      admitted: admitAgain(context, inFlight),
      remainingTime: inFlight.limit - context.world.now(),
      idempotent: path.idempotent,
      resumable: path.resumable,
      maxAttempts: Math.max(1, path.maxAttempts),
      retryAllowed: context.retryBudget.hasRoom(inFlight.service.name),
      workerAvailable: pair !== undefined,
    },
  );
}

/** Whether it may go to one more worker; what that is told of its sender is what holds now. */
function admitAgain(context: HandlerContext, inFlight: InFlightRequest): boolean {
  const admitted = context.admission.admit(inFlight.received, inFlight.path);
  if (admitted !== undefined) inFlight.request = admitted.request;
  return admitted !== undefined;
}

function giveUpOn(context: HandlerContext, inFlight: InFlightRequest, answer: Rejection): void {
  inFlight.refusal = answer;
  reject(context, inFlight.reply, answer);
}

function end(context: HandlerContext, inFlight: InFlightRequest, step: EndStep): void {
  if (step.step === 'stop') context.count('requester left');
  else if (step.step === 'cut') {
    context.count('cut');
    inFlight.reply.abort();
  } else if (inFlight.failed !== undefined) inFlight.reply.respond(inFlight.failed.response);
  else {
    const why = 'No worker could run it to its end.';
    const comesBack = step.ran === 'no' && step.kind !== 'unknown_key';
    const promise = comesBack ? { retryAfter: retryAfter.failed } : {};
    giveUpOn(context, inFlight, { kind: step.kind, ran: step.ran, reason: why, ...promise });
  }
}

/** The worker that has the prompt of a broken run, else the pair that costs least; undefined where nobody is left. */
function nextPair(context: HandlerContext, inFlight: InFlightRequest): WorkerPair | undefined {
  if (inFlight.unsent > mostUnsent) return undefined;
  const { holder } = inFlight;
  inFlight.holder = undefined;
  const again = holder === undefined ? undefined : pairWithHolder(context, holder);
  if (again !== undefined) return again;
  if (holder !== undefined) inFlight.tried.add(holder.id);
  const aloneOnly = inFlight.sends > 0 || inFlight.ran === 'maybe' || inFlight.reads > 0;
  return choosePair(context, inFlight, aloneOnly);
}

/** Makes attempts until the request is answered, given up on or left by its requester. */
export async function runAttempts(context: HandlerContext, inFlight: InFlightRequest): Promise<void> {
  for (;;) {
    const pair = nextPair(context, inFlight);
    const step = nextStep(context, inFlight, pair);
    if (step.step !== 'run' && step.step !== 'resume') return end(context, inFlight, step);
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
  while (pair.prefillWorker !== undefined && !inFlight.begun) {
    const got = await attemptRead(context, inFlight, pair, pair.prefillWorker);
    const after = afterRead(context, inFlight, pair.prefillWorker, got);
    if (after.next === 'ended') return true;
    if (after.next === 'run') return attemptRun(context, inFlight, after.pair, after.memory);
    pair = after.pair;
  }
  return attemptRun(context, inFlight, pair, undefined);
}

function afterRead(
  context: HandlerContext,
  inFlight: InFlightRequest,
  reader: FleetWorker,
  got: PrefillResult,
): AfterRead {
  const over = inFlight.gone.aborted || inFlight.limit <= context.world.now();
  const admitted = admitAgain(context, inFlight);
  if (got.tag === 'read') {
    const pair = over || !admitted ? undefined : chooseRunnerAfterRead(context, inFlight, reader);
    if (pair !== undefined) return { next: 'run', pair, memory: { worker: reader, kvHandle: got.kvHandle } };
    context.ports.workers.freeKv(reader, got.kvHandle);
  } else {
    inFlight.tried.add(reader.id);
    context.count(`read ${got.tag}`);
  }
  if (over) return endInRead(context, inFlight);
  if (!admitted) return refuse(context, inFlight, keyTakenAway);
  return got.tag === 'read' ? refuse(context, inFlight, noWorkerLeft) : anotherPair(context, inFlight, got);
}

function endInRead(context: HandlerContext, inFlight: InFlightRequest): AfterRead {
  if (inFlight.gone.aborted) {
    context.count('requester left');
    return ended;
  }
  const why = 'It was not read within the time that it has.';
  return refuse(context, inFlight, { kind: 'budget_spent', ran: 'no', reason: why, retryAfter: retryAfter.failed });
}

const keyTakenAway: Rejection = { kind: 'unknown_key', ran: 'no', reason: 'No tenant has this key any more.' };
const noWorkerLeft: Rejection = {
  kind: 'no_workers',
  ran: 'no',
  reason: 'No worker is left to run it.',
  retryAfter: retryAfter.failed,
};
const notRead: Rejection = {
  kind: 'workers_refused',
  ran: 'no',
  reason: 'The worker asked to read it did not, and no send is left.',
  retryAfter: retryAfter.refused,
};

function refuse(context: HandlerContext, inFlight: InFlightRequest, answer: Rejection): AfterRead {
  giveUpOn(context, inFlight, answer);
  return ended;
}

/** What is tried after a read that was turned away, lost or not sent; all but the last counts as an extra send. */
function anotherPair(context: HandlerContext, inFlight: InFlightRequest, got: PrefillResult): AfterRead {
  const { retryBudget: budget } = context;
  const service = inFlight.service.name;
  const extra = got.tag !== 'unsent';
  if (extra && !budget.hasRoom(service)) return refuse(context, inFlight, notRead);
  const pair = choosePair(context, inFlight, !mayReadAgain(inFlight));
  if (pair === undefined) return refuse(context, inFlight, noWorkerLeft);
  if (extra) budget.recordRetry(service);
  if (pair.prefillWorker === undefined) return { next: 'run', pair, memory: undefined };
  // A read after the first counts among the workers that a request may go to, if it is taken up or not.
  inFlight.sends += 1;
  return { next: 'read', pair };
}
