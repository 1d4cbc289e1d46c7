/**
 * Virtual days that lose all workers of one stage shortly before a closing fault restarts every machine. The workers
 * of the other stage are enough to serve with, so RECOVER holds: of what is sent more than 12 s after the machines are
 * back, a quarter and more is served.
 */
import { expect, it } from 'vitest';
import {
  passedDeployments,
  playPassedOne,
  type Closing,
  type PassedOne,
  type StageTroubleKind,
} from '../packages/simulator/src/index.js';

const coldStorage = passedDeployments['cold-storage']!;
const span = 20;
/** The closing fault strikes a second before the end of the span. */
const closingAt = span - 1;
const recovery = 12_000_000;
const leastServed = 0.25;
const toTheEnd = 60;
const ends: readonly Closing[] = ['all-killed', 'all-lose-power', 'disks-lost-all-dark'];

function play(seed: number, kind: StageTroubleKind, secondsBefore: number, closing: Closing): Promise<PassedOne> {
  const trouble = { at: closingAt - secondsBefore, do: kind, for: toTheEnd, who: 0 };
  return playPassedOne(coldStorage, seed, { replicas: 3, span, closing, troubles: [trouble] });
}

/** How much is served of what is sent later than the time for recovery after the machines are back. */
function servedLate({ history }: PassedOne): number {
  const from = history.outageEnds.at(-1)! + recovery;
  const firstTries = history.tries.filter((t) => t.at > from && t.id.endsWith('.1') && t.ended !== 'unknown_path');
  expect(firstTries.length).toBeGreaterThan(20);
  return firstTries.filter((t) => t.ended === 'whole').length / firstTries.length;
}

async function expectServedAgain(kind: StageTroubleKind, secondsBefore: readonly number[]): Promise<void> {
  for (const closing of ends)
    for (const [index, seconds] of secondsBefore.entries()) {
      const day = await play(201 + index, kind, seconds, closing);
      expect([kind, closing, seconds, day.breaches]).toEqual([kind, closing, seconds, []]);
      expect(servedLate(day)).toBeGreaterThanOrEqual(leastServed);
    }
}

it.each(['decode-crash', 'decode-power', 'prefill-crash', 'prefill-power'] as const)(
  'RECOVER: serves again though a stage was lost before all was restarted (%s)',
  (kind) => expectServedAgain(kind, [6, 1.5]),
);

it('RECOVER: serves again though prefill workers are listed and silent', () =>
  expectServedAgain('prefill-silent', [6, 1.5]));

it('RECOVER: serves again though all decode workers are listed and silent', () =>
  expectServedAgain('decode-silent', [10, 1.5]));
