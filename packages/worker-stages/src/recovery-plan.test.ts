/** How many prefill workers have to become decode workers, for each mix of workers. */
import { expect, it } from 'vitest';
import type { ListedWorker } from '@tansypost/control-feed';
import type { Stage } from './ports.js';
import { missingDecodeWorkers, servicesMissingDecode, workersOf } from './recovery-plan.js';

function workers(part: Stage, count: number, leaving = false, service = 's'): ListedWorker[] {
  return Array.from({ length: count }, (_, i) => {
    const id = `${part}${leaving ? '-leaving' : ''}${i}`;
    return { id, service, address: `${id}:1`, zone: 'z', slots: 8, leaving, coldMs: 0, part };
  });
}
const allDecode = new Set(workers('decode', 100).map((worker) => worker.id));

it.each([
  { prefill: 0, decode: 0, recovered: false, missing: 0 },
  { prefill: 1, decode: 0, recovered: false, missing: 1 },
  { prefill: 40, decode: 0, recovered: false, missing: 1 },
  { prefill: 40, decode: 1, recovered: false, missing: 0 },
  { prefill: 2, decode: 1, recovered: true, missing: 0 },
  { prefill: 3, decode: 1, recovered: true, missing: 1 },
  { prefill: 40, decode: 1, recovered: true, missing: 1 },
  { prefill: 37, decode: 4, recovered: true, missing: 4 },
  { prefill: 28, decode: 13, recovered: true, missing: 1 },
  { prefill: 27, decode: 14, recovered: true, missing: 0 },
])(
  'needs $missing more decode workers with $prefill prefill and $decode decode workers, recovered: $recovered',
  (row) => {
    const list = [...workers('prefill', row.prefill), ...workers('decode', row.decode)];
    const recovered = row.recovered ? allDecode : new Set<string>();
    expect(missingDecodeWorkers(workersOf(list, 's'), recovered)).toBe(row.missing);
  },
);

it('counts leaving workers for neither stage, and each service separately', () => {
  const list = [...workers('prefill', 2), ...workers('decode', 1, true), ...workers('decode', 1, false, 'other')];
  expect(workersOf(list, 's')).toMatchObject({ decode: [], leavingDecode: 1 });
  expect(missingDecodeWorkers(workersOf(list, 's'), new Set())).toBe(1);
  expect(servicesMissingDecode(list, new Set())).toEqual(['s']);
  expect(missingDecodeWorkers(workersOf(workers('prefill', 2, true), 's'), new Set())).toBe(0);
});
