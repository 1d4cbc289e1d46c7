/** Handles the end of a run: updates the worker table, the request and the response to the client. */
import { promptBlocks } from './assign-worker-pair.js';
import type { HandlerContext } from './handler-context.js';
import type { RunResult } from './ports.js';
import type { RunAttempt } from './run-attempt-state.js';

type Failed = Extract<RunResult, { tag: 'failed' }>;
type Refused = Extract<RunResult, { tag: 'refused' }>;

/** Records what the result says about the worker, whatever it means for the request. */
function recordWorkerOutcome(context: HandlerContext, attempt: RunAttempt, result: RunResult): void {
  const { inFlight, worker, timing, overdue } = attempt;
  const now = context.world.now();
  if (overdue) context.responseTimeouts.observe(timing.kind, timing.expected, now - attempt.startedAt);
  const refusedByWorker = result.tag === 'refused' && !result.misdirected && attempt.kvSource === undefined;
  if (overdue || result.tag === 'failed' || refusedByWorker) context.ports.announceActivity?.(worker.id, 0, true);
  if (result.tag === 'whole' || result.tag === 'failed' || attempt.chunkReceived)
    context.prefixTree.insert(promptBlocks(inFlight.request), worker.id, now);
}

function finishCompleted(context: HandlerContext, { inFlight, tracker }: RunAttempt): void {
  tracker.finish('done');
  context.count('whole');
  inFlight.completed = true;
  inFlight.response.end();
}

/** Why the response cannot be the work of one run; undefined if it can. */
function faultOf({ inFlight, streamFault }: RunAttempt, result: RunResult): string | undefined {
  if (streamFault !== undefined) return streamFault;
  if (result.tag === 'whole') return inFlight.eventStream?.end();
  return result.tag === 'unknown' && result.malformed === true ? result.reason : undefined;
}

/**
 * Nothing shows what the worker has run. A head of another response says more about the connection than about the worker,
 * so that the worker is retried once; after a malformed stream it is asked again only where no other one is left.
 */
function afterMalformed(context: HandlerContext, attempt: RunAttempt, why: string): void {
  const { inFlight, worker, tracker } = attempt;
  tracker.finish('malformed');
  context.count('malformed run');
  const lastEventId = inFlight.eventStream?.lastEventId() ?? 0;
  const { request, service } = inFlight;
  const response = { worker: worker.id, service: service.name, request: request.id, why, lastEventId };
  context.malformedResponses.record({ ...response, kind: 'run' });
  inFlight.ran = 'maybe';
  if (inFlight.eventStream === undefined && !attempt.abort.signal.aborted) retrySameWorkerOnce(attempt);
}

function retrySameWorkerOnce({ inFlight, worker }: RunAttempt): void {
  if (inFlight.sameWorkerRetried) return void inFlight.triedWorkers.add(worker.id);
  inFlight.sameWorkerRetry = worker;
  inFlight.sameWorkerRetried = true;
}

function releaseKv(context: HandlerContext, { kvSource }: RunAttempt): void {
  if (kvSource !== undefined) context.ports.workers.freeKv(kvSource.worker, kvSource.kvHandle);
}

function afterUnsent(context: HandlerContext, attempt: RunAttempt): void {
  const { inFlight } = attempt;
  attempt.tracker.finish('failed');
  inFlight.attempts -= 1;
  inFlight.unsentAttempts += 1;
  inFlight.triedWorkers.add(attempt.worker.id);
  releaseKv(context, attempt);
}

/** A worker that refused only because it could not fetch the KV cache may be retried with a local prefill. */
function afterRefused(context: HandlerContext, attempt: RunAttempt, result: Refused): void {
  const { inFlight } = attempt;
  const workerRefused = attempt.kvSource === undefined;
  attempt.tracker.finish(result.misdirected ? 'gone' : workerRefused ? 'refused' : 'left');
  context.count(result.misdirected ? 'run misdirected' : workerRefused ? 'run refused' : 'memory refused');
  inFlight.lastRefused = true;
  if (workerRefused || result.misdirected) inFlight.triedWorkers.add(attempt.worker.id);
  releaseKv(context, attempt);
}

function afterFailed(context: HandlerContext, attempt: RunAttempt, result: Failed): void {
  const { inFlight } = attempt;
  attempt.tracker.finish('ill');
  context.count('run failed');
  inFlight.ran = 'maybe';
  inFlight.triedWorkers.add(attempt.worker.id);
  if (!inFlight.responseStarted) inFlight.lastFailure = result;
}

/**
 * A worker whose connection broke has the prompt in its KV cache and may be healthy, so it is retried once; whether it
 * can be reached shows at once. A worker that was abandoned is not retried.
 */
function afterUnknown(context: HandlerContext, attempt: RunAttempt): void {
  const { inFlight } = attempt;
  const clientLeft = inFlight.clientGone.aborted;
  attempt.tracker.finish(clientLeft ? 'left' : attempt.overdue ? 'overdue' : 'failed');
  if (!clientLeft) context.count(attempt.chunkReceived ? 'stream broke' : 'run unknown');
  inFlight.ran = 'maybe';
  if (attempt.abort.signal.aborted) inFlight.triedWorkers.add(attempt.worker.id);
  else retrySameWorkerOnce(attempt);
}

/** Handles the result of a run. Returns true when the request has been answered. */
export function finishRun(context: HandlerContext, attempt: RunAttempt, result: RunResult): boolean {
  recordWorkerOutcome(context, attempt, result);
  const fault = faultOf(attempt, result);
  if (fault !== undefined) {
    afterMalformed(context, attempt, fault);
    return false;
  }
  switch (result.tag) {
    case 'whole':
      finishCompleted(context, attempt);
      return true;
    case 'unsent':
      afterUnsent(context, attempt);
      return false;
    case 'refused':
      afterRefused(context, attempt, result);
      return false;
    case 'failed':
      afterFailed(context, attempt, result);
      return false;
    case 'unknown':
      afterUnknown(context, attempt);
      return false;
  }
}
