/**
 * All machines that count are killed, or lose power, while changes of the configuration are under way: in mid-day, and
 * as the fault that closes the day. The moment is swept in steps of 20 ms over the time
 * that several changes take. All disks are slow, so that what is acknowledged before its sync shows as lost.
 */
import { expect, it } from 'vitest';
import {
  passedDeployments,
  playPassedOne,
  type PassedDayOptions,
  type PassedOne,
  type PassedTrouble,
} from '../packages/simulator/src/index.js';

const deployment = passedDeployments['cold-storage']!;
const stepSeconds = 0.02;
const slowSyncMicros = 40_000;
const steps = 24;
const killAt = 4;

function trouble(at: number, what: PassedTrouble['do']): PassedTrouble {
  return { at, do: what, for: 1, who: 0.3 };
}
/** A day whose storm of changes, and a change of a second operator, begin so many steps before second 4. */
function day(step: number, over: Partial<PassedDayOptions>, losesPower = false): Promise<PassedOne> {
  const begins = killAt - step * stepSeconds;
  const troubles = [trouble(begins, 'config-storm'), trouble(begins + 0.01, 'config-race'), ...(over.troubles ?? [])];
  const places = step % 2 === 0 ? 3 : 5;
  function look(second: number, core: Parameters<NonNullable<PassedDayOptions['look']>>[1]): void {
    for (const machine of core.machines.values()) {
      machine.disk.extraLatencyUs = slowSyncMicros;
      // The kill of this second came first; what no disk had synced is now lost with the power.
      if (losesPower && second === killAt) machine.disk.crash();
    }
  }
  const usual = { span: 12, rate: 0.1, closing: 'none' as const, places, look };
  return playPassedOne(deployment, 100 + step, { ...usual, ...over, troubles });
}
function underWay(x: PassedOne, at: number): number {
  return x.history.changes.filter((c) => c.at < at && (c.answeredAt ?? Infinity) > at).length;
}
/** The moment of the first recorded trouble of this name. */
function moment(x: PassedOne, what: string): number {
  return x.history.troubles.find((t) => t.what === what)!.from;
}

it.each([false, true])(
  'keeps every acknowledged change when all go at once in mid-day (power lost: %s)',
  async (power) => {
    let hit = 0;
    for (let step = 0; step < steps; step += 1) {
      const x = await day(step, { troubles: [trouble(killAt, 'herd-kill')] }, power);
      expect([step, x.breaches]).toEqual([step, []]);
      if (underWay(x, moment(x, 'killed whole')) > 0) hit += 1;
    }
    expect(hit).toBeGreaterThan(4);
  },
);

it.each(['all-killed', 'all-lose-power', 'one-disk-lost', 'disks-lost-all-dark'] as const)(
  'reads back what was acknowledged after a closing fault that meets changes under way: %s',
  async (closing) => {
    let hit = 0;
    for (let step = 0; step < steps; step += 1) {
      const x = await day(step, { closing, span: killAt + 1 });
      expect([step, x.breaches]).toEqual([step, []]);
      if (underWay(x, moment(x, closing)) > 0) hit += 1;
    }
    expect(hit).toBeGreaterThan(4);
  },
);
