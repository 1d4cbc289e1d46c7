/** Logs when contact with other processes has been lost for long, and when it is restored. */
import { every, micros, type World } from '@tansypost/inner-protocol';

/** What is monitored, and the events to log. */
export interface ContactMonitorOptions {
  /** Whether there is contact at this moment, or none is needed. */
  readonly isInContact: () => boolean;
  /** The event of a long loss of contact; its fields are `details` and the length of the loss. */
  readonly lostEvent: number;
  readonly details: () => Readonly<Record<string, unknown>>;
  /** The event that ends a loss that was logged. */
  readonly restoredEvent: number;
}

const checkInterval = micros(1_000_000);
/** How long contact must be lost before it is logged. Longer than a start of the whole system takes. */
const lossThresholdUs = 8_000_000;
/** How often a loss that lasts is logged again. */
const repeatIntervalUs = 30_000_000;

/** Checks the contact every second until the returned function is called. */
export function startContactMonitor(world: World, options: ContactMonitorOptions): () => void {
  let lastContactAt = world.now();
  let lastLoggedAt = -Infinity;

  function check(): void {
    const now = world.now();
    if (options.isInContact()) {
      if (lastLoggedAt > lastContactAt)
        world.log(options.restoredEvent, { afterMs: Math.round((now - lastContactAt) / 1000) });
      lastContactAt = now;
      return;
    }
    if (now - lastContactAt < lossThresholdUs || now - lastLoggedAt < repeatIntervalUs) return;
    lastLoggedAt = now;
    world.log(options.lostEvent, { ...options.details(), silentMs: Math.round((now - lastContactAt) / 1000) });
  }

  return every(world, () => checkInterval, check);
}
