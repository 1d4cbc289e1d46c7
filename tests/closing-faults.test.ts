/**
 * All control nodes are killed or lose power while configuration changes are in progress: in the middle of a simulated
 * day, and as the fault that ends it. The moment is swept in steps of 20 ms over the duration of several changes. All
 * disks are slow, so that a change acknowledged before its sync is lost and detected.
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

function troubleAt(at: number, kind: PassedTrouble['do']): PassedTrouble {
  return { at, do: kind, for: 1, who: 0.3 };
}
/** A day in which a burst of changes and a change of a second operator begin `step` steps before second 4. */
function playDay(step: number, overrides: Partial<PassedDayOptions>, losesPower = false): Promise<PassedOne> {
  const begins = killAt - step * stepSeconds;
  const troubles = [
    troubleAt(begins, 'config-storm'),
    troubleAt(begins + 0.01, 'config-race'),
    ...(overrides.troubles ?? []),
  ];
  const replicaCount = step % 2 === 0 ? 3 : 5;
  function look(second: number, cluster: Parameters<NonNullable<PassedDayOptions['look']>>[1]): void {
    for (const machine of cluster.machines.values()) {
      machine.disk.extraLatencyUs = slowSyncMicros;
      // The processes were killed earlier in this second; the power loss now drops whatever was not synced.
      if (losesPower && second === killAt) machine.disk.crash();
    }
  }
  const defaults = { span: 12, rate: 0.1, closing: 'none' as const, places: replicaCount, look };
  return playPassedOne(deployment, 100 + step, { ...defaults, ...overrides, troubles });
}
function pendingChanges(day: PassedOne, at: number): number {
  return day.history.changes.filter((change) => change.at < at && (change.answeredAt ?? Infinity) > at).length;
}
/** The start of the first recorded fault of this kind. */
function startOf(day: PassedOne, kind: string): number {
  return day.history.troubles.find((trouble) => trouble.what === kind)!.from;
}

it.each([false, true])(
  'keeps every acknowledged change if all control nodes fail at once during the day (power lost: %s)',
  async (losesPower) => {
    let hits = 0;
    for (let step = 0; step < steps; step += 1) {
      const day = await playDay(step, { troubles: [troubleAt(killAt, 'herd-kill')] }, losesPower);
      expect([step, day.breaches]).toEqual([step, []]);
      if (pendingChanges(day, startOf(day, 'killed whole')) > 0) hits += 1;
    }
    expect(hits).toBeGreaterThan(4);
  },
);

it.each(['all-killed', 'all-lose-power', 'one-disk-lost', 'disks-lost-all-dark'] as const)(
  'reads back acknowledged changes after a closing fault during changes: %s',
  async (closing) => {
    let hits = 0;
    for (let step = 0; step < steps; step += 1) {
      const day = await playDay(step, { closing, span: killAt + 1 });
      expect([step, day.breaches]).toEqual([step, []]);
      if (pendingChanges(day, startOf(day, closing)) > 0) hits += 1;
    }
    expect(hits).toBeGreaterThan(4);
  },
);
