/** Tells the operator's log while a machine holds no control state yet and neither finds nor may found a cluster. */
import { every, micros, type World } from '@tansypost/inner-protocol';
import type { Replica } from './replica.js';

const lookEvery = micros(1_000_000);
/** A first start of the whole system takes less. */
const toleratedFor = 8_000_000;
const tellEvery = 30_000_000;

/** Looks each second until it is stopped. */
export function reportBootstrapWait(world: World, replica: Pick<Replica, 'waitsFor'>): () => void {
  let foundedAt = world.now();
  let toldAt = -Infinity;

  function look(): void {
    const wait = replica.waitsFor();
    const now = world.now();
    if (wait === undefined) {
      foundedAt = now;
      return;
    }
    if (now - foundedAt < toleratedFor || now - toldAt < tellEvery) return;
    toldAt = now;
    world.log(2019, { ...wait });
  }

  return every(world, () => lookEvery, look);
}
