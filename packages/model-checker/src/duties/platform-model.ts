/**
 * A stand-in for the platform's calls: it notes each call in the order of arrival, compares fences where asked to, and
 * may be busy, slow or down for each duty, and lose answers.
 */
import type { CallOutcome, DutyCall } from '@tansypost/duty-log';
import type { Draw } from './draw.js';
import type { Scheduler } from './scheduler.js';

/** How the platform treats the calls of one duty. `deaf`: it carries them out and does not answer. */
export type PlatformCondition = 'well' | 'busy' | 'slow' | 'down' | 'deaf';

/** A call as it arrived. */
export interface ArrivedCall extends DutyCall {
  readonly sentAt: number;
  readonly at: number;
  readonly isAccepted: boolean;
  /** Whether its sender was frozen, cut off or killed while it was on its way. */
  readonly wasHeld: boolean;
}

/** The platform. */
export interface PlatformModel {
  readonly conditions: Map<string, PlatformCondition>;
  readonly calls: readonly ArrivedCall[];
  /** Takes in a call now, and gives the answer later or never. */
  readonly arrive: (call: DutyCall, sentAt: number, wasHeld: boolean, answer: (outcome: CallOutcome) => void) => void;
}

const answerLost = 0.05;
const usualAnswer = { least: 1_000, most: 40_000 } as const;
const slowAnswer = { least: 400_000, most: 4_000_000 } as const;

/** A platform that works, and tells each call that it takes in. */
export function createPlatformModel(
  scheduler: Scheduler,
  draw: Draw,
  fenceChecked: boolean,
  arrived: (call: ArrivedCall) => void,
): PlatformModel {
  const moods = new Map<string, PlatformCondition>();
  const calls: ArrivedCall[] = [];
  const highestFence = new Map<string, number>();

  function take(call: DutyCall): CallOutcome {
    const key = `${call.duty} ${call.subject}`;
    const highest = highestFence.get(key) ?? 0;
    highestFence.set(key, Math.max(highest, call.fence));
    return fenceChecked && call.fence < highest ? 'fenced' : 'accepted';
  }

  function arrive(call: DutyCall, sentAt: number, wasHeld: boolean, answer: (outcome: CallOutcome) => void): void {
    const mood = moods.get(call.duty) ?? 'well';
    if (mood === 'down') return;
    const outcome = mood === 'busy' ? 'busy' : take(call);
    const seen = { ...call, sentAt, at: scheduler.now(), isAccepted: outcome === 'accepted', wasHeld };
    calls.push(seen);
    arrived(seen);
    if (mood === 'deaf' || draw.faultChance(answerLost)) return;
    const { least, most } = mood === 'slow' ? slowAnswer : usualAnswer;
    scheduler.after(draw.between(least, most), () => answer(outcome));
  }

  return { conditions: moods, calls, arrive };
}
