/** Looking up the path of a request, and the faults of a route table. */
import { expect, it } from 'vitest';
import { faultsOf } from './faults.js';
import { createMatcher } from './match.js';
import type { Path, PathTable, Service } from './path-table.js';

function path(name: string, host: string, prefix: string): Path {
  return {
    name,
    host,
    prefix,
    budget: 1,
    aim: 1,
    pause: 0,
    rank: 0,
    streaming: true,
    repeatable: false,
    resumable: false,
    sends: 1,
    shares: [{ service: 's', weight: 1 }],
  };
}

it('finds the longest prefix of the host, whatever its port and case, and nothing else', () => {
  const t = {
    revision: 1,
    services: [],
    limits: { headBytes: 1, bodyBytes: 1, headTime: 1, idleTime: 1 },
    paths: [path('a', 'H.example', '/a/'), path('ab', 'h.example', '/a/b/'), path('o', 'o.example', '/')],
  } as PathTable;
  const m = createMatcher(t);
  function at(h: string, p: string): string | undefined {
    return m.find(h, p)?.name;
  }
  expect(at('h.example', '/a/x?q=/a/b/')).toBe('a');
  expect(at('h.EXAMPLE:80', '/a/b/c')).toBe('ab');
  expect(at('h.example', '/a')).toBeUndefined();
  expect(at('x.example', '/a/x')).toBeUndefined();
  expect(at('o.example', '/any')).toBe('o');
});

const sound = path('chat', 'h.example', '/v1/');
const table = {
  revision: 1,
  services: [{ name: 's' } as Service],
  limits: { headBytes: 1, bodyBytes: 1, headTime: 1, idleTime: 1 },
  paths: [sound],
} as PathTable;

it('lets a sound table pass', () => {
  expect(faultsOf(table)).toEqual([]);
});

it.each<[string, PathTable]>([
  ['revision', { ...table, revision: 0.5 }],
  ['Two services', { ...table, services: [...table.services, ...table.services] }],
  ['Two paths', { ...table, paths: [sound, { ...sound, host: 'H.example' }] }],
  ['prefix', { ...table, paths: [{ ...sound, prefix: '/v1' }] }],
  ['budget', { ...table, paths: [{ ...sound, budget: Number.NaN }] }],
  ['weights', { ...table, paths: [{ ...sound, shares: [{ service: 's', weight: 0 }] }] }],
  ['which is not stated', { ...table, paths: [{ ...sound, shares: [{ service: 'other', weight: 1 }] }] }],
])('finds one fault: %s', (words, faulty) => {
  const faults = faultsOf(faulty);
  expect(faults).toHaveLength(1);
  expect(faults[0]).toContain(words);
});
