import { expect, it } from 'vitest';
import { micros, type Address, type MessageOf } from '@tansypost/inner-protocol';
import { createControlNodeTable } from './control-node-table.js';

const sourceSilence = 675_000;
const [near, far, other] = ['near:1', 'far:1', 'other:1'] as Address[];

function table(self = 'r:1') {
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
  function beat(from: Address, fields: Partial<MessageOf<'Beat'>> = {}, fresh = true): void {
    const usual = { version: 1, membershipEpoch: 1, list: 0, age: 0, followers: 1, asked: 1, wall: 0 };
    const zone = from === near ? 'home' : 'abroad';
    nodes.recordBeat({ kind: 'Beat', ...usual, voting: true, leased: true, zone, ...fields }, from, fresh);
  }
  function source(): Address | undefined {
    nodes.chooseSource();
    return nodes.source();
  }
  return { clock, nodes, beat, source };
}

it('takes a leased node of its own zone, then a leased one elsewhere, then one without a lease, and none that is silent', () => {
  const { clock, beat, source } = table();
  expect(source()).toBeUndefined();
  beat(far!);
  expect(source()).toBe(far);
  beat(near!);
  expect(source()).toBe(near);
  beat(near!, { leased: false });
  expect(source()).toBe(far);
  beat(far!, { voting: false });
  expect(source()).toBe(near);
  clock.now += sourceSilence + 1;
  expect(source()).toBeUndefined();
});

it('takes a node of its own region before one overseas', () => {
  const { beat, source } = table();
  beat(other!, { zone: 'overseas' });
  expect(source()).toBe(other);
  beat(far!);
  expect(source()).toBe(far);
});

it('counts no lease of a beat that answers no fresh question', () => {
  const { nodes, beat, source } = table();
  beat(near!, {}, false);
  beat(far!);
  expect(source()).toBe(far);
  expect(nodes.anyLeased()).toBe(true);
});

it('passes a late source over for a while and returns to it then', () => {
  const { clock, nodes, beat, source } = table();
  beat(near!);
  beat(far!);
  expect(source()).toBe(near);
  nodes.markSourceLate();
  expect(source()).toBe(far);
  clock.now += 5_000_001;
  beat(near!);
  beat(far!);
  expect(source()).toBe(near);
});

it('keeps its source among equals, and spreads routers over them', () => {
  const chosen = new Set<Address | undefined>();
  for (let i = 0; i < 20; i += 1) {
    const { nodes, beat, source } = table(`r${i}:1`);
    beat(far!);
    expect(source()).toBe(far);
    beat(other!);
    expect(source()).toBe(far);
    nodes.retainOnly(new Set([other!]));
    expect(source()).toBe(other);
    beat(far!);
    expect(source()).toBe(other);
    const anew = table(`r${i}:1`);
    anew.beat(far!);
    anew.beat(other!);
    chosen.add(anew.source());
  }
  expect(chosen).toEqual(new Set([far, other]));
});
