/** Tests of the checker: short fixed runs without violations, replay, shrinking, and mutations that must be detected. */
import { readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { expect, it } from 'vitest';
import { defaultCheckOptions } from './check-model.js';
import { playBootstrapSchedules } from './bootstrap-schedules.js';
import { bootstrapMutations, mutations } from './mutations.js';
import { applyEdits, runMutant } from './mutants.js';
import { replay, shrinkCounterexample } from './report.js';
import { bootstrapReplicaCount, bootstrapScope, searchScope, walkScope } from './scopes.js';
import { search } from './search.js';
import { shrinkMoves } from './shrink.js';
import { walk } from './walk.js';

const root = fileURLToPath(new URL('../../..', import.meta.url));

it('finds no violation in all schedules of 8 steps with one deviation', async () => {
  const result = await search({ scope: searchScope(3), seed: 1, depth: 8, deviations: 1, shouldContinue: () => true });
  expect(result.violation).toBeUndefined();
  expect(result.completedDeviations).toBe(1);
  expect(result.states).toBeGreaterThan(300);
});

it.each([
  [3, 1],
  [3, 2],
  [3, 4],
  [5, 3],
])('finds no violation on a walk with %d replicas and seed %d', async (replicas, seed) => {
  const situations = new Set<string>();
  const result = await walk({ scope: walkScope(replicas, seed), seed, lengthUs: 30_000_000, situations });
  expect(result.violation).toBeUndefined();
  expect(result.moves.length).toBeGreaterThan(20);
  expect(situations.size).toBeGreaterThan(20);
});

it('replays a walk from its moves alone, to the same state', async () => {
  const scope = walkScope(3, 5);
  const lengthUs = 15_000_000;
  const walked = await walk({ scope, seed: 5, lengthUs });
  const replayed = await replay({ scope, seed: 5, moves: walked.moves, untilUs: lengthUs });
  expect(replayed.moves).toEqual(walked.moves);
  expect([replayed.steps, replayed.history]).toEqual([walked.steps, walked.history]);
});

it('shrinks a list to the moves that reproduce the violation', async () => {
  const moves = Array.from({ length: 40 }, (_unused, index) => ({
    moment: { timeUs: index, order: 0 },
    move: { kind: 'join', spare: `s${index}` } as const,
  }));
  const needed = [moves[7]!, moves[31]!];
  async function reproduces(some: readonly unknown[]): Promise<boolean> {
    return needed.every((move) => some.includes(move));
  }
  expect(await shrinkMoves(moves, { reproduces, maxRuns: 200 })).toEqual(needed);
});

it('leaves a run without a violation unchanged', async () => {
  const scope = walkScope(3, 1);
  const example = { scope, seed: 1, moves: [], untilUs: 2_000_000 };
  expect((await shrinkCounterexample(example)).moves).toEqual([]);
});

it('has mutations whose texts match the sources, and rejects an edit whose text does not', async () => {
  expect(mutations.length).toBeGreaterThanOrEqual(16);
  for (const mutation of mutations) {
    const source = await readFile(`${root}/${mutation.file}`, 'utf8');
    expect(applyEdits(mutation, source)).not.toBe(source);
  }
  expect(() => applyEdits({ ...mutations[0]!, edits: [{ from: 'no such text', to: '' }] }, 'source')).toThrow(
    /0 times/,
  );
});

it.each(['a vote is answered after the sync', 'a majority is asked before a read or a refusal'])(
  'detects the missing mechanism: %s',
  async (name) => {
    const mutation = mutations.find((each) => each.name === name)!;
    const outcome = await runMutant(
      root,
      `test-${mutations.indexOf(mutation)}`,
      mutation,
      { ...defaultCheckOptions, searchDepth: 3 },
      30_000,
    );
    expect('finding' in outcome ? outcome.finding?.violation.rule : outcome).toMatch(
      /durable before promised|linearizable/,
    );
  },
);

it('bootstraps at most one cluster in short schedules of a first start with stateless seeds', () => {
  const { violation, bootstrapped } = playBootstrapSchedules(20_000);
  expect(violation).toBeUndefined();
  expect(bootstrapped).toBeGreaterThan(4000);
});

it('bootstraps at most one cluster on walks over such a first start, and serves or reports why it waits', async () => {
  for (let seed = 1; seed <= 24; seed += 1) {
    const scope = bootstrapScope(bootstrapReplicaCount(seed), seed);
    const { violation } = await walk({ scope, seed, lengthUs: 8_000_000 });
    expect([seed, violation]).toEqual([seed, undefined]);
  }
}, 60_000);

// The fourth mutation, bootstrapping after a restart, was not detected in 40,000 schedules; discovery-bootstrap.test.ts
// covers it.
it.each(bootstrapMutations.slice(0, 3).map((mutation) => mutation.name))(
  'detects the missing mechanism at a first start: %s',
  async (name) => {
    const mutation = mutations.find((each) => each.name === name)!;
    const options = { ...defaultCheckOptions, bootstrapWalks: 40 };
    const found = await runMutant(root, `founding-${mutations.indexOf(mutation)}`, mutation, options, 60_000);
    expect('finding' in found ? found.finding?.violation.rule : found).toBe('one bootstrap');
  },
  70_000,
);
