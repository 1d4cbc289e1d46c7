/** Makes a call and waits for its answer, but not for ever. */
import { micros, type World } from '@tansypost/inner-protocol';
import type { CallOutcome, DutyCall, DutyPort } from './ports.js';

/** How calls are made. */
export interface CallOptions {
  readonly port: DutyPort;
  /** After so long without an answer the call counts as unclear and may be repeated, in microseconds. */
  readonly callTimeout: number;
}

/** The outcome of a call, `unknown` where none comes in time; a clear one that comes later is told to `late`. */
export function outcomeOf(
  world: Pick<World, 'after'>,
  { port, callTimeout }: CallOptions,
  call: DutyCall,
  late: (outcome: CallOutcome) => void,
): Promise<CallOutcome> {
  return new Promise((done) => {
    let inTime = true;
    const cancel = world.after(micros(callTimeout), () => {
      inTime = false;
      done('unknown');
    });
    function end(outcome: CallOutcome): void {
      cancel();
      if (!inTime) late(outcome);
      done(outcome);
    }
    port.call(call).then(end, () => end('unknown'));
  });
}
