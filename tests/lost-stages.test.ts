/**
 * Simulated days that lose all workers of one stage shortly before a closing fault restarts every machine. The workers
 * of the other stage suffice to serve, so RECOVER must hold: at least a quarter of the requests sent more than 12 s
 * after the machines are back is served.
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
const closingSecond = span - 1;
const recoveryTimeUs = 12_000_000;
const minServedShare = 0.25;
const untilEndSeconds = 60;
const closingFaults: readonly Closing[] = ['all-killed', 'all-lose-power', 'disks-lost-all-dark'];

function play(seed: number, kind: StageTroubleKind, secondsBefore: number, closing: Closing): Promise<PassedOne> {
  const trouble = { at: closingSecond - secondsBefore, do: kind, for: untilEndSeconds, who: 0 };
  return playPassedOne(coldStorage, seed, { replicas: 3, span, closing, troubles: [trouble] });
}

/** The served share of the requests sent after the recovery time, counted from when the machines are back. */
function servedShareAfterRecovery({ history }: PassedOne): number {
  const from = history.outageEnds.at(-1)! + recoveryTimeUs;
  const firstAttempts = history.tries.filter(
    (attempt) => attempt.at > from && attempt.id.endsWith('.1') && attempt.ended !== 'unknown_path',
  );
  expect(firstAttempts.length).toBeGreaterThan(20);
  return firstAttempts.filter((attempt) => attempt.ended === 'whole').length / firstAttempts.length;
}

async function expectServedAgain(kind: StageTroubleKind, secondsBefore: readonly number[]): Promise<void> {
  for (const closing of closingFaults)
    for (const [index, seconds] of secondsBefore.entries()) {
      const day = await play(201 + index, kind, seconds, closing);
      expect([kind, closing, seconds, day.breaches]).toEqual([kind, closing, seconds, []]);
      expect(servedShareAfterRecovery(day)).toBeGreaterThanOrEqual(minServedShare);
    }
}

it.each(['decode-crash', 'decode-power', 'prefill-crash', 'prefill-power'] as const)(
  'RECOVER: serves again though a stage was lost before everything restarted (%s)',
  (kind) => expectServedAgain(kind, [6, 1.5]),
);

it('RECOVER: serves again though prefill workers are listed but unresponsive', () =>
  expectServedAgain('prefill-silent', [6, 1.5]));

it('RECOVER: serves again though all decode workers are listed but unresponsive', () =>
  expectServedAgain('decode-silent', [10, 1.5]));
