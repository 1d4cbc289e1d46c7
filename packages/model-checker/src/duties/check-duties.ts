/** Plays schedules of the duties from seed to seed until one breaks a rule. */
import { playDutySchedule } from './duty-schedule.js';
import type { BrokenRule } from './rules.js';
import { scopeOf } from './scope.js';

/** Which seeds to play. */
export interface DutyCheckOptions {
  readonly firstSeed: number;
  readonly seeds: number;
  /** From one seed to the next; `kindsOfScope` keeps to one kind of schedule. */
  readonly stride: number;
}

/** What a hunt met. */
export interface DutyCheckResult {
  /** The first broken rule. */
  readonly finding: (BrokenRule & { readonly seed: number }) | undefined;
  readonly schedules: number;
  readonly steps: number;
  readonly calls: number;
  readonly fenced: number;
  readonly takeovers: number;
}

/** Plays the seeds in their order, up to the first that breaks a rule. */
export async function checkDuties({ firstSeed, seeds, stride }: DutyCheckOptions): Promise<DutyCheckResult> {
  let hunt: DutyCheckResult = { finding: undefined, schedules: 0, steps: 0, calls: 0, fenced: 0, takeovers: 0 };
  for (let index = 0; index < seeds && hunt.finding === undefined; index += 1) {
    const seed = firstSeed + stride * index;
    const { broken, steps, calls, fenced, takeovers } = await playDutySchedule(scopeOf(seed));
    hunt = {
      finding: broken && { ...broken, seed },
      schedules: hunt.schedules + 1,
      steps: hunt.steps + steps,
      calls: hunt.calls + calls,
      fenced: hunt.fenced + fenced,
      takeovers: hunt.takeovers + takeovers,
    };
  }
  return hunt;
}
