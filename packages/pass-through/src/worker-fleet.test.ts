import { expect, it } from 'vitest';
import { createWorkerFleet, type FleetWorker, type WorkerFleet } from './worker-fleet.js';

function worker(id: string, x: Partial<FleetWorker> = {}): FleetWorker {
  return { id, service: 's', address: `${id}:1`, zone: 'z', slots: 64, part: 'prefill', leaving: false, ...x };
}
function names(f: WorkerFleet, part: 'prefill' | 'decode' = 'prefill'): string {
  return f
    .candidates('s', part, new Set())
    .map((v) => v.worker.id)
    .join(' ');
}

it('offers no worker that leaves or is gone, and never takes leaving back', () => {
  const f = createWorkerFleet(() => 0);
  f.updateWorkers([worker('a'), worker('b', { leaving: true }), worker('c', { service: 'other' }), worker('d')]);
  expect(names(f)).toBe('a d');
  f.updateWorkers([worker('a'), worker('b')]);
  expect(names(f)).toBe('a');
});

it('counts what other routers told as work that drains, and an idle report as its end', () => {
  let t = 0;
  const f = createWorkerFleet(() => t);
  f.updateWorkers([worker('a'), worker('b')]);
  function wait(id: string): number {
    return f.candidates('s', 'prefill', new Set()).find((v) => v.worker.id === id)!.queueDelay;
  }
  const none = wait('a');
  f.recordPeerActivity('a', 500_000);
  f.recordPeerActivity('a', 300_000);
  expect(wait('a') - none).toBe(800_000);
  expect(wait('b')).toBe(none);
  t = 300_000;
  expect(wait('a') - none).toBe(500_000);
  f.updateLoad('a', { queued: 0, active: 0, kvUsed: 0, unresponsive: false, reportedAt: 200_000 });
  expect(wait('a')).toBe(none);
  f.recordPeerActivity('a', 100_000);
  expect(wait('a') - none).toBe(100_000);
});

it('passes over a worker that is silent, by its own sends or as told, while another is left', () => {
  let t = 0;
  const f = createWorkerFleet(() => t);
  f.updateWorkers([worker('a'), worker('b')]);
  f.startAttempt('a', 'read', 1000, 40_000);
  t = 300_000;
  expect(names(f)).toBe('a b');
  t = 500_000;
  expect(names(f)).toBe('b');
  expect(f.isUnresponsive('a')).toBe(true);
  f.updateLoad('b', { queued: 0, active: 0, kvUsed: 0, unresponsive: true, reportedAt: t });
  expect(names(f)).toBe('a b');
  // A worker that told its load is alive, however long its queue.
  f.updateLoad('a', { queued: 9, active: 1, kvUsed: 0, unresponsive: false, reportedAt: t + 1 });
  t = 600_000;
  expect(names(f)).toBe('a');
});

it('rests a worker that failed, for longer each time, and one whose address another has for good', () => {
  let t = 0;
  const f = createWorkerFleet(() => t);
  f.updateWorkers([worker('a'), worker('b'), worker('c')]);
  f.startAttempt('a', 'run', 1, 1000).finish('failed');
  f.startAttempt('c', 'run', 1, 1000).finish('gone');
  expect(names(f)).toBe('b');
  t = 400_001;
  expect(names(f)).toBe('a b');
  f.startAttempt('a', 'run', 1, 1000).finish('failed');
  t = 800_000;
  expect(names(f)).toBe('b');
  t = 1_200_002;
  expect(names(f)).toBe('a b');
});

it('offers a worker that has changed its part, though it turned away what was asked of the old one', () => {
  const f = createWorkerFleet(() => 0);
  f.updateWorkers([worker('a'), worker('b', { part: 'decode' })]);
  f.startAttempt('a', 'read', 1, 1000).finish('gone');
  f.updateWorkers([worker('a', { part: 'decode' }), worker('b', { part: 'decode' })]);
  expect([names(f), names(f, 'decode')]).toEqual(['', 'a b']);
  expect(f.isAvailable('a')).toBe(true);
});
