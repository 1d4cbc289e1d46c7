/** What follows from the end of a run: for the worker's record, for the request, and for the requester. */
import { promptBlocks } from './assign-pair.js';
import type { HandlerContext } from './course-context.js';
import type { RunResult } from './ports.js';
import type { RunAttempt } from './run-under-way.js';

type Failed = Extract<RunResult, { tag: 'failed' }>;
type Refused = Extract<RunResult, { tag: 'refused' }>;

/** Notes what the end says about the worker, whatever it means for the request. */
function learn(context: HandlerContext, attempt: RunAttempt, got: RunResult): void {
  const { inFlight, runner, timing, overdue } = attempt;
  const now = context.world.now();
  if (overdue) context.responseTimeouts.observe(timing.kind, timing.expected, now - attempt.begunAt);
  const turnedAway = got.tag === 'refused' && !got.misdirected && attempt.memory === undefined;
  if (overdue || got.tag === 'failed' || turnedAway) context.ports.announceActivity?.(runner.id, 0, true);
  if (got.tag === 'whole' || got.tag === 'failed' || attempt.seen)
    context.tree.insert(promptBlocks(inFlight.request), runner.id, now);
}

/** True when the answer was passed on to its end; false where a stream left an event out. */
async function finishWhole(context: HandlerContext, { inFlight, under }: RunAttempt): Promise<boolean> {
  under.finish('done');
  if (inFlight.cutter?.hasGap() === true) return false;
  const rest = inFlight.cutter?.remainder();
  if (rest !== undefined && rest.length > 0) await inFlight.reply.chunk(rest);
  context.count('whole');
  inFlight.whole = true;
  inFlight.reply.end();
  return true;
}

function freeMemory(context: HandlerContext, { memory }: RunAttempt): void {
  if (memory !== undefined) context.ports.workers.freeKv(memory.worker, memory.kvHandle);
}

function afterUnsent(context: HandlerContext, attempt: RunAttempt): void {
  const { inFlight } = attempt;
  attempt.under.finish('failed');
  inFlight.sends -= 1;
  inFlight.unsent += 1;
  inFlight.tried.add(attempt.runner.id);
  freeMemory(context, attempt);
}

/** A worker that only could not have the memory may be asked again, to read for itself. */
function afterRefused(context: HandlerContext, attempt: RunAttempt, got: Refused): void {
  const { inFlight } = attempt;
  const ofWorker = attempt.memory === undefined;
  attempt.under.finish(got.misdirected ? 'gone' : ofWorker ? 'refused' : 'left');
  context.count(got.misdirected ? 'run misdirected' : ofWorker ? 'run refused' : 'memory refused');
  inFlight.lastRefused = true;
  if (ofWorker || got.misdirected) inFlight.tried.add(attempt.runner.id);
  freeMemory(context, attempt);
}

function afterFailed(context: HandlerContext, attempt: RunAttempt, got: Failed): void {
  const { inFlight } = attempt;
  attempt.under.finish('ill');
  context.count('run failed');
  inFlight.ran = 'maybe';
  inFlight.tried.add(attempt.runner.id);
  if (!inFlight.begun) inFlight.failed = got;
}

/**
 * A worker whose connection broke has the prompt in memory and may be well, so it is asked once more; whether it can be
 * reached shows at once. One that was left is not asked again.
 */
function afterUnknown(context: HandlerContext, attempt: RunAttempt): void {
  const { inFlight } = attempt;
  const left = inFlight.gone.aborted;
  attempt.under.finish(left ? 'left' : attempt.overdue ? 'overdue' : 'failed');
  if (!left) context.count(attempt.seen ? 'stream broke' : 'run unknown');
  inFlight.ran = 'maybe';
  if (attempt.abort.signal.aborted || inFlight.askedHolder) inFlight.tried.add(attempt.runner.id);
  else {
    inFlight.holder = attempt.runner;
    inFlight.askedHolder = true;
  }
}

/** Takes in the end of a run. True when the request has been answered. */
export async function finishRun(context: HandlerContext, attempt: RunAttempt, got: RunResult): Promise<boolean> {
  learn(context, attempt, got);
  switch (got.tag) {
    case 'whole':
      return finishWhole(context, attempt);
    case 'unsent':
      afterUnsent(context, attempt);
      return false;
    case 'refused':
      afterRefused(context, attempt, got);
      return false;
    case 'failed':
      afterFailed(context, attempt, got);
      return false;
    case 'unknown':
      afterUnknown(context, attempt);
      return false;
  }
}
