/** Tells the operator's log when no control node has been heard for long, and when one is heard again. */
import { every, micros, type World } from '@tansypost/inner-protocol';

export interface ControlWatchOptions {
  /** Whether a control node has been heard lately. */
  readonly isInTouch: () => boolean;
  /** Where control nodes were looked for. */
  readonly seeds: () => readonly string[];
}

const lookEvery = micros(1_000_000);
/** A start of the whole system takes less. */
const silentFor = 8_000_000;
/** The log is told again after so long. */
const tellEvery = 30_000_000;

/** Looks each second until it is stopped. */
export function startControlWatch(world: World, options: ControlWatchOptions): () => void {
  let heardAt = world.now();
  let toldAt = -Infinity;

  function look(): void {
    const now = world.now();
    if (options.isInTouch()) {
      if (toldAt > heardAt) world.log(2016, { afterMs: Math.round((now - heardAt) / 1000) });
      heardAt = now;
      return;
    }
    if (now - heardAt < silentFor || now - toldAt < tellEvery) return;
    toldAt = now;
    world.log(2014, { seeds: options.seeds(), silentMs: Math.round((now - heardAt) / 1000) });
  }

  return every(world, () => lookEvery, look);
}
