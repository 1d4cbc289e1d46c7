/** Looking up the route of a request, and validation of a route table. */
import { expect, it } from 'vitest';
import { validateRouteTable } from './validate-route-table.js';
import { createRouteMatcher } from './route-matcher.js';
import type { Route, RouteTable, Service } from './route-table.js';

function route(name: string, host: string, prefix: string): Route {
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

it('finds the route with the longest prefix of the host, ignoring port and case, and no other', () => {
  const hosts = {
    revision: 1,
    services: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
    routes: [route('a', 'H.example', '/a/'), route('ab', 'h.example', '/a/b/'), route('o', 'o.example', '/')],
  } as RouteTable;
  const matcher = createRouteMatcher(hosts);
  function find(host: string, target: string): string | undefined {
    return matcher.find(host, target)?.name;
  }
  expect(find('h.example', '/a/x?q=/a/b/')).toBe('a');
  expect(find('h.EXAMPLE:80', '/a/b/c')).toBe('ab');
  expect(find('h.example', '/a')).toBeUndefined();
  expect(find('x.example', '/a/x')).toBeUndefined();
  expect(find('o.example', '/any')).toBe('o');
});

const valid = route('chat', 'h.example', '/v1/');
const table = {
  revision: 1,
  services: [{ name: 's' } as Service],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
  routes: [valid],
} as RouteTable;

it('accepts a valid table', () => {
  expect(validateRouteTable(table)).toEqual([]);
});

it.each<[string, RouteTable]>([
  ['revision', { ...table, revision: 0.5 }],
  ['Two services', { ...table, services: [...table.services, ...table.services] }],
  ['Two routes', { ...table, routes: [valid, { ...valid, host: 'H.example' }] }],
  ['prefix', { ...table, routes: [{ ...valid, prefix: '/v1' }] }],
  ['deadline', { ...table, routes: [{ ...valid, timeout: Number.NaN }] }],
  ['weights', { ...table, routes: [{ ...valid, weightedServices: [{ service: 's', weight: 0 }] }] }],
  ['which is not defined', { ...table, routes: [{ ...valid, weightedServices: [{ service: 'other', weight: 1 }] }] }],
])('reports exactly one error: %s', (words, invalid) => {
  const errors = validateRouteTable(invalid);
  expect(errors).toHaveLength(1);
  expect(errors[0]).toContain(words);
});
