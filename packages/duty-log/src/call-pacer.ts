/** Spaces out the calls of all duties of a holder evenly, so that they stay below a rate. */
import { micros, type World } from '@tansypost/inner-protocol';

/** The pace that all duties share. */
export interface CallPacer {
  /** Whether a call may be made now, which takes its place. Where not, the pacer says when the next may be. */
  readonly take: () => boolean;
  readonly stop: () => void;
}

const second = 1_000_000;

/** A pacer that calls `free` once a call may be made again, if one was held up. */
export function createCallPacer(world: World, callsPerSecond: number, free: () => void): CallPacer {
  const spacing = second / callsPerSecond;
  let nextAt = -Infinity;
  let cancel: (() => void) | undefined;

  function wake(): void {
    cancel = undefined;
    free();
  }

  function take(): boolean {
    if (world.now() >= nextAt) {
      nextAt = world.now() + spacing;
      return true;
    }
    cancel ??= world.after(micros(Math.ceil(nextAt - world.now())), wake);
    return false;
  }

  return { take, stop: () => cancel?.() };
}
