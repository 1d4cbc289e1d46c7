/** Reproduces the incidents of docs/incidents/ in simulated days; each test failed on the code that had the fault. */
import { expect, it } from 'vitest';
import {
  passedDeployments,
  playPassedOne,
  type PassedDayOptions,
  type PassedOne,
  type PassedTrouble,
} from '../packages/simulator/src/index.js';

const coldStorage = passedDeployments['cold-storage']!;
const second = 1_000_000;

function troubleAt(at: number, kind: PassedTrouble['do'], seconds = 4): PassedTrouble {
  return { at, do: kind, for: seconds, who: 0.3 };
}
function play(
  seed: number,
  troubles: readonly PassedTrouble[],
  overrides: Partial<PassedDayOptions>,
): Promise<PassedOne> {
  return playPassedOne(coldStorage, seed, { troubles, closing: 'none', replicas: 3, ...overrides });
}

it('RECOVER: serves again after all decode workers were withdrawn, also after everything was killed', async () => {
  for (const seed of [7, 8, 9]) {
    const day = await play(seed, [troubleAt(2, 'decode-withdrawn')], { span: 34, closing: 'all-killed' });
    expect([seed, day.breaches]).toEqual([seed, []]);
    // Requests on a route that a change removed are rightly answered 404.
    const lateAttempts = day.history.tries.filter(
      (attempt) =>
        attempt.at > day.history.to - 18 * second && attempt.id.endsWith('.1') && attempt.ended !== 'unknown_path',
    );
    expect(lateAttempts.length).toBeGreaterThan(100);
    expect(lateAttempts.filter((attempt) => attempt.ended === 'whole').length).toBeGreaterThan(
      0.9 * lateAttempts.length,
    );
  }
});

it('LOST: cuts off no request on a kept connection during a rolling restart of all routers', async () => {
  // Answers take a second or two, so that each router always has one in progress.
  const kinds = coldStorage.kinds.map((kind) => ({ ...kind, answer: Math.max(kind.answer, 320) }));
  const longAnswers = { ...coldStorage, kinds };
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const day = await play(seed, [troubleAt(2, 'router-roll-all')], { deployment: longAnswers, span: 24, rate: 1.5 });
    expect([seed, day.breaches]).toEqual([seed, []]);
  }
});

it('ORDER: no client receives a piece that no run made while workers garble their streams', async () => {
  function garbled(at: number): PassedTrouble {
    return { at, do: 'answers-garbled', for: 5, who: 0.9 };
  }
  for (const seed of [51, 52, 53]) {
    const day = await play(seed, [garbled(2), garbled(9), garbled(16)], { span: 24 });
    expect([seed, day.breaches]).toEqual([seed, []]);
    const malformed = day.figures.map(({ counts }) => (counts as Record<string, number>)['malformed run'] ?? 0);
    expect(malformed.reduce((sum, count) => sum + count, 0)).toBeGreaterThan(20);
  }
});
