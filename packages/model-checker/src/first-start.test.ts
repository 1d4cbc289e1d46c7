/** First starts of three machines that hold state, one of which is lost for good at some moment and replaced. */
import { expect, it } from 'vitest';
import { playRun, type Chooser, type Outcome } from './schedule.js';
import { walkScope } from './scopes.js';

const machines = ['c0', 'c1', 'c2'] as const;
const runLengthUs = 6_000_000;

function replaceOnce(machine: string, atUs: number): Chooser {
  let replaced = false;
  return function choose(_cluster, { timeUs }) {
    if (replaced || timeUs < atUs) return undefined;
    replaced = true;
    return { kind: 'replace', machine, spare: 's0' };
  };
}

function startWithLoss(seed: number, machine: string, atUs: number): Promise<Outcome> {
  const scope = { ...walkScope(machines.length, seed), bootstraps: true };
  return playRun({ scope, seed, untilUs: runLengthUs, choose: replaceOnce(machine, atUs) });
}

async function violationsOf(losses: readonly number[]): Promise<unknown[]> {
  const found: unknown[] = [];
  for (const [index, atUs] of losses.entries())
    for (const machine of machines) {
      const { violation } = await startWithLoss(index + 1, machine, atUs);
      if (violation !== undefined) found.push({ machine, atUs, violation });
    }
  return found;
}

it('serves after a machine was lost once the cluster is bootstrapped', async () => {
  expect(await violationsOf([1_000_000, 2_000_000, 4_000_000])).toEqual([]);
});

// Guards against a first start that waits for good (review/8).
it('serves after a machine was lost before the cluster was bootstrapped', async () => {
  expect(await violationsOf([0, 100, 300, 1_000, 3_000, 10_000, 100_000])).toEqual([]);
});
