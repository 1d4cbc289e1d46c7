/**
 * Seeds may be any machines that serve control, including gateways without control state. In these simulated days such
 * seeds have lost their in-memory view of the control nodes, because they, or all machines, were restarted: the state on
 * the disks of the control nodes must be enough for all machines to find them again.
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

/** A fault at this time, of this duration in seconds; `who` in [0, 1) picks the machine. */
function at(seconds: number, kind: PassedTrouble['do'], duration = 1, who = 0.3): PassedTrouble {
  return { at: seconds, do: kind, for: duration, who };
}

function play(seed: number, overrides: Partial<PassedDayOptions>): Promise<PassedOne> {
  const deployment = seed % 2 === 0 ? ferry : coldStorage;
  return playPassedOne(deployment, seed, { closing: 'none', replicas: 3, span: 12, rate: 0.3, ...overrides });
}

async function expectServiceBack(seed: number, overrides: Partial<PassedDayOptions>): Promise<void> {
  const day = await play(seed, overrides);
  expect([seed, day.breaches]).toEqual([seed, []]);
  expect(day.margins.backAfter).toBeLessThan(6);
}

it('RECOVER: serves again though every seed is a machine without control state', async () => {
  const closingFaults: readonly [Closing, boolean][] = [
    ['all-lose-power', false],
    ['all-killed', false],
    ['all-lose-power', true],
    ['disks-lost-all-dark', true],
  ];
  for (const [closing, shared] of closingFaults)
    for (const seed of [1, 2, 3, 4])
      await expectServiceBack(seed, {
        troubles: [at(1, 'seeds-exchanged')],
        closing,
        shared,
        replicas: shared ? 6 : 3,
      });
});

it.each([false, true])('serves again though each machine has its own seeds (shared: %s)', async (shared) => {
  for (const seed of [1, 2, 3, 4, 5, 6])
    await expectServiceBack(seed, {
      troubles: [at(1, 'seeds-scattered')],
      closing: 'all-lose-power',
      shared,
      replicas: shared ? 6 : 3,
    });
});

it('RECOVER: serves again though control nodes and routers have different seeds', async () => {
  function laterSeeds(machine: string): string[] {
    return machine.startsWith('c') ? ['r0', 'r1', 'r2'] : ['r3', 'r4', 'r5'];
  }
  for (const seed of [1, 2, 3, 4])
    await expectServiceBack(seed, { troubles: [at(1, 'seeds-exchanged')], closing: 'all-lose-power', laterSeeds });
});
it('RECOVER: tells restarted seeds the control nodes though no other machine was restarted', async () => {
  // The last argument picks the router r<seed>.
  const troubles = [
    at(1, 'seeds-exchanged'),
    ...[0, 1, 2].map((seed) => at(3 + 0.1 * seed, 'router-power', 1, (seed + 0.5) / ferry.routers)),
  ];
  const day = await play(2, { troubles, laterSeeds: () => ['r0', 'r1', 'r2'], span: 18 });
  expect(day.breaches).toEqual([]);
  // Life 2 is a router's process after its restart.
  const restarted = day.history.applied.filter(
    (applied) => ['r0', 'r1', 'r2'].includes(applied.router) && applied.life === 2,
  );
  expect(new Set(restarted.map((applied) => applied.router)).size).toBe(3);
});

it('RECOVER: finds restarted followers though the control nodes have other seeds than the followers', async () => {
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
