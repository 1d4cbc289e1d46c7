/** One attempt to run a request at a decode worker, whose stream is forwarded as it comes. */
import { createNumberedStream, type StreamFault } from '@tansypost/event-stream';
import { micros } from '@tansypost/inner-protocol';
import type { WorkerPair } from './assign-worker-pair.js';
import { createAttemptAbort } from './attempt-abort.js';
import { firstRunCheckIn, maxStreamSilence, nextCheckIn, runTiming } from './attempt-timing.js';
import type { HandlerContext } from './handler-context.js';
import { hasAttemptLeft, mayReassign, type InFlightRequest } from './in-flight-request.js';
import { alternativeTo, isWorthAbandoning } from './pair-selection.js';
import type { ResponseHead, KvSource, RunResult, ResponseSink, RunParameters } from './ports.js';
import { splitPrefillTime } from './request-timeline.js';
import { finishRun } from './run-outcome.js';
import type { RunAttempt } from './run-attempt-state.js';

/** Statuses of RFC 9110 whose responses are no stream. */
const noContentStatus = 204;
const resetContentStatus = 205;
const partialContentStatus = 206;

/** Abandons a worker that has been silent for too long where another available worker may run or resume the request. */
function checkRun(context: HandlerContext, attempt: RunAttempt): void {
  const { inFlight, worker, timing, chunkReceived } = attempt;
  if (attempt.ended || !mayReassign(inFlight)) return;
  const waited = context.world.now() - attempt.lastHeardAt;
  const mayLeave = hasAttemptLeft(inFlight);
  const late = !chunkReceived && mayLeave && waited >= timing.overdueAfter;
  attempt.overdue = late && isWorthAbandoning(context, inFlight, worker.id, waited, true);
  if (attempt.overdue || (mayLeave && isUnresponsive(context, attempt, waited) && hasAlternative(context, attempt))) {
    context.count(attempt.overdue ? 'left an overdue run' : 'left a silent worker');
    attempt.abort.abort();
  } else {
    const interval = nextCheckIn(
      waited,
      chunkReceived ? maxStreamSilence(inFlight) : Math.min(timing.overdueAfter, timing.unresponsiveAfter),
    );
    context.world.after(micros(interval), () => checkRun(context, attempt));
  }
}

function isUnresponsive(context: HandlerContext, attempt: RunAttempt, waited: number): boolean {
  if (attempt.chunkReceived) return waited >= maxStreamSilence(attempt.inFlight);
  return waited >= attempt.timing.unresponsiveAfter && context.fleet.isUnresponsive(attempt.worker.id);
}

function hasAlternative(context: HandlerContext, { inFlight, worker }: RunAttempt): boolean {
  return (
    context.retryBudget.hasRoom(inFlight.service.name) &&
    alternativeTo(context, inFlight, worker.id, true) !== undefined
  );
}

function startRun(
  context: HandlerContext,
  inFlight: InFlightRequest,
  pair: WorkerPair,
  kvSource: KvSource | undefined,
): RunAttempt {
  const { world, fleet, ports } = context;
  const { decodeWorker: worker } = pair;
  const timing = runTiming(context, inFlight, pair, kvSource !== undefined);
  const tracker = fleet.startAttempt(worker.id, 'run', pair.decodeWorkerTokens, timing.expected);
  const abort = createAttemptAbort(world, inFlight);
  const startedAt = world.now();
  const initialState = {
    streamFault: undefined,
    chunkReceived: false,
    lastHeardAt: startedAt,
    ended: false,
    overdue: false,
  };
  const { serviceTime: prefillServiceTime } = pair;
  const attempt: RunAttempt = {
    inFlight,
    worker,
    kvSource,
    timing,
    prefillServiceTime,
    startedAt,
    abort,
    tracker,
    held: context.heldBytes.open(() => distrust(attempt, 'out of memory for streams')),
    ...initialState,
  };
  if (mayReassign(inFlight)) world.after(micros(firstRunCheckIn(timing)), () => checkRun(context, attempt));
  inFlight.attempts += 1;
  inFlight.workerIds.push(worker.id);
  if (kvSource === undefined) ports.announceActivity?.(worker.id, pair.serviceTime);
  context.count(kvSource === undefined ? 'run alone' : 'run from memory');
  return attempt;
}

/** The last event that the client has from this response; undefined before its first one. */
function knownEventId({ eventStream }: InFlightRequest): number | undefined {
  const lastEventId = eventStream?.lastEventId() ?? 0;
  return lastEventId > 0 ? lastEventId : undefined;
}

function runParameters({ inFlight, kvSource, timing, startedAt }: RunAttempt): RunParameters {
  const requestedEventId = inFlight.request.lastEventId;
  const lastEventId = inFlight.responseStarted ? (knownEventId(inFlight) ?? requestedEventId) : requestedEventId;
  return {
    remainingTime: inFlight.deadline - startedAt,
    urgency: timing.urgency,
    ...(kvSource === undefined ? {} : { kvSource }),
    ...(lastEventId === undefined ? {} : { lastEventId }),
  };
}

/** Whether the response consists of events, which the router forwards one by one. */
function expectsEvents({ route, request }: InFlightRequest): boolean {
  return route.streaming && request.method !== 'HEAD';
}

/** Why a response with this head cannot be a stream of events. */
function faultOfStreamHead({ status }: ResponseHead): StreamFault | undefined {
  if (status === noContentStatus || status === resetContentStatus) return 'response without a body';
  return status === partialContentStatus ? 'partial response' : undefined;
}

function forwardHead(context: HandlerContext, attempt: RunAttempt, head: ResponseHead): void {
  const { inFlight } = attempt;
  const isStream = expectsEvents(inFlight);
  const fault = isStream ? faultOfStreamHead(head) : undefined;
  if (fault !== undefined) return distrust(attempt, fault);
  attempt.tracker.progress();
  attempt.lastHeardAt = context.world.now();
  if (inFlight.responseStarted) return;
  inFlight.responseStarted = true;
  if (isStream) inFlight.eventStream = createNumberedStream(inFlight.request.lastEventId);
  inFlight.response.head(head, isStream ? 'composed' : 'relayed');
}

function recordTimeToFirstChunk({ inFlight, kvSource, prefillServiceTime }: RunAttempt, took: number): void {
  const { parts } = inFlight.timeline;
  if (kvSource !== undefined) {
    parts.move += took;
    return;
  }
  const { queue, prefill } = splitPrefillTime(took, prefillServiceTime);
  parts.decodeQueue += queue;
  parts.decodePrefill += prefill;
}

/** The first chunk of a request, from any of its attempts, shows that the request has started to run. */
function recordFirstChunk(context: HandlerContext, { inFlight, lastHeardAt }: RunAttempt): void {
  inFlight.firstChunkAt = lastHeardAt;
  const { tenant } = inFlight.request;
  if (tenant !== undefined) context.ports.requestStarted?.(tenant);
}

/** Records a chunk for the estimates of this attempt and of its prefill worker. */
function recordChunk(context: HandlerContext, attempt: RunAttempt): void {
  const { inFlight, timing } = attempt;
  const now = context.world.now();
  const { timeline } = inFlight;
  if (inFlight.chunkCount > 0)
    timeline.longestEventGap = Math.max(timeline.longestEventGap, now - inFlight.lastChunkAt);
  if (inFlight.chunkCount === 0) recordTimeToFirstChunk(attempt, now - attempt.startedAt);
  inFlight.lastChunkAt = now;
  attempt.lastHeardAt = now;
  if (!attempt.chunkReceived)
    context.responseTimeouts.observe(timing.kind, timing.expected, attempt.lastHeardAt - attempt.startedAt);
  attempt.chunkReceived = true;
  inFlight.chunkCount += 1;
  if (inFlight.chunkCount === 1) recordFirstChunk(context, attempt);
  if (inFlight.placementSample !== undefined)
    context.ports.recordSample?.(
      inFlight.placementSample.features,
      attempt.lastHeardAt - inFlight.placementSample.chosenAt,
    );
  inFlight.placementSample = undefined;
  attempt.tracker.progress();
}

/** Ends an attempt whose stream cannot be the work of one run. */
function distrust(attempt: RunAttempt, fault: StreamFault): void {
  attempt.streamFault ??= fault;
  attempt.abort.abort();
}

/** Forwards the complete events up to the first fault of the stream, which ends the attempt. */
function forwardChunk(context: HandlerContext, attempt: RunAttempt, chunk: Buffer): void | Promise<void> {
  const { eventStream, response } = attempt.inFlight;
  if (attempt.streamFault !== undefined) return undefined;
  if (eventStream === undefined) {
    recordChunk(context, attempt);
    return response.chunk(chunk);
  }
  const { events, fault } = eventStream.push(chunk);
  if (fault === undefined || events.length > 0) recordChunk(context, attempt);
  const written = events.length > 0 ? response.chunk(events) : undefined;
  if (fault !== undefined) distrust(attempt, fault);
  attempt.held.report(eventStream.heldBytes());
  return written;
}

/** Runs the request at the decode worker of `pair`. Returns true when the request has been answered. */
export async function attemptRun(
  context: HandlerContext,
  inFlight: InFlightRequest,
  pair: WorkerPair,
  kvSource: KvSource | undefined,
): Promise<boolean> {
  const attempt = startRun(context, inFlight, pair, kvSource);
  const parameters = runParameters(attempt);
  if (inFlight.responseStarted) inFlight.eventStream?.resume();
  const sink: ResponseSink = {
    head: (head) => forwardHead(context, attempt, head),
    chunk: (chunk) => forwardChunk(context, attempt, chunk),
  };
  const { worker, abort } = attempt;
  const result: RunResult = await context.ports.workers.run(worker, inFlight.request, parameters, sink, abort.signal);
  attempt.ended = true;
  attempt.held.close();
  abort.dispose();
  if (inFlight.chunkCount === 0 && result.tag !== 'whole')
    inFlight.timeline.parts.lostRun += context.world.now() - attempt.startedAt;
  return finishRun(context, attempt, result);
}
