/**
 * One fixed check: a search with few deviations, then random walks, until a rule is broken or all of them were played.
 * Its limits are counts and virtual time, never real time, so its result is the same on every machine.
 */
import type { Scope } from './cluster.js';
import { playBootstrapSchedules } from './bootstrap-schedules.js';
import type { Violation } from './quorum-checks.js';
import type { PlacedMove } from './schedule.js';
import { bootstrapReplicaCount, bootstrapScope, searchScope, walkScope } from './scopes.js';
import { search } from './search.js';
import { walk } from './walk.js';

/** A broken rule and the run that breaks it. */
export interface Finding {
  readonly violation: Violation;
  /** Which part of the check found it, such as the search or a walk. */
  readonly by: string;
  readonly seed: number;
  readonly scope: Scope;
  readonly moves: readonly PlacedMove[];
}

/** The result of a check. */
export interface CheckResult {
  readonly finding: Finding | undefined;
  readonly steps: number;
}

/** The limits of a check. */
export interface CheckOptions {
  readonly walks: number;
  readonly walkLengthUs: number;
  readonly searchDepth: number;
  readonly searchDeviations: number;
  /** Seeds of walks to skip, as the unmodified code breaks a rule on them. */
  readonly excludedSeeds?: readonly number[];
  /** If set, only the first start with stateless seeds is checked, on this many walks. */
  readonly bootstrapWalks?: number;
  /** Rules that the unmodified code breaks on some seeds, so that breaking them shows nothing about a mutation. */
  readonly ignoredRules?: readonly string[];
}

/** The check that the `mutants` command runs. */
export const defaultCheckOptions: CheckOptions = {
  walks: 150,
  walkLengthUs: 30_000_000,
  searchDepth: 20,
  searchDeviations: 1,
};

/** A walk on which the unmodified code breaks a rule. */
export interface BaselineViolation {
  readonly seed: number;
  readonly rule: string;
}

/** All walks on which the unmodified code breaks a rule. */
export async function findBaselineViolations(options: CheckOptions): Promise<BaselineViolation[]> {
  const baseline: BaselineViolation[] = [];
  for (let seed = 1; seed <= options.walks; seed += 1) {
    const scope = walkScope(replicaCountFor(seed), seed);
    const { violation } = await walk({ scope, seed, lengthUs: options.walkLengthUs });
    if (violation !== undefined) baseline.push({ seed, rule: violation.rule });
  }
  return baseline;
}

/** Every fourth walk has five replicas. */
function replicaCountFor(seed: number): number {
  return seed % 4 === 3 ? 5 : 3;
}

const bootstrapWalkUs = 8_000_000;
const schedulesPerWalk = 1000;
const minReplicas = 3;

/** Plays short schedules of a first start and then walks over it, until a rule is broken. */
export async function checkBootstrap(walks: number): Promise<CheckResult> {
  let steps = 0;
  const { violation: scheduleViolation, seed: schedule } = playBootstrapSchedules(schedulesPerWalk * walks);
  if (scheduleViolation !== undefined) {
    const found = { violation: scheduleViolation, by: 'bootstrap schedule', seed: schedule };
    return { finding: { ...found, scope: bootstrapScope(minReplicas, schedule), moves: [] }, steps };
  }
  for (let seed = 1; seed <= walks; seed += 1) {
    const scope = bootstrapScope(bootstrapReplicaCount(seed), seed);
    const walked = await walk({ scope, seed, lengthUs: bootstrapWalkUs });
    const { violation, moves } = walked;
    steps += walked.steps;
    if (violation !== undefined) return { finding: { violation, by: 'bootstrap walk', seed, scope, moves }, steps };
  }
  return { finding: undefined, steps };
}

/** Runs the check until a rule is broken. */
export async function checkModel(options: CheckOptions): Promise<CheckResult> {
  if (options.bootstrapWalks !== undefined) return checkBootstrap(options.bootstrapWalks);
  let steps = 0;
  const scope = searchScope(3);
  const searched = await search({
    scope,
    seed: 1,
    depth: options.searchDepth,
    deviations: options.searchDeviations,
    shouldContinue: () => true,
  });
  steps += searched.steps;
  if (searched.violation !== undefined)
    return { finding: { violation: searched.violation, by: 'search', seed: 1, scope, moves: searched.moves }, steps };
  for (let seed = 1; seed <= options.walks; seed += 1) {
    if (options.excludedSeeds?.includes(seed) === true) continue;
    const walked = walkScope(replicaCountFor(seed), seed);
    const {
      violation,
      moves,
      steps: walkedSteps,
    } = await walk({ scope: walked, seed, lengthUs: options.walkLengthUs });
    steps += walkedSteps;
    if (violation !== undefined && options.ignoredRules?.includes(violation.rule) !== true)
      return { finding: { violation, by: `walk with ${walked.replicas} replicas`, seed, scope: walked, moves }, steps };
  }
  return { finding: undefined, steps };
}
