/** The invariants of a soak test, checked on the outcomes at clients, the executions at workers and the process exits. */
import type { SoakOutcome } from './soak-client.js';
import type { SoakExit, SoakLifetime } from './soak-machines.js';
import type { SoakExecution } from './soak-workers.js';

export type SoakRule =
  | 'lost'
  | 'twice'
  | 'refused though run'
  | 'ended by itself'
  | 'ended late'
  | 'not back'
  | 'changes'
  | 'order'
  | 'framing'
  | 'held';

/** A violated rule, with details. */
export interface SoakViolation {
  readonly rule: SoakRule;
  readonly detail: string;
}

export interface SoakHistory {
  readonly outcomes: readonly SoakOutcome[];
  readonly executions: ReadonlyMap<string, SoakExecution>;
  readonly lifetimes: readonly SoakLifetime[];
  readonly exits: readonly SoakExit[];
  /** The maximum time from SIGTERM to the exit of a process, in milliseconds. */
  readonly maxStopMs: number;
  /** The configured grace period after SIGTERM for responses that have started, in milliseconds. */
  readonly graceMs: number;
}

/** Checks requests and process exits. */
export function judgeSoak(history: SoakHistory): SoakViolation[] {
  return [...lostRequests(history), ...wrongExecutions(history), ...wrongStreams(history), ...wrongExits(history)];
}

/** The share of the grace period after which a worker that is still busy may be cut off. */
const cutGraceShare = 5 / 6;
/** How long after SIGTERM a request may be accepted that is cut off later; afterwards it should have been rejected. */
const acceptMs = 3000;

/**
 * A request that reached a worker must get a complete response or an error, unless its router was killed meanwhile. A
 * request that crosses the close of its connection has not reached a worker. A router that has to exit may cut off a
 * worker that is still busy near the end of the grace period, if the request was sent soon after SIGTERM. A response that
 * its worker spoilt cannot be passed on whole.
 */
function lostRequests({ outcomes, executions, lifetimes, graceMs }: SoakHistory): SoakViolation[] {
  const cutOutcomes = outcomes.filter((outcome) => outcome.ended === 'cut' && executions.has(outcome.id));
  return cutOutcomes
    .filter((outcome) => !wasKilled(outcome, lifetimes) && !executions.get(outcome.id)!.spoilt)
    .filter(
      (outcome) => !outlastedGrace(outcome, executions.get(outcome.id)!, findLifetime(outcome, lifetimes), graceMs),
    )
    .map((outcome) => {
      const timeline = describeTimeline(outcome, executions.get(outcome.id)!, findLifetime(outcome, lifetimes));
      return { rule: 'lost', detail: `${describe(outcome)}, ${timeline}` };
    });
}

function findLifetime({ machine, sentAt }: SoakOutcome, lifetimes: readonly SoakLifetime[]): SoakLifetime | undefined {
  return lifetimes.find(
    (lifetime) => lifetime.machine === machine && lifetime.startedAt <= sentAt && lifetime.endedAt >= sentAt,
  );
}

function outlastedGrace(
  { sentAt }: SoakOutcome,
  { finishedAt }: SoakExecution,
  lifetime: SoakLifetime | undefined,
  graceMs: number,
): boolean {
  if (lifetime === undefined || lifetime.stopSignalAt === Infinity) return false;
  return finishedAt > lifetime.stopSignalAt + cutGraceShare * graceMs && sentAt <= lifetime.stopSignalAt + acceptMs;
}

function wasKilled(outcome: SoakOutcome, lifetimes: readonly SoakLifetime[]): boolean {
  return lifetimes.some(
    (lifetime) =>
      lifetime.machine === outcome.machine &&
      lifetime.killSignalAt >= outcome.sentAt &&
      lifetime.killSignalAt <= outcome.endedAt,
  );
}

function describe(outcome: SoakOutcome): string {
  const connection = outcome.reusedConnection ? 'a reused' : 'a new';
  return `${outcome.id} at ${outcome.machine} on ${connection} connection ended with status ${outcome.status}, ${outcome.ended}`;
}

function describeTimeline(outcome: SoakOutcome, execution: SoakExecution, lifetime: SoakLifetime | undefined): string {
  if (lifetime === undefined || lifetime.stopSignalAt === Infinity) return 'its process got no signal';
  const { stopSignalAt } = lifetime;
  function sinceStopSignal(time: number): string {
    return time === Infinity ? 'never' : `${Math.round(time - stopSignalAt)} ms`;
  }
  const timeline = `sent ${sinceStopSignal(outcome.sentAt)}, cut ${sinceStopSignal(outcome.endedAt)}, worker finished ${sinceStopSignal(execution.finishedAt)}`;
  return `${timeline} after SIGTERM`;
}

function wrongExecutions({ outcomes, executions }: SoakHistory): SoakViolation[] {
  const executedTwice = [...executions].filter(([, { count, maxRuns }]) => count > maxRuns);
  const executedThoughRefused = outcomes.filter((outcome) => outcome.ended === 'refused' && executions.has(outcome.id));
  return [
    ...executedTwice.map(([id, { count }]): SoakViolation => ({ rule: 'twice', detail: `${id} ran ${count} times` })),
    ...executedThoughRefused.map((outcome): SoakViolation => ({
      rule: 'refused though run',
      detail: describe(outcome),
    })),
  ];
}

/** A stream that is not trusted any further ends at once; this leaves room for pauses of the worker and a busy machine. */
const maxDistrustedMs = 20_000;

function wrongStreams({ outcomes, executions }: SoakHistory): SoakViolation[] {
  const malformed = outcomes.filter((outcome) => outcome.malformed);
  const misframed = outcomes.filter((outcome) => outcome.misframed);
  const held = outcomes.filter(
    ({ id, sentAt, endedAt }) => executions.get(id)?.spoilt === true && endedAt - sentAt > maxDistrustedMs,
  );
  return [
    ...malformed.map((outcome): SoakViolation => ({ rule: 'order', detail: describe(outcome) })),
    ...misframed.map((outcome): SoakViolation => ({ rule: 'framing', detail: describe(outcome) })),
    ...held.map((outcome): SoakViolation => ({ rule: 'held', detail: describe(outcome) })),
  ];
}

/** What Node.js needs, with a margin, until it runs the first line of a program. */
const maxNodeStartMs = 100;

/**
 * A process that has served nothing yet may exit by SIGTERM, as its handler is installed only once there is something to
 * stop. SIGHUP asks for no exit, so only Node.js itself may be unprepared for it.
 */
function endedWhileStarting({ signal, lifetime }: SoakExit, outcomes: readonly SoakOutcome[]): boolean {
  if (signal === 'SIGHUP') return lifetime.processorMsAtReload <= maxNodeStartMs;
  const served = outcomes.some(
    (outcome) =>
      outcome.machine === lifetime.machine &&
      outcome.status === 200 &&
      outcome.sentAt >= lifetime.startedAt &&
      outcome.sentAt <= lifetime.endedAt,
  );
  return signal === 'SIGTERM' && !served;
}

function wrongExits({ exits, outcomes, maxStopMs }: SoakHistory): SoakViolation[] {
  const unexpectedExits = exits.filter(
    (exit) => exit.requested !== 'kill' && exit.code !== 0 && !endedWhileStarting(exit, outcomes),
  );
  const lateExits = exits.filter(({ stopDurationMs }) => stopDurationMs > maxStopMs);
  return [
    ...unexpectedExits.map((exit): SoakViolation => ({
      rule: 'ended by itself',
      detail: `${exit.machine} exited with ${exit.code ?? exit.signal}, requested: ${exit.requested}`,
    })),
    ...lateExits.map((exit): SoakViolation => ({
      rule: 'ended late',
      detail: `${exit.machine} exited ${Math.round(exit.stopDurationMs)} ms after SIGTERM`,
    })),
  ];
}
