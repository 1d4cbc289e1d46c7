/**
 * Duties with faults between any two steps: kills between intent, call and outcome, leaders that freeze and resume,
 * partitions, lost disks, and a platform that is busy, slow, down or does not answer. The production code must break no
 * rule; without any one of its guards, a rule must be broken.
 */
import { fileURLToPath } from 'node:url';
import { beforeAll, describe, expect, it } from 'vitest';
import { checkDuties, type DutyCheckResult } from './check-duties.js';
import { runDutyMutant } from './duty-mutants.js';
import { dutyMutations } from './duty-mutations.js';
import { playDutySchedule } from './duty-schedule.js';
import { scopeKindCount, scopeOf } from './scope.js';

const root = fileURLToPath(new URL('../../../..', import.meta.url));
/** Override with DUTY_SCHEDULES=N. */
const schedules = Number(process.env['DUTY_SCHEDULES'] ?? 150);

it(
  'breaks no rule in schedules with faults between any two steps',
  async () => {
    const result = await checkDuties({ firstSeed: 1, seeds: schedules, stride: 1 });
    expect(result.finding).toBeUndefined();
    expect(result.schedules).toBe(schedules);
    // The schedules do exercise calls, takeovers and calls that are not accepted.
    expect(result.calls).toBeGreaterThan(10 * schedules);
    expect(result.takeovers).toBeGreaterThan(schedules / 2);
    expect(result.notAccepted).toBeGreaterThan(schedules / 10);
  },
  100 * schedules + 30_000,
);

it('plays the same schedule each time for the same seed', async () => {
  expect(await playDutySchedule(scopeOf(7))).toEqual(await playDutySchedule(scopeOf(7)));
});

describe('detects a missing guard', () => {
  const seeds = 480;
  const threads = 3;
  const limitMs = 60_000;
  const results = new Map<string, DutyCheckResult | { readonly error: string }>();

  beforeAll(async () => {
    const queue = [...dutyMutations.entries()];
    async function work(): Promise<void> {
      for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
        const [index, mutation] = next;
        const options = { firstSeed: scopeKindCount + mutation.kind, seeds, stride: scopeKindCount };
        results.set(mutation.name, await runDutyMutant(root, `test-duty-${index}`, mutation, options, limitMs));
      }
    }
    await Promise.all(Array.from({ length: threads }, work));
  }, 240_000);

  it.each(dutyMutations.map((mutation) => mutation.name))('%s', (name) => {
    const result = results.get(name)!;
    expect('error' in result ? result.error : result.finding?.rule).toMatch(
      /^(one content per report|one leader per fence|turns|takeover gap|rising fences|intent written first|term ends|pace|owed|in order|newest last)$/,
    );
  });
});
