/** Tells the operator's log when somebody has not been heard for long, and again when they are heard. */
import { every, micros, type World } from '@tansypost/inner-protocol';

/** Who is listened for, and what is logged. */
export interface ContactMonitorOptions {
  /** Whether they are heard at this moment, or need not be. */
  readonly isInContact: () => boolean;
  /** The event of a long silence, and what it says beside the length of the silence. */
  readonly lostEvent: number;
  readonly details: () => Readonly<Record<string, unknown>>;
  /** The event of the end of a silence that was logged. */
  readonly restoredEvent: number;
}

const lookEvery = micros(1_000_000);
/** A start of the whole system takes less. */
const silentFor = 8_000_000;
/** The log is told again after so long. */
const tellEvery = 30_000_000;

/** Looks each second until it is stopped. */
export function startContactMonitor(world: World, options: ContactMonitorOptions): () => void {
  let heardAt = world.now();
  let toldAt = -Infinity;

  function look(): void {
    const now = world.now();
    if (options.isInContact()) {
      if (toldAt > heardAt) world.log(options.restoredEvent, { afterMs: Math.round((now - heardAt) / 1000) });
      heardAt = now;
      return;
    }
    if (now - heardAt < silentFor || now - toldAt < tellEvery) return;
    toldAt = now;
    world.log(options.lostEvent, { ...options.details(), silentMs: Math.round((now - heardAt) / 1000) });
  }

  return every(world, () => lookEvery, look);
}
