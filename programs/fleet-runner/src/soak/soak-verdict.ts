/** What must hold in a soak, judged by what clients, workers and the operator have seen and how processes ended. */
import type { SoakOutcome } from './soak-client.js';
import type { SoakExit, SoakLife } from './soak-machines.js';
import type { SoakRun } from './soak-workers.js';

export type SoakRule =
  'lost' | 'twice' | 'refused though run' | 'ended by itself' | 'ended late' | 'not back' | 'changes';

/** A rule that was broken, and how. */
export interface SoakBreach {
  readonly rule: SoakRule;
  readonly what: string;
}

export interface SoakHistory {
  readonly outcomes: readonly SoakOutcome[];
  readonly runs: ReadonlyMap<string, SoakRun>;
  readonly lives: readonly SoakLife[];
  readonly exits: readonly SoakExit[];
  /** How long a process may take to end after its signal, in milliseconds. */
  readonly longestStopMs: number;
  /** How long after its signal a process is asked to end answers that have begun, in milliseconds. */
  readonly graceMs: number;
}

/** Judges requests and ends of processes. */
export function judgeSoak(history: SoakHistory): SoakBreach[] {
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
function lostRequests({ outcomes, runs, lives, graceMs }: SoakHistory): SoakBreach[] {
  const cut = outcomes.filter((outcome) => outcome.ended === 'cut' && runs.has(outcome.id));
  return cut
    .filter((outcome) => !wasKilled(outcome, lives))
    .filter((outcome) => !outlastedGrace(outcome, runs.get(outcome.id)!, lifeOf(outcome, lives), graceMs))
    .map((outcome) => {
      const times = sinceSignal(outcome, runs.get(outcome.id)!, lifeOf(outcome, lives));
      return { rule: 'lost', what: `${describe(outcome)}, ${times}` };
    });
}

function lifeOf({ machine, sentAt }: SoakOutcome, lives: readonly SoakLife[]): SoakLife | undefined {
  return lives.find((life) => life.machine === machine && life.from <= sentAt && life.to >= sentAt);
}

function outlastedGrace(
  { sentAt }: SoakOutcome,
  { finishedAt }: SoakRun,
  life: SoakLife | undefined,
  graceMs: number,
): boolean {
  if (life === undefined || life.stopAt === Infinity) return false;
  return finishedAt > life.stopAt + mayCutAfter * graceMs && sentAt <= life.stopAt + mayBeTakenForMs;
}

function wasKilled(outcome: SoakOutcome, lives: readonly SoakLife[]): boolean {
  return lives.some(
    (life) => life.machine === outcome.machine && life.killAt >= outcome.sentAt && life.killAt <= outcome.endedAt,
  );
}

function describe(outcome: SoakOutcome): string {
  const connection = outcome.keptConnection ? 'a kept' : 'a new';
  return `${outcome.id} at ${outcome.machine} on ${connection} connection ended with ${outcome.status}, ${outcome.ended}`;
}

function sinceSignal(outcome: SoakOutcome, run: SoakRun, life: SoakLife | undefined): string {
  if (life === undefined || life.stopAt === Infinity) return 'no signal to its process';
  const { stopAt } = life;
  function after(time: number): string {
    return time === Infinity ? 'never' : `${Math.round(time - stopAt)} ms`;
  }
  const times = `sent ${after(outcome.sentAt)}, cut ${after(outcome.endedAt)}, its worker done ${after(run.finishedAt)}`;
  return `${times} after SIGTERM`;
}

function wrongRuns({ outcomes, runs }: SoakHistory): SoakBreach[] {
  const twice = [...runs].filter(([, { times }]) => times > 1);
  const refused = outcomes.filter((outcome) => outcome.ended === 'refused' && runs.has(outcome.id));
  return [
    ...twice.map(([id, { times }]): SoakBreach => ({ rule: 'twice', what: `${id} ran ${times} times` })),
    ...refused.map((outcome): SoakBreach => ({ rule: 'refused though run', what: describe(outcome) })),
  ];
}

/** No program can take a signal in the first moments of its process; one that has served nothing yet may end by it. */
function endedWhileStarting({ signal, life }: SoakExit, outcomes: readonly SoakOutcome[]): boolean {
  const served = outcomes.some(
    (outcome) =>
      outcome.machine === life.machine &&
      outcome.status === 200 &&
      outcome.sentAt >= life.from &&
      outcome.sentAt <= life.to,
  );
  return (signal === 'SIGTERM' || signal === 'SIGHUP') && !served;
}

function wrongEnds({ exits, outcomes, longestStopMs }: SoakHistory): SoakBreach[] {
  const own = exits.filter((exit) => exit.asked !== 'kill' && exit.code !== 0 && !endedWhileStarting(exit, outcomes));
  const late = exits.filter(({ tookMs }) => tookMs > longestStopMs);
  return [
    ...own.map((exit): SoakBreach => ({
      rule: 'ended by itself',
      what: `${exit.machine} with ${exit.code ?? exit.signal}, asked: ${exit.asked}`,
    })),
    ...late.map((exit): SoakBreach => ({
      rule: 'ended late',
      what: `${exit.machine} ${Math.round(exit.tookMs)} ms after SIGTERM`,
    })),
  ];
}
