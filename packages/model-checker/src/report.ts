/**
 * Counterexamples as short texts: the seed, the moves that are needed with their times, what operators were told, and
 * the rule that was broken.
 */
import type { Scope } from './cluster.js';
import { describeMove } from './moves.js';
import type { RegisterCalls } from './operator.js';
import { playRun, replayChooser, type Outcome, type PlacedMove } from './schedule.js';
import { shrinkMoves } from './shrink.js';

/** What replays a run: its scope, its seed and its moves. */
export interface Counterexample {
  readonly scope: Scope;
  readonly seed: number;
  readonly moves: readonly PlacedMove[];
  /** Search runs end by steps, walks by time. */
  readonly untilUs: number;
  readonly maxSteps?: number;
  readonly calls?: RegisterCalls;
}

const shrinkRuns = 250;
const operationsShown = 30;

export function replay(x: Counterexample, moves: readonly PlacedMove[] = x.moves): Promise<Outcome> {
  const { scope, seed, untilUs, maxSteps, calls } = x;
  return playRun({ scope, seed, untilUs, maxSteps, calls, choose: replayChooser(moves) });
}

/** The fewest moves found that break the same rule. */
export async function shrinkCounterexample(x: Counterexample): Promise<Counterexample> {
  const rule = (await replay(x)).violation?.rule;
  const moves = await shrinkMoves(x.moves, {
    breaks: async (some) => rule !== undefined && (await replay(x, some)).violation?.rule === rule,
    runs: shrinkRuns,
  });
  return { ...x, moves };
}

export async function describeCounterexample(x: Counterexample): Promise<string> {
  const outcome = await replay(x);
  const lines = outcome.moves.map((m) => `  ${(m.at.timeUs / 1e6).toFixed(6)} s  ${describeMove(m.move)}`);
  const { violation, history, steps } = outcome;
  return [
    `seed ${x.seed}, ${x.scope.places} places: ${violation === undefined ? 'nothing broken' : violation.rule}`,
    `  ${violation?.what ?? ''}`,
    `moves (${outcome.moves.length}), ${steps} steps:`,
    ...lines,
    `what operators were told (the last ${operationsShown}):`,
    ...history.slice(-operationsShown).map((h) => `  ${h}`),
    `replay: ${JSON.stringify(x.moves)}`,
    '',
  ].join('\n');
}
