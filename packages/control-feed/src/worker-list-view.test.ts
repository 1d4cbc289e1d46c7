/** Merging of worker lists from sources whose snapshots differ in age. */
import { expect, it } from 'vitest';
import type { ListedWorker } from './listed-worker.js';
import { createWorkerListView } from './worker-list-view.js';

function worker(id: string, overrides: Partial<ListedWorker> = {}): ListedWorker {
  return {
    id,
    service: 's',
    address: `${id}:1`,
    zone: 'z',
    slots: 1,
    leaving: false,
    coldMs: 0,
    part: 'decode',
    ...overrides,
  };
}
const second = 1_000_000;

it('shows a worker as leaving for good once any snapshot did, however old', () => {
  const view = createWorkerListView();
  view.addSnapshot('k0', { at: 10 * second, workers: [worker('a'), worker('b')] });
  expect(view.addSnapshot('k1', { at: 9 * second, workers: [worker('a', { leaving: true })] })).toBe(true);
  view.addSnapshot('k0', { at: 11 * second, workers: [worker('a'), worker('b')] });
  expect(view.workers(11 * second).map((listed) => [listed.id, listed.leaving])).toEqual([
    ['a', true],
    ['b', false],
  ]);
});

it('lets the newest snapshot decide which workers exist, and hides a vanished one while older snapshots show it', () => {
  const view = createWorkerListView();
  view.addSnapshot('k0', { at: 10 * second, workers: [worker('a'), worker('b')] });
  expect(view.addSnapshot('k1', { at: 11 * second, workers: [worker('b')] })).toBe(true);
  expect(view.addSnapshot('k0', { at: 10.9 * second, workers: [worker('a'), worker('b')] })).toBe(false);
  expect(view.confirmSnapshot('k0', 11.5 * second)).toBe(false);
  expect(view.workers(11.5 * second).map((listed) => listed.id)).toEqual(['b']);
  expect(view.confirmSnapshot('k0', 13 * second)).toBe(true);
  expect(view.workers(13 * second).map((listed) => listed.id)).toEqual(['a', 'b']);
});

it('lets workers warm up between snapshots, and reports no change for an equal list', () => {
  const view = createWorkerListView();
  view.addSnapshot('k0', { at: 10 * second, workers: [worker('a', { coldMs: 3000 }), worker('b')] });
  expect(view.addSnapshot('k1', { at: 10.5 * second, workers: [worker('b'), worker('a', { coldMs: 2500 })] })).toBe(
    false,
  );
  expect(view.workers(11.5 * second)[0]!.coldMs).toBe(1500);
  expect(view.workers(20 * second)[0]!.coldMs).toBe(0);
});
