/**
 * Bounded exhaustive search, without storing states: each schedule is replayed from its start.
 *
 * A schedule is the default order of events with some deviations. Level by level, all schedules of up to N steps with
 * 0, 1, 2, … deviations are played, as in delay-bounded scheduling (M. Emmi, S. Qadeer and Z. Rakamarić, POPL 2011);
 * with as many deviations as steps the search is exhaustive up to that depth.
 *
 * States are merged by the kernel's fingerprint, which covers all inputs of each process with their local times, the
 * pending events and the global time. As each process is a deterministic function of its inputs, equal fingerprints mean
 * equal states (but for a collision of 64 bits), so merging is sound where the earlier visit had at least as many
 * steps and deviations left; the latter always holds, as levels are played in increasing order. Deliveries to different
 * processes at one time commute, so their orders reach the same state: this is the partial-order reduction by
 * happens-before fingerprints of M. Musuvathi and S. Qadeer (PLDI 2007). Nothing else is reduced. The fingerprint
 * leaves out the operators' earlier answers as far as these are not among their own inputs: the history that is checked
 * is that of the schedule which reached the state first.
 *
 * With fewer deviations than steps each schedule ends with a recovery period and reads at every machine; the exhaustive
 * search omits that and ends with the check of the history.
 */
import { alternativesOf } from './alternatives.js';
import type { Cluster, Scope } from './cluster.js';
import type { Move } from './moves.js';
import type { Violation } from './quorum-checks.js';
import type { RegisterCalls } from './register-calls.js';
import { playRun, replayChooser, type Moment, type PlacedMove } from './schedule.js';
import { situationOf } from './situation.js';

/** What is searched, and the limits. */
export interface SearchOptions {
  readonly scope: Scope;
  readonly seed: number;
  /** How many steps each schedule has after the first ones, which are not varied. */
  readonly depth: number;
  readonly deviations: number;
  /** Ends the search early when false; the result then says how far it got. */
  readonly shouldContinue: () => boolean;
  readonly calls?: RegisterCalls;
}

/** The result of a search. */
export interface SearchResult {
  readonly violation: Violation | undefined;
  readonly moves: readonly PlacedMove[];
  readonly schedules: number;
  readonly steps: number;
  readonly states: number;
  readonly situations: number;
  /** The largest number of deviations for which all schedules were played; -1 for none. */
  readonly completedDeviations: number;
}

type Schedule = readonly PlacedMove[];

interface Branch {
  readonly moment: Moment;
  readonly alternatives: readonly Move[];
}

interface Visit {
  readonly stepsLeft: number;
  /** The schedule that first reached the state with this many steps left. */
  readonly schedule: Schedule;
}

/** Steps before the first deviation, in which the cluster elects leaders and operators begin. */
const undisturbedSteps = 60;

class Search {
  private readonly visits = new Map<string, Visit>();
  private readonly situations = new Set<string>();
  private schedules = 0;
  private steps = 0;
  private violation: Violation | undefined;
  private counterexample: Schedule = [];

  constructor(private readonly options: SearchOptions) {}

  async run(): Promise<SearchResult> {
    let level: Schedule[] = [[]];
    if (await this.play(level[0]!, undefined)) return this.result(-1);
    for (let deviations = 1; deviations <= this.options.deviations; deviations += 1) {
      const next = await this.playLevel(level);
      if (next === undefined) return this.result(deviations - 1);
      level = next;
    }
    return this.result(this.options.deviations);
  }

  /** Plays all schedules with one more deviation; undefined if the search was ended early. */
  private async playLevel(parents: readonly Schedule[]): Promise<Schedule[] | undefined> {
    const children: Schedule[] = [];
    for (const parent of parents) {
      const branches: Branch[] = [];
      await this.play(parent, branches);
      for (const { moment, alternatives } of branches) {
        for (const move of alternatives) {
          const child = [...parent, { moment, move }];
          if (!this.options.shouldContinue() || (await this.play(child, undefined))) return undefined;
          if (child.length < this.options.deviations) children.push(child);
        }
      }
    }
    return children;
  }

  /** Plays one schedule, or collects the alternatives after its last deviation; true if a rule was broken. */
  private async play(schedule: Schedule, branches: Branch[] | undefined): Promise<boolean> {
    const { scope, seed, depth, deviations, calls } = this.options;
    const replay = replayChooser(schedule);
    let stepsLeft = depth + undisturbedSteps;
    let deviationsMade = 0;
    const continueOrStop = this.consider.bind(this, schedule, branches);
    function choose(cluster: Cluster, moment: Moment): Move | undefined | 'stop' {
      const move = replay(cluster, moment);
      if (move !== undefined) deviationsMade += 1;
      stepsLeft -= 1;
      const isPastLastDeviation = move === undefined && deviationsMade >= schedule.length && stepsLeft <= depth;
      return isPastLastDeviation ? continueOrStop(cluster, moment, stepsLeft) : move;
    }
    const maxSteps = depth + undisturbedSteps - schedule.length;
    const checksRecovery = deviations < depth;
    const outcome = await playRun({ scope, seed, untilUs: Infinity, maxSteps, calls, checksRecovery, choose });
    this.schedules += 1;
    this.steps += outcome.steps;
    if (outcome.violation === undefined) return false;
    this.violation = outcome.violation;
    this.counterexample = outcome.moves;
    return true;
  }

  /** Continues in the default order unless another schedule already does so from an equal state. */
  private consider(
    schedule: Schedule,
    branches: Branch[] | undefined,
    cluster: Cluster,
    moment: Moment,
    stepsLeft: number,
  ): 'stop' | undefined {
    if (branches === undefined) return this.visit(cluster, schedule, stepsLeft) ? undefined : 'stop';
    if (this.visits.get(cluster.kernel.fingerprint())?.schedule !== schedule) return 'stop';
    branches.push({ moment, alternatives: alternativesOf(cluster) });
    return undefined;
  }

  /** Records a state; false if it was visited before with at least as many steps left. */
  private visit(cluster: Cluster, schedule: Schedule, stepsLeft: number): boolean {
    const key = cluster.kernel.fingerprint();
    if ((this.visits.get(key)?.stepsLeft ?? -1) >= stepsLeft) return false;
    this.visits.set(key, { stepsLeft, schedule });
    this.situations.add(situationOf(cluster));
    return true;
  }

  private result(completedDeviations: number): SearchResult {
    const { violation, counterexample: moves, schedules, steps } = this;
    return {
      violation,
      moves,
      schedules,
      steps,
      states: this.visits.size,
      situations: this.situations.size,
      completedDeviations,
    };
  }
}

/** Searches all schedules within the bounds. */
export function search(options: SearchOptions): Promise<SearchResult> {
  return new Search(options).run();
}
