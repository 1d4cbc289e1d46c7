/** Plays duty schedules, one for each seed, until one breaks a rule. */
import { playDutySchedule } from './duty-schedule.js';
import type { BrokenRule } from './rules.js';
import { scopeOf } from './scope.js';

/** The seeds to play. */
export interface DutyCheckOptions {
  readonly firstSeed: number;
  readonly seeds: number;
  /** The step from one seed to the next; `scopeKindCount` selects a single kind of schedule. */
  readonly stride: number;
}

/** The result of a check. */
export interface DutyCheckResult {
  /** The first broken rule. */
  readonly finding: (BrokenRule & { readonly seed: number }) | undefined;
  readonly schedules: number;
  readonly steps: number;
  readonly calls: number;
  readonly notAccepted: number;
  readonly takeovers: number;
}

/** Plays the seeds in order, up to the first that breaks a rule. */
export async function checkDuties({ firstSeed, seeds, stride }: DutyCheckOptions): Promise<DutyCheckResult> {
  let result: DutyCheckResult = { finding: undefined, schedules: 0, steps: 0, calls: 0, notAccepted: 0, takeovers: 0 };
  for (let index = 0; index < seeds && result.finding === undefined; index += 1) {
    const seed = firstSeed + stride * index;
    const { brokenRule, steps, calls, notAccepted, takeovers } = await playDutySchedule(scopeOf(seed));
    result = {
      finding: brokenRule && { ...brokenRule, seed },
      schedules: result.schedules + 1,
      steps: result.steps + steps,
      calls: result.calls + calls,
      notAccepted: result.notAccepted + notAccepted,
      takeovers: result.takeovers + takeovers,
    };
  }
  return result;
}
