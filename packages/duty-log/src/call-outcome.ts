/** Makes a call and waits for its answer, but not for ever. */
import { micros, type World } from '@tansypost/inner-protocol';
import type { CallOutcome, DutyCall, DutyPort } from './ports.js';

/** How calls are made. */
export interface CallOptions {
  readonly port: DutyPort;
  /** How long an answer is waited for, in microseconds. */
  readonly callPatience: number;
}

/** The outcome of a call, `unknown` where none comes in time. That a higher fence was seen is told also when it is late. */
export function outcomeOf(
  world: Pick<World, 'after'>,
  { port, callPatience }: CallOptions,
  call: DutyCall,
  fenced: () => void,
): Promise<CallOutcome> {
  return new Promise((done) => {
    const cancel = world.after(micros(callPatience), () => done('unknown'));
    function end(outcome: CallOutcome): void {
      cancel();
      if (outcome === 'fenced') fenced();
      done(outcome);
    }
    port.call(call).then(end, () => end('unknown'));
  });
}
