/** Looking up the path of a request, and the faults of a route table. */
import { expect, it } from 'vitest';
import { validateRouteTable } from './validate-route-table.js';
import { createRouteMatcher } from './route-matcher.js';
import type { Route, RouteTable, Service } from './route-table.js';

function path(name: string, host: string, prefix: string): Route {
  return {
    name,
    host,
    prefix,
    timeout: 1,
    targetLatency: 1,
    maxEventGap: 0,
    priority: 0,
    streaming: true,
    idempotent: false,
    resumable: false,
    maxAttempts: 1,
    weightedServices: [{ service: 's', weight: 1 }],
  };
}

it('finds the longest prefix of the host, whatever its port and case, and nothing else', () => {
  const t = {
    revision: 1,
    services: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
    routes: [path('a', 'H.example', '/a/'), path('ab', 'h.example', '/a/b/'), path('o', 'o.example', '/')],
  } as RouteTable;
  const m = createRouteMatcher(t);
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
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
  routes: [sound],
} as RouteTable;

it('lets a sound table pass', () => {
  expect(validateRouteTable(table)).toEqual([]);
});

it.each<[string, RouteTable]>([
  ['revision', { ...table, revision: 0.5 }],
  ['Two services', { ...table, services: [...table.services, ...table.services] }],
  ['Two paths', { ...table, routes: [sound, { ...sound, host: 'H.example' }] }],
  ['prefix', { ...table, routes: [{ ...sound, prefix: '/v1' }] }],
  ['budget', { ...table, routes: [{ ...sound, timeout: Number.NaN }] }],
  ['weights', { ...table, routes: [{ ...sound, weightedServices: [{ service: 's', weight: 0 }] }] }],
  ['which is not stated', { ...table, routes: [{ ...sound, weightedServices: [{ service: 'other', weight: 1 }] }] }],
])('finds one fault: %s', (words, faulty) => {
  const faults = validateRouteTable(faulty);
  expect(faults).toHaveLength(1);
  expect(faults[0]).toContain(words);
});
