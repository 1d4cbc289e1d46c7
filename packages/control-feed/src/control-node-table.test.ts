/** The choice of a router's source among the control nodes. */
import { expect, it } from 'vitest';
import { micros, type Address, type MessageOf } from '@tansypost/inner-protocol';
import { createControlNodeTable } from './control-node-table.js';

const sourceSilence = 675_000;
const [near, far, other] = ['near:1', 'far:1', 'other:1'] as Address[];

function createTable(self = 'r:1') {
  const clock = { now: 0 };
  const nodes = createControlNodeTable(
    { now: () => micros(clock.now) },
    {
      self: self as Address,
      zone: 'home',
      regionOf: (zone) => (zone === 'overseas' ? zone : 'land'),
      sourceTimeout: sourceSilence,
    },
  );
  function receiveHeartbeat(from: Address, fields: Partial<MessageOf<'Beat'>> = {}, fresh = true): void {
    const defaults = { version: 1, membershipEpoch: 1, list: 0, age: 0, followers: 1, asked: 1, wall: 0 };
    const zone = from === near ? 'home' : 'abroad';
    nodes.recordHeartbeat({ kind: 'Beat', ...defaults, voting: true, leased: true, zone, ...fields }, from, fresh);
  }
  function source(): Address | undefined {
    nodes.chooseSource();
    return nodes.source();
  }
  return { clock, nodes, receiveHeartbeat, source };
}

it('prefers a leased node in its own zone, then a leased one elsewhere, then one without a lease, and none without heartbeats', () => {
  const { clock, receiveHeartbeat, source } = createTable();
  expect(source()).toBeUndefined();
  receiveHeartbeat(far!);
  expect(source()).toBe(far);
  receiveHeartbeat(near!);
  expect(source()).toBe(near);
  receiveHeartbeat(near!, { leased: false });
  expect(source()).toBe(far);
  receiveHeartbeat(far!, { voting: false });
  expect(source()).toBe(near);
  clock.now += sourceSilence + 1;
  expect(source()).toBeUndefined();
});

it('prefers a node in its own region to one in another', () => {
  const { receiveHeartbeat, source } = createTable();
  receiveHeartbeat(other!, { zone: 'overseas' });
  expect(source()).toBe(other);
  receiveHeartbeat(far!);
  expect(source()).toBe(far);
});

it('ignores the lease in a heartbeat that is not fresh', () => {
  const { nodes, receiveHeartbeat, source } = createTable();
  receiveHeartbeat(near!, {}, false);
  receiveHeartbeat(far!);
  expect(source()).toBe(far);
  expect(nodes.anyLeased()).toBe(true);
});

it('avoids a late source for a while and then returns to it', () => {
  const { clock, nodes, receiveHeartbeat, source } = createTable();
  receiveHeartbeat(near!);
  receiveHeartbeat(far!);
  expect(source()).toBe(near);
  nodes.markSourceLate();
  expect(source()).toBe(far);
  clock.now += 5_000_001;
  receiveHeartbeat(near!);
  receiveHeartbeat(far!);
  expect(source()).toBe(near);
});

it('keeps its source among equal nodes, and distributes routers over them', () => {
  const chosen = new Set<Address | undefined>();
  for (let i = 0; i < 20; i += 1) {
    const { nodes, receiveHeartbeat, source } = createTable(`r${i}:1`);
    receiveHeartbeat(far!);
    expect(source()).toBe(far);
    receiveHeartbeat(other!);
    expect(source()).toBe(far);
    nodes.retainOnly(new Set([other!]));
    expect(source()).toBe(other);
    receiveHeartbeat(far!);
    expect(source()).toBe(other);
    const fresh = createTable(`r${i}:1`);
    fresh.receiveHeartbeat(far!);
    fresh.receiveHeartbeat(other!);
    chosen.add(fresh.source());
  }
  expect(chosen).toEqual(new Set([far, other]));
});
