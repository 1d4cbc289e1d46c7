/** Tells the operator's log while the cluster has fewer replicas than the fault budget needs. */
import { every, micros, type World } from '@tansypost/inner-protocol';
import type { Replica } from './replica.js';

export interface ReplicaShortageOptions {
  readonly replica: Pick<Replica, 'state' | 'membership'>;
  /** Whether this node is the one that sees to changes of the membership. */
  readonly isCoordinator: () => boolean;
  readonly targetReplicas: number;
}

const lookEvery = micros(1_000_000);
/** A cluster that starts, or replaces a machine, has its replicas sooner. */
const toleratedFor = 10_000_000;
const tellEvery = 60_000_000;

/** Looks each second until it is stopped. */
export function reportReplicaShortage(world: World, options: ReplicaShortageOptions): () => void {
  const { replica, targetReplicas: wantedReplicas } = options;
  let enoughAt = world.now();
  let toldAt = -Infinity;

  function look(): void {
    const replicas = replica.membership().replicas.length;
    const now = world.now();
    if (replica.state() !== 'voting' || !options.isCoordinator() || replicas >= wantedReplicas) {
      enoughAt = now;
      return;
    }
    if (now - enoughAt < toleratedFor || now - toldAt < tellEvery) return;
    toldAt = now;
    world.log(2015, { replicas, wanted: wantedReplicas });
  }

  return every(world, () => lookEvery, look);
}
