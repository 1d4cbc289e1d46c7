/**
 * Confines an unexpected error to the timer, message or background task in which it occurs; otherwise it would end the
 * process, and with it all other work in progress. Data from outside is validated before it is used, so such an error is
 * a fault of this program: it is logged with its stack.
 */
import type { World } from './world.js';

type Log = World['log'];

/** Logs that `work` ended with an unexpected error. */
export function logUnexpectedError(log: Log, work: string, error: unknown): void {
  log(1005, { work, why: error instanceof Error ? (error.stack ?? error.message) : String(error) });
}

/** Runs a callback; an error that it throws is logged. */
export function runContained(log: Log, work: string, run: () => void): void {
  try {
    run();
  } catch (error) {
    logUnexpectedError(log, work, error);
  }
}

/** Lets a promise go on without a caller that waits for it; its rejection is logged. */
export function runInBackground(log: Log, work: string, promise: Promise<unknown>): void {
  promise.catch((error: unknown) => logUnexpectedError(log, work, error));
}
