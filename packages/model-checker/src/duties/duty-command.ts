/** The command that plays schedules of the duties, and takes their guards away. */
import { Command, Option } from 'clipanion';
import { checkDuties, type DutyCheckResult } from './check-duties.js';
import { runDutyMutant } from './duty-mutants.js';
import { dutyMutations } from './duty-mutations.js';
import { scopeKindCount } from './scope.js';

const brokenExit = 1;
const mutantLimitMs = 600_000;

function tell({ finding, schedules, steps, calls, fenced, takeovers }: DutyCheckResult): string {
  const found =
    finding === undefined ? 'none broke a rule' : `seed ${finding.seed}: ${finding.rule}: ${finding.detail}`;
  const counts = `${steps} steps, ${calls} calls, ${fenced} not accepted, ${takeovers} takeovers`;
  return `${schedules} schedules, ${found}; ${counts}\n`;
}

/** Schedules of control nodes that make calls to the platform, with troubles between any two steps. */
export class DutiesCommand extends Command {
  static override paths = [['duties']];
  static override usage = Command.Usage({
    description: 'Play schedules of the platform duties up to the first that breaks a rule. Ends with 1 then.',
  });
  from = Option.String('--from', '1', { description: 'the first seed' });
  seeds = Option.String('--seeds', '300', { description: 'how many seeds; with --mutants for each guard' });
  mutants = Option.Boolean('--mutants', false, {
    description: 'take each guard away instead; ends with 1 when that is not found',
  });

  async execute(): Promise<number> {
    const seeds = Number(this.seeds);
    if (this.mutants) return this.huntMutants(seeds);
    const hunt = await checkDuties({ firstSeed: Number(this.from), seeds, stride: 1 });
    this.context.stdout.write(tell(hunt));
    return hunt.finding === undefined ? 0 : brokenExit;
  }

  private async huntMutants(seeds: number): Promise<number> {
    let missed = 0;
    for (const [index, mutation] of dutyMutations.entries()) {
      const options = { firstSeed: scopeKindCount + mutation.kind, seeds, stride: scopeKindCount };
      const hunt = await runDutyMutant(process.cwd(), `duty-${index}`, mutation, options, mutantLimitMs);
      if ('error' in hunt || hunt.finding === undefined) missed += 1;
      this.context.stdout.write(`${mutation.name}: ${'error' in hunt ? `${hunt.error}\n` : tell(hunt)}`);
    }
    return missed > 0 ? brokenExit : 0;
  }
}
