/**
 * Seeds are drawn from all machines that serve control, also those that hold none of its state. Virtual days in which
 * such seeds have lost their memory, as everybody was restarted: what control nodes have on their disks must lead
 * everybody back to them.
 */
import { expect, it } from 'vitest';
import {
  passedDeployments,
  playPassedOne,
  type Closing,
  type PassedDayOptions,
  type PassedOne,
  type PassedTrouble,
} from '../packages/simulator/src/index.js';

const ferry = passedDeployments['ferry']!;
const coldStorage = passedDeployments['cold-storage']!;

function at(seconds: number, what: PassedTrouble['do'], lasting = 1, who = 0.3): PassedTrouble {
  return { at: seconds, do: what, for: lasting, who };
}

function play(seed: number, over: Partial<PassedDayOptions>): Promise<PassedOne> {
  const d = seed % 2 === 0 ? ferry : coldStorage;
  return playPassedOne(d, seed, { closing: 'none', replicas: 3, span: 12, rate: 0.3, ...over });
}

async function expectServiceBack(seed: number, over: Partial<PassedDayOptions>): Promise<void> {
  const day = await play(seed, over);
  expect([seed, day.breaches]).toEqual([seed, []]);
  expect(day.margins.backAfter).toBeLessThan(6);
}

it('RECOVER: serves again though every seed is a machine without state', async () => {
  const ends: readonly [Closing, boolean][] = [
    ['all-lose-power', false],
    ['all-killed', false],
    ['all-lose-power', true],
    ['disks-lost-all-dark', true],
  ];
  for (const [closing, shared] of ends)
    for (const seed of [1, 2, 3, 4])
      await expectServiceBack(seed, {
        troubles: [at(1, 'seeds-exchanged')],
        closing,
        shared,
        replicas: shared ? 6 : 3,
      });
});

it.each([false, true])('serves again though each machine has seeds of its own (shared: %s)', async (shared) => {
  for (const seed of [1, 2, 3, 4, 5, 6])
    await expectServiceBack(seed, {
      troubles: [at(1, 'seeds-scattered')],
      closing: 'all-lose-power',
      shared,
      replicas: shared ? 6 : 3,
    });
});

it('RECOVER: serves again though control nodes and routers know different seeds', async () => {
  function laterSeeds(machine: string): string[] {
    return machine.startsWith('c') ? ['r0', 'r1', 'r2'] : ['r3', 'r4', 'r5'];
  }
  for (const seed of [1, 2, 3, 4])
    await expectServiceBack(seed, { troubles: [at(1, 'seeds-exchanged')], closing: 'all-lose-power', laterSeeds });
});
it('RECOVER: shows restarted seeds the control nodes though nobody else was restarted', async () => {
  const troubles = [
    at(1, 'seeds-exchanged'),
    ...[0, 1, 2].map((seed) => at(3 + 0.1 * seed, 'router-power', 1, (seed + 0.5) / ferry.routers)),
  ];
  const day = await play(2, { troubles, laterSeeds: () => ['r0', 'r1', 'r2'], span: 18 });
  expect(day.breaches).toEqual([]);
  const back = day.history.applied.filter(
    (applied) => ['r0', 'r1', 'r2'].includes(applied.router) && applied.life === 2,
  );
  expect(new Set(back.map((applied) => applied.router)).size).toBe(3);
});

it('RECOVER: looks for followers that were restarted, though its own seeds are older than theirs', async () => {
  const troubles = [
    at(1, 'seeds-exchanged'),
    ...[0, 1, 2].map((seed) => at(3 + 0.1 * seed, 'router-power', 1, (seed + 0.5) / ferry.routers)),
  ];
  function laterSeeds(machine: string): string[] {
    return machine.startsWith('c') ? ['c0', 'c1', 'c2'] : ['r0', 'r1', 'r2'];
  }
  const day = await play(2, { troubles, laterSeeds, span: 18 });
  expect(day.breaches).toEqual([]);
});
