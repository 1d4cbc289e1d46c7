/** Makes a call to the platform with a timeout. */
import { micros, runInBackground, type World } from '@tansypost/inner-protocol';
import type { CallOutcome, DutyCall, DutyPort } from './ports.js';

/** How calls are made. */
export interface TimedCallOptions {
  readonly port: DutyPort;
  /** A call without an answer for this long has an unknown outcome and may be retried; in microseconds. */
  readonly callTimeout: number;
}

/** The outcome of a call, or `unknown` after the timeout. An outcome that arrives later is passed to `onLateOutcome`. */
export function callWithTimeout(
  world: Pick<World, 'after' | 'log'>,
  { port, callTimeout }: TimedCallOptions,
  call: DutyCall,
  onLateOutcome: (outcome: CallOutcome) => void,
): Promise<CallOutcome> {
  return new Promise((resolve) => {
    let inTime = true;
    const cancel = world.after(micros(callTimeout), () => {
      inTime = false;
      resolve('unknown');
    });
    function end(outcome: CallOutcome): void {
      cancel();
      if (!inTime) onLateOutcome(outcome);
      resolve(outcome);
    }
    const ended = port
      .call(call)
      .catch(() => 'unknown' as const)
      .then(end);
    runInBackground(world.log, 'call to the platform', ended);
  });
}
