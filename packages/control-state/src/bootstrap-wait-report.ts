/** Logs a warning while a machine holds no control state, knows no control cluster and cannot bootstrap one. */
import { every, micros, type World } from '@tansypost/inner-protocol';
import type { Replica } from './replica.js';

const checkInterval = micros(1_000_000);
/** The first start of the whole system takes less time than this. */
const gracePeriodUs = 8_000_000;
const logIntervalUs = 30_000_000;

/** Checks once per second until the returned function is called. */
export function reportBootstrapWait(world: World, replica: Pick<Replica, 'bootstrapWait'>): () => void {
  let notWaitingAt = world.now();
  let loggedAt = -Infinity;

  function check(): void {
    const wait = replica.bootstrapWait();
    const now = world.now();
    if (wait === undefined) {
      notWaitingAt = now;
      return;
    }
    if (now - notWaitingAt < gracePeriodUs || now - loggedAt < logIntervalUs) return;
    loggedAt = now;
    world.log(2019, { ...wait });
  }

  return every(world, () => checkInterval, check);
}
