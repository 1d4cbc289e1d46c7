/**
 * A model of the platform API: it records each call in the order of arrival, optionally compares fences, may be busy,
 * slow or down for each duty, and may lose answers.
 */
import type { CallOutcome, DutyCall } from '@tansypost/duty-log';
import type { Draw } from './draw.js';
import type { Scheduler } from './scheduler.js';

/** How the platform treats the calls of one duty. `deaf` executes them but does not answer. */
export type PlatformCondition = 'well' | 'busy' | 'slow' | 'down' | 'deaf';

/** A call as it arrived at the platform. */
export interface ArrivedCall extends DutyCall {
  readonly sentAt: number;
  readonly at: number;
  readonly isAccepted: boolean;
  /** Whether a fault of its sender held the call in transit. */
  readonly wasHeld: boolean;
}

/** The model of the platform. */
export interface PlatformModel {
  readonly conditions: Map<string, PlatformCondition>;
  readonly calls: readonly ArrivedCall[];
  /** Receives a call now and answers later or never. */
  readonly arrive: (call: DutyCall, sentAt: number, wasHeld: boolean, answer: (outcome: CallOutcome) => void) => void;
}

const answerLossProbability = 0.05;
const answerDelayUs = { min: 1_000, max: 40_000 } as const;
const slowAnswerDelayUs = { min: 400_000, max: 4_000_000 } as const;

/** A working platform; `onArrival` is called with each call that it receives. */
export function createPlatformModel(
  scheduler: Scheduler,
  draw: Draw,
  fenceChecked: boolean,
  onArrival: (call: ArrivedCall) => void,
): PlatformModel {
  const conditions = new Map<string, PlatformCondition>();
  const calls: ArrivedCall[] = [];
  const highestFence = new Map<string, number>();

  function decide(call: DutyCall): CallOutcome {
    const key = `${call.duty} ${call.subject}`;
    const highest = highestFence.get(key) ?? 0;
    highestFence.set(key, Math.max(highest, call.fence));
    return fenceChecked && call.fence < highest ? 'fenced' : 'accepted';
  }

  function arrive(call: DutyCall, sentAt: number, wasHeld: boolean, answer: (outcome: CallOutcome) => void): void {
    const condition = conditions.get(call.duty) ?? 'well';
    if (condition === 'down') return;
    const outcome = condition === 'busy' ? 'busy' : decide(call);
    const arrival = { ...call, sentAt, at: scheduler.now(), isAccepted: outcome === 'accepted', wasHeld };
    calls.push(arrival);
    onArrival(arrival);
    if (condition === 'deaf' || draw.faultChance(answerLossProbability)) return;
    const { min, max } = condition === 'slow' ? slowAnswerDelayUs : answerDelayUs;
    scheduler.after(draw.between(min, max), () => answer(outcome));
  }

  return { conditions, calls, arrive };
}
