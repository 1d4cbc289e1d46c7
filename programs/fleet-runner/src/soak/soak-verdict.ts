/** What must hold in a soak, judged by what clients, workers and the operator have seen and how processes ended. */
import type { SoakOutcome } from './soak-client.js';
import type { SoakExit, SoakLife } from './soak-machines.js';

export type SoakRule =
  'lost' | 'twice' | 'refused though run' | 'ended by itself' | 'ended late' | 'not back' | 'changes';

/** A rule that was broken, and how. */
export interface SoakBreach {
  readonly rule: SoakRule;
  readonly what: string;
}

export interface SoakHistory {
  readonly outcomes: readonly SoakOutcome[];
  readonly runs: ReadonlyMap<string, number>;
  readonly lives: readonly SoakLife[];
  readonly exits: readonly SoakExit[];
  /** How long a process may take to end after its signal, in milliseconds. */
  readonly longestStopMs: number;
}

/** Judges requests and ends of processes. */
export function judgeSoak(history: SoakHistory): SoakBreach[] {
  return [...lostRequests(history), ...wrongRuns(history), ...wrongEnds(history)];
}

/**
 * A request that has reached a worker is answered whole, or by a failure, by a router that was not killed meanwhile. A
 * request that crosses the close of its connection has reached no worker.
 */
function lostRequests({ outcomes, runs, lives }: SoakHistory): SoakBreach[] {
  const cut = outcomes.filter((outcome) => outcome.ended === 'cut' && runs.has(outcome.id));
  return cut
    .filter((outcome) => !wasKilled(outcome, lives))
    .map((outcome) => ({ rule: 'lost', what: `${describe(outcome)}, ${sinceSignal(outcome, lives)}` }));
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

function sinceSignal(outcome: SoakOutcome, lives: readonly SoakLife[]): string {
  const life = lives.find((l) => l.machine === outcome.machine && l.from <= outcome.sentAt && l.to >= outcome.sentAt);
  if (life === undefined || life.stopAt === Infinity) return 'no signal to its process';
  return `sent ${Math.round(outcome.sentAt - life.stopAt)} ms and cut ${Math.round(outcome.endedAt - life.stopAt)} ms after SIGTERM`;
}

function wrongRuns({ outcomes, runs }: SoakHistory): SoakBreach[] {
  const twice = [...runs].filter(([, times]) => times > 1);
  const refused = outcomes.filter((outcome) => outcome.ended === 'refused' && runs.has(outcome.id));
  return [
    ...twice.map(([id, times]): SoakBreach => ({ rule: 'twice', what: `${id} ran ${times} times` })),
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
