/** Which workers the table offers as candidates, and how it estimates their queues. */
import { expect, it } from 'vitest';
import { createWorkerFleet, type FleetWorker, type WorkerFleet } from './worker-fleet.js';

function worker(id: string, overrides: Partial<FleetWorker> = {}): FleetWorker {
  return { id, service: 's', address: `${id}:1`, zone: 'z', slots: 64, part: 'prefill', leaving: false, ...overrides };
}
function candidateIds(fleet: WorkerFleet, part: 'prefill' | 'decode' = 'prefill'): string {
  return fleet
    .candidates('s', part, new Set())
    .map((view) => view.worker.id)
    .join(' ');
}

it('offers no worker that is leaving or gone, and never returns a leaving worker to service', () => {
  const fleet = createWorkerFleet(() => 0);
  fleet.updateWorkers([worker('a'), worker('b', { leaving: true }), worker('c', { service: 'other' }), worker('d')]);
  expect(candidateIds(fleet)).toBe('a d');
  fleet.updateWorkers([worker('a'), worker('b')]);
  expect(candidateIds(fleet)).toBe('a');
});

it('counts the work reported by other routers until it drains or the worker reports that it is idle', () => {
  let time = 0;
  const fleet = createWorkerFleet(() => time);
  fleet.updateWorkers([worker('a'), worker('b')]);
  function queueDelay(id: string): number {
    return fleet.candidates('s', 'prefill', new Set()).find((view) => view.worker.id === id)!.queueDelay;
  }
  const baseline = queueDelay('a');
  fleet.recordPeerActivity('a', 500_000);
  fleet.recordPeerActivity('a', 300_000);
  expect(queueDelay('a') - baseline).toBe(800_000);
  expect(queueDelay('b')).toBe(baseline);
  time = 300_000;
  expect(queueDelay('a') - baseline).toBe(500_000);
  fleet.updateLoad('a', { queued: 0, active: 0, kvUsed: 0, unresponsive: false, reportedAt: 200_000 });
  expect(queueDelay('a')).toBe(baseline);
  fleet.recordPeerActivity('a', 100_000);
  expect(queueDelay('a') - baseline).toBe(100_000);
});

it('skips a worker that is unresponsive, as observed or as reported, while another is left', () => {
  let time = 0;
  const fleet = createWorkerFleet(() => time);
  fleet.updateWorkers([worker('a'), worker('b')]);
  fleet.startAttempt('a', 'read', 1000, 40_000);
  time = 300_000;
  expect(candidateIds(fleet)).toBe('a b');
  time = 500_000;
  expect(candidateIds(fleet)).toBe('b');
  expect(fleet.isUnresponsive('a')).toBe(true);
  fleet.updateLoad('b', { queued: 0, active: 0, kvUsed: 0, unresponsive: true, reportedAt: time });
  expect(candidateIds(fleet)).toBe('a b');
  // A worker that has just reported its load is alive, however long its queue.
  fleet.updateLoad('a', { queued: 9, active: 1, kvUsed: 0, unresponsive: false, reportedAt: time + 1 });
  time = 600_000;
  expect(candidateIds(fleet)).toBe('a');
});

it('backs off a worker that failed, longer each time, and for good one whose address another worker has', () => {
  let time = 0;
  const fleet = createWorkerFleet(() => time);
  fleet.updateWorkers([worker('a'), worker('b'), worker('c')]);
  fleet.startAttempt('a', 'run', 1, 1000).finish('failed');
  fleet.startAttempt('c', 'run', 1, 1000).finish('gone');
  expect(candidateIds(fleet)).toBe('b');
  time = 400_001;
  expect(candidateIds(fleet)).toBe('a b');
  fleet.startAttempt('a', 'run', 1, 1000).finish('failed');
  time = 800_000;
  expect(candidateIds(fleet)).toBe('b');
  time = 1_200_002;
  expect(candidateIds(fleet)).toBe('a b');
});

it('offers a worker that has switched its stage although it rejected requests for the old stage', () => {
  const fleet = createWorkerFleet(() => 0);
  fleet.updateWorkers([worker('a'), worker('b', { part: 'decode' })]);
  fleet.startAttempt('a', 'read', 1, 1000).finish('gone');
  fleet.updateWorkers([worker('a', { part: 'decode' }), worker('b', { part: 'decode' })]);
  expect([candidateIds(fleet), candidateIds(fleet, 'decode')]).toEqual(['', 'a b']);
  expect(fleet.isAvailable('a')).toBe(true);
});
