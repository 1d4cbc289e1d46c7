/** Logs a warning while the control cluster has fewer replicas than the fault budget requires. */
import { every, micros, type World } from '@tansypost/inner-protocol';
import type { Replica } from './replica.js';

/** Dependencies and settings of the report. */
export interface ReplicaShortageOptions {
  readonly replica: Pick<Replica, 'state' | 'membership'>;
  /** Whether this node coordinates membership changes. */
  readonly isCoordinator: () => boolean;
  readonly targetReplicas: number;
}

const checkInterval = micros(1_000_000);
/** A cluster that starts or replaces a machine has all its replicas sooner than this. */
const gracePeriodUs = 10_000_000;
const logIntervalUs = 60_000_000;

/** Checks once per second until the returned function is called. */
export function reportReplicaShortage(world: World, options: ReplicaShortageOptions): () => void {
  const { replica, targetReplicas } = options;
  let sufficientAt = world.now();
  let loggedAt = -Infinity;

  function check(): void {
    const replicas = replica.membership().replicas.length;
    const now = world.now();
    if (replica.state() !== 'voting' || !options.isCoordinator() || replicas >= targetReplicas) {
      sufficientAt = now;
      return;
    }
    if (now - sufficientAt < gracePeriodUs || now - loggedAt < logIntervalUs) return;
    loggedAt = now;
    world.log(2015, { replicas, wanted: targetReplicas });
  }

  return every(world, () => checkInterval, check);
}
