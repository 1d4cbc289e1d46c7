/**
 * The duties under troubles between any two steps: kills between intent, call and outcome, holders that freeze and wake,
 * cuts, lost disks and a platform that is busy, slow, down or deaf. The shipped code breaks no rule; without any one of
 * its guards, a rule is broken.
 */
import { fileURLToPath } from 'node:url';
import { beforeAll, describe, expect, it } from 'vitest';
import { checkDuties, type DutyCheckResult } from './check-duties.js';
import { runDutyMutant } from './duty-mutants.js';
import { dutyMutations } from './duty-mutations.js';
import { playDutySchedule } from './duty-schedule.js';
import { scopeKindCount, scopeOf } from './scope.js';

const root = fileURLToPath(new URL('../../../..', import.meta.url));
/** More by DUTY_SCHEDULES=N. */
const schedules = Number(process.env['DUTY_SCHEDULES'] ?? 150);

it(
  'breaks no rule in schedules with troubles between any two steps',
  async () => {
    const hunt = await checkDuties({ firstSeed: 1, seeds: schedules, stride: 1 });
    expect(hunt.finding).toBeUndefined();
    expect(hunt.schedules).toBe(schedules);
    // The schedules bring about what they are for.
    expect(hunt.calls).toBeGreaterThan(10 * schedules);
    expect(hunt.takeovers).toBeGreaterThan(schedules / 2);
    expect(hunt.fenced).toBeGreaterThan(schedules / 10);
  },
  100 * schedules + 30_000,
);

it('plays a seed alike each time', async () => {
  expect(await playDutySchedule(scopeOf(7))).toEqual(await playDutySchedule(scopeOf(7)));
});

describe('finds that a guard is missing', () => {
  const seeds = 480;
  const threads = 3;
  const limitMs = 60_000;
  const hunts = new Map<string, DutyCheckResult | { readonly error: string }>();

  beforeAll(async () => {
    const left = [...dutyMutations.entries()];
    async function work(): Promise<void> {
      for (let next = left.shift(); next !== undefined; next = left.shift()) {
        const [index, mutation] = next;
        const options = { firstSeed: scopeKindCount + mutation.kind, seeds, stride: scopeKindCount };
        hunts.set(mutation.name, await runDutyMutant(root, `test-duty-${index}`, mutation, options, limitMs));
      }
    }
    await Promise.all(Array.from({ length: threads }, work));
  }, 240_000);

  it.each(dutyMutations.map((mutation) => mutation.name))('%s', (name) => {
    const hunt = hunts.get(name)!;
    expect('error' in hunt ? hunt.error : hunt.finding?.rule).toMatch(
      /^(one content|one fence|turns|between holders|rising fences|written before|term ends|pace|owed|in order|newest last)$/,
    );
  });
});
