/** The command that plays duty schedules and checks that removed guards are detected. */
import { Command, Option } from 'clipanion';
import { checkDuties, type DutyCheckResult } from './check-duties.js';
import { runDutyMutant } from './duty-mutants.js';
import { dutyMutations } from './duty-mutations.js';
import { scopeKindCount } from './scope.js';

const violationExitCode = 1;
const mutantTimeLimitMs = 600_000;

function describeResult({ finding, schedules, steps, calls, notAccepted, takeovers }: DutyCheckResult): string {
  const verdict = finding === undefined ? 'no rule broken' : `seed ${finding.seed}: ${finding.rule}: ${finding.detail}`;
  const counts = `${steps} steps, ${calls} calls, ${notAccepted} not accepted, ${takeovers} takeovers`;
  return `${schedules} schedules, ${verdict}; ${counts}\n`;
}

/** The `duties` command: plays control nodes that make calls to the platform, with faults between any two steps. */
export class DutiesCommand extends Command {
  static override paths = [['duties']];
  static override usage = Command.Usage({
    description: 'Play schedules of the platform duties until one breaks a rule. Exits with 1 in that case.',
  });
  from = Option.String('--from', '1', { description: 'the first seed' });
  seeds = Option.String('--seeds', '300', { description: 'how many seeds; with --mutants, for each guard' });
  mutants = Option.Boolean('--mutants', false, {
    description: 'remove each guard instead; exits with 1 if a removal is not detected',
  });

  async execute(): Promise<number> {
    const seeds = Number(this.seeds);
    if (this.mutants) return this.checkMutants(seeds);
    const result = await checkDuties({ firstSeed: Number(this.from), seeds, stride: 1 });
    this.context.stdout.write(describeResult(result));
    return result.finding === undefined ? 0 : violationExitCode;
  }

  private async checkMutants(seeds: number): Promise<number> {
    let missed = 0;
    for (const [index, mutation] of dutyMutations.entries()) {
      const options = { firstSeed: scopeKindCount + mutation.kind, seeds, stride: scopeKindCount };
      const result = await runDutyMutant(process.cwd(), `duty-${index}`, mutation, options, mutantTimeLimitMs);
      if ('error' in result || result.finding === undefined) missed += 1;
      this.context.stdout.write(
        `${mutation.name}: ${'error' in result ? `${result.error}\n` : describeResult(result)}`,
      );
    }
    return missed > 0 ? violationExitCode : 0;
  }
}
