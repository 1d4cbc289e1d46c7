/**
 * Long random walks. Every few events the walk makes a move. Kinds of moves are drawn with weights that decrease with
 * how often the kind was used in the current situation, which favours rare pairs of situation and move. The weights
 * belong to one walk, so its seed alone replays it.
 */
import { createSeededRandom } from '@tansypost/inner-protocol';
import type { Cluster, Scope } from './cluster.js';
import { drawMove, moveKinds, defaultWeights, type DrawnMoveKind } from './draws.js';
import type { Move } from './moves.js';
import type { RegisterCalls } from './register-calls.js';
import { playRun, type Outcome } from './schedule.js';
import { situationOf } from './situation.js';

/** The settings of one walk. */
export interface WalkOptions {
  readonly scope: Scope;
  readonly seed: number;
  readonly lengthUs: number;
  readonly calls?: RegisterCalls;
  /** Collects the situations reached; several walks may share it. */
  readonly situations?: Set<string>;
}

/** The mean number of events between two moves, in a busy stretch and in a calm one. */
const busyMoveIntervalEvents = 6;
const calmMoveIntervalEvents = 60;
const stretchContinuationProbability = 0.85;
const firstMoveUs = 1_500_000;

class GuidedChooser {
  private readonly moveCounts = new Map<string, number>();
  private readonly random: () => number;
  private moveIntervalEvents = calmMoveIntervalEvents;

  constructor(private readonly options: WalkOptions) {
    this.random = createSeededRandom(options.seed * 7919 + 17);
  }

  choose(cluster: Cluster): Move | undefined {
    const from = cluster.scope.statelessSeeds ? 0 : firstMoveUs;
    if (cluster.kernel.now() < from || this.random() >= 1 / this.moveIntervalEvents) return undefined;
    if (this.random() >= stretchContinuationProbability)
      this.moveIntervalEvents = this.random() < 0.5 ? busyMoveIntervalEvents : calmMoveIntervalEvents;
    const situation = situationOf(cluster);
    this.options.situations?.add(situation);
    const kind = this.drawKind(situation);
    const pair = `${situation}/${kind}`;
    this.moveCounts.set(pair, (this.moveCounts.get(pair) ?? 0) + 1);
    return drawMove(kind, cluster, this.random);
  }

  private drawKind(situation: string): DrawnMoveKind {
    const weights = moveKinds.map(
      (kind) => defaultWeights[kind] / (1 + (this.moveCounts.get(`${situation}/${kind}`) ?? 0)),
    );
    let remainingWeight = this.random() * weights.reduce((sum, weight) => sum + weight, 0);
    const index = weights.findIndex((weight) => (remainingWeight -= weight) <= 0);
    return moveKinds[Math.max(0, index)]!;
  }
}

/** Plays one random walk. */
export function walk(options: WalkOptions): Promise<Outcome> {
  const { scope, seed, lengthUs, calls } = options;
  const chooser = new GuidedChooser(options);
  return playRun({ scope, seed, untilUs: lengthUs, calls, choose: (cluster) => chooser.choose(cluster) });
}
