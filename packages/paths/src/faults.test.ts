/** Each fault of a route table is found, one at a time. */
import { expect, it } from 'vitest';
import { faultsOf } from './faults.js';
import type { Path, PathTable, Service } from './path-table.js';

const path: Path = {
  name: 'chat',
  host: 'h.example',
  prefix: '/v1/',
  budget: 1,
  aim: 1,
  pause: 0,
  rank: 0,
  streaming: true,
  repeatable: false,
  resumable: false,
  sends: 1,
  shares: [{ service: 'main', weight: 1 }],
};
const table = {
  revision: 1,
  services: [{ name: 'main' } as Service],
  limits: { headBytes: 1, bodyBytes: 1, headTime: 1, idleTime: 1 },
  paths: [path],
} as PathTable;

it('lets a sound table pass', () => {
  expect(faultsOf(table)).toEqual([]);
});

it.each<[string, PathTable]>([
  ['revision', { ...table, revision: 0.5 }],
  ['Two services', { ...table, services: [...table.services, ...table.services] }],
  ['Two paths', { ...table, paths: [path, { ...path, host: 'H.example' }] }],
  ['prefix', { ...table, paths: [{ ...path, prefix: '/v1' }] }],
  ['budget', { ...table, paths: [{ ...path, budget: Number.NaN }] }],
  ['weights', { ...table, paths: [{ ...path, shares: [{ service: 'main', weight: 0 }] }] }],
  ['which is not stated', { ...table, paths: [{ ...path, shares: [{ service: 'other', weight: 1 }] }] }],
])('finds one fault: %s', (words, faulty) => {
  const faults = faultsOf(faulty);
  expect(faults).toHaveLength(1);
  expect(faults[0]).toContain(words);
});
