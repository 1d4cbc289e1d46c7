import { expect, it } from 'vitest';
import type { ListedWorker } from './listed-worker.js';
import { createWorkerListView } from './worker-book.js';

function worker(id: string, o: Partial<ListedWorker> = {}): ListedWorker {
  return {
    id,
    service: 's',
    address: `${id}:1`,
    zone: 'z',
    slots: 1,
    leaving: false,
    coldMs: 0,
    part: 'decode',
    ...o,
  };
}
const s = 1_000_000;

it('shows a worker as leaving for good once any look did, however old the look', () => {
  const b = createWorkerListView();
  b.addSnapshot('k0', { at: 10 * s, workers: [worker('a'), worker('b')] });
  expect(b.addSnapshot('k1', { at: 9 * s, workers: [worker('a', { leaving: true })] })).toBe(true);
  b.addSnapshot('k0', { at: 11 * s, workers: [worker('a'), worker('b')] });
  expect(b.workers(11 * s).map((x) => [x.id, x.leaving])).toEqual([
    ['a', true],
    ['b', false],
  ]);
});

it('lets the newest look say who exists, and holds out who vanished while older looks still show it', () => {
  const b = createWorkerListView();
  b.addSnapshot('k0', { at: 10 * s, workers: [worker('a'), worker('b')] });
  expect(b.addSnapshot('k1', { at: 11 * s, workers: [worker('b')] })).toBe(true);
  expect(b.addSnapshot('k0', { at: 10.9 * s, workers: [worker('a'), worker('b')] })).toBe(false);
  expect(b.confirmSnapshot('k0', 11.5 * s)).toBe(false);
  expect(b.workers(11.5 * s).map((x) => x.id)).toEqual(['b']);
  expect(b.confirmSnapshot('k0', 13 * s)).toBe(true);
  expect(b.workers(13 * s).map((x) => x.id)).toEqual(['a', 'b']);
});

it('lets workers warm up between looks, and calls nothing changed that is not', () => {
  const b = createWorkerListView();
  b.addSnapshot('k0', { at: 10 * s, workers: [worker('a', { coldMs: 3000 }), worker('b')] });
  expect(b.addSnapshot('k1', { at: 10.5 * s, workers: [worker('b'), worker('a', { coldMs: 2500 })] })).toBe(false);
  expect(b.workers(11.5 * s)[0]!.coldMs).toBe(1500);
  expect(b.workers(20 * s)[0]!.coldMs).toBe(0);
});
