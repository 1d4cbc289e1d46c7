/** How many readers are to become runners, for each mix of workers. */
import { expect, it } from 'vitest';
import type { ListedWorker } from '@tansypost/control-feed';
import type { Part } from './ports.js';
import { runnersMissing, servicesMissingRunners, workersOf } from './restoration-plan.js';

function workers(part: Part, count: number, leaving = false, service = 's'): ListedWorker[] {
  return Array.from({ length: count }, (_, i) => {
    const id = `${part}${leaving ? '-leaving' : ''}${i}`;
    return { id, service, address: `${id}:1`, zone: 'z', slots: 8, leaving, coldMs: 0, part };
  });
}
const allRunners = new Set(workers('decode', 100).map((worker) => worker.id));

it.each([
  { readers: 0, runners: 0, restored: false, missing: 0 },
  { readers: 1, runners: 0, restored: false, missing: 1 },
  { readers: 40, runners: 0, restored: false, missing: 1 },
  { readers: 40, runners: 1, restored: false, missing: 0 },
  { readers: 2, runners: 1, restored: true, missing: 0 },
  { readers: 3, runners: 1, restored: true, missing: 1 },
  { readers: 40, runners: 1, restored: true, missing: 1 },
  { readers: 37, runners: 4, restored: true, missing: 4 },
  { readers: 28, runners: 13, restored: true, missing: 1 },
  { readers: 27, runners: 14, restored: true, missing: 0 },
])('wants $missing more runners for $readers readers and $runners runners, restored: $restored', (row) => {
  const list = [...workers('prefill', row.readers), ...workers('decode', row.runners)];
  const known = row.restored ? allRunners : new Set<string>();
  expect(runnersMissing(workersOf(list, 's'), known)).toBe(row.missing);
});

it('counts those that leave neither as runners nor as readers, and looks at each service by itself', () => {
  const list = [...workers('prefill', 2), ...workers('decode', 1, true), ...workers('decode', 1, false, 'other')];
  expect(workersOf(list, 's')).toMatchObject({ runners: [], leavingRunners: 1 });
  expect(runnersMissing(workersOf(list, 's'), new Set())).toBe(1);
  expect(servicesMissingRunners(list, new Set())).toEqual(['s']);
  expect(runnersMissing(workersOf(workers('prefill', 2, true), 's'), new Set())).toBe(0);
});
