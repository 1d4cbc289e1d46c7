/** What must hold in a soak, judged by what clients, workers and the operator have seen and how processes ended. */
import type { SoakOutcome } from './soak-client.js';
import type { SoakExit, SoakLifetime } from './soak-machines.js';
import type { SoakExecution } from './soak-workers.js';

export type SoakRule =
  'lost' | 'twice' | 'refused though run' | 'ended by itself' | 'ended late' | 'not back' | 'changes';

/** A rule that was broken, and how. */
export interface SoakViolation {
  readonly rule: SoakRule;
  readonly detail: string;
}

export interface SoakHistory {
  readonly outcomes: readonly SoakOutcome[];
  readonly executions: ReadonlyMap<string, SoakExecution>;
  readonly lifetimes: readonly SoakLifetime[];
  readonly exits: readonly SoakExit[];
  /** How long a process may take to end after its signal, in milliseconds. */
  readonly maxStopMs: number;
  /** How long after its signal a process is asked to end answers that have begun, in milliseconds. */
  readonly graceMs: number;
}

/** Judges requests and ends of processes. */
export function judgeSoak(history: SoakHistory): SoakViolation[] {
  return [...lostRequests(history), ...wrongRuns(history), ...wrongEnds(history)];
}

/** Of the grace period: a worker that is still at work then may be cut off. */
const mayCutAfter = 5 / 6;
/** A request that is sent so long after the signal should not have been taken if it cannot be kept, in milliseconds. */
const mayBeTakenForMs = 3000;

/**
 * A request that has reached a worker is answered whole, or by a failure, by a router that was not killed meanwhile. A
 * request that crosses the close of its connection has reached no worker. A router that has to end may cut off a worker
 * that is still at work near the end of the grace period, on a request that was sent soon after the signal.
 */
function lostRequests({ outcomes, executions: runs, lifetimes: lives, graceMs }: SoakHistory): SoakViolation[] {
  const cut = outcomes.filter((outcome) => outcome.ended === 'cut' && runs.has(outcome.id));
  return cut
    .filter((outcome) => !wasKilled(outcome, lives))
    .filter((outcome) => !outlastedGrace(outcome, runs.get(outcome.id)!, lifeOf(outcome, lives), graceMs))
    .map((outcome) => {
      const times = sinceSignal(outcome, runs.get(outcome.id)!, lifeOf(outcome, lives));
      return { rule: 'lost', detail: `${describe(outcome)}, ${times}` };
    });
}

function lifeOf({ machine, sentAt }: SoakOutcome, lives: readonly SoakLifetime[]): SoakLifetime | undefined {
  return lives.find((life) => life.machine === machine && life.startedAt <= sentAt && life.endedAt >= sentAt);
}

function outlastedGrace(
  { sentAt }: SoakOutcome,
  { finishedAt }: SoakExecution,
  life: SoakLifetime | undefined,
  graceMs: number,
): boolean {
  if (life === undefined || life.stopSignalAt === Infinity) return false;
  return finishedAt > life.stopSignalAt + mayCutAfter * graceMs && sentAt <= life.stopSignalAt + mayBeTakenForMs;
}

function wasKilled(outcome: SoakOutcome, lives: readonly SoakLifetime[]): boolean {
  return lives.some(
    (life) =>
      life.machine === outcome.machine && life.killSignalAt >= outcome.sentAt && life.killSignalAt <= outcome.endedAt,
  );
}

function describe(outcome: SoakOutcome): string {
  const connection = outcome.reusedConnection ? 'a kept' : 'a new';
  return `${outcome.id} at ${outcome.machine} on ${connection} connection ended with ${outcome.status}, ${outcome.ended}`;
}

function sinceSignal(outcome: SoakOutcome, run: SoakExecution, life: SoakLifetime | undefined): string {
  if (life === undefined || life.stopSignalAt === Infinity) return 'no signal to its process';
  const { stopSignalAt: stopAt } = life;
  function after(time: number): string {
    return time === Infinity ? 'never' : `${Math.round(time - stopAt)} ms`;
  }
  const times = `sent ${after(outcome.sentAt)}, cut ${after(outcome.endedAt)}, its worker done ${after(run.finishedAt)}`;
  return `${times} after SIGTERM`;
}

function wrongRuns({ outcomes, executions: runs }: SoakHistory): SoakViolation[] {
  const twice = [...runs].filter(([, { count: times }]) => times > 1);
  const refused = outcomes.filter((outcome) => outcome.ended === 'refused' && runs.has(outcome.id));
  return [
    ...twice.map(([id, { count: times }]): SoakViolation => ({ rule: 'twice', detail: `${id} ran ${times} times` })),
    ...refused.map((outcome): SoakViolation => ({ rule: 'refused though run', detail: describe(outcome) })),
  ];
}

/** No program can take a signal in the first moments of its process; one that has served nothing yet may end by it. */
function endedWhileStarting({ signal, lifetime: life }: SoakExit, outcomes: readonly SoakOutcome[]): boolean {
  const served = outcomes.some(
    (outcome) =>
      outcome.machine === life.machine &&
      outcome.status === 200 &&
      outcome.sentAt >= life.startedAt &&
      outcome.sentAt <= life.endedAt,
  );
  return (signal === 'SIGTERM' || signal === 'SIGHUP') && !served;
}

function wrongEnds({ exits, outcomes, maxStopMs: longestStopMs }: SoakHistory): SoakViolation[] {
  const own = exits.filter(
    (exit) => exit.requested !== 'kill' && exit.code !== 0 && !endedWhileStarting(exit, outcomes),
  );
  const late = exits.filter(({ stopDurationMs: tookMs }) => tookMs > longestStopMs);
  return [
    ...own.map((exit): SoakViolation => ({
      rule: 'ended by itself',
      detail: `${exit.machine} with ${exit.code ?? exit.signal}, asked: ${exit.requested}`,
    })),
    ...late.map((exit): SoakViolation => ({
      rule: 'ended late',
      detail: `${exit.machine} ${Math.round(exit.stopDurationMs)} ms after SIGTERM`,
    })),
  ];
}
