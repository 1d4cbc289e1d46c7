/** The number of replicas for a fault budget. */
import { expect, it } from 'vitest';
import { majorityOf } from './membership-record.js';
import { maxReplicas } from './replica-limits.js';
import { targetReplicaCount } from './replica-count.js';

it.each([0, 1, 2, 3, 4])('tolerates the loss of %d machines with their disks', (machines) => {
  const replicas = targetReplicaCount({ machines, zones: 0, regions: 0 });
  expect(replicas % 2).toBe(1);
  // A majority remains, and any majority that acknowledged a write includes a disk among the remaining ones.
  expect(replicas - machines).toBeGreaterThanOrEqual(majorityOf(replicas));
  expect(majorityOf(replicas)).toBeGreaterThan(machines);
});

it('uses the maximum number of replicas if zones, regions or many machines may be lost', () => {
  expect(targetReplicaCount({ machines: 1, zones: 1, regions: 0 })).toBe(maxReplicas);
  expect(targetReplicaCount({ machines: 1, zones: 0, regions: 1 })).toBe(maxReplicas);
  expect(targetReplicaCount({ machines: 40, zones: 0, regions: 0 })).toBe(maxReplicas);
});
