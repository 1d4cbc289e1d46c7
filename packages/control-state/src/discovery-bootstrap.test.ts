import { expect, it } from 'vitest';
import type { Address, BootstrapCandidate, MessageOf } from '@tansypost/inner-protocol';
import { createDiscoveryBootstrap } from './discovery-bootstrap.js';

const seeds = ['s:1', 't:1', 'u:1'] as Address[];
const [a, b, c, d] = ['a', 'b', 'c', 'd'].map((name) => ({ address: `${name}:1`, disk: `disk ${name}` }));

function founding(
  self: BootstrapCandidate,
  over: { mayBegin?: boolean; minMembers?: number; maxMembers?: number } = {},
) {
  const { address, disk } = self;
  const settings = { mayBegin: true, minMembers: 3, maxMembers: 3, ...over };
  return createDiscoveryBootstrap({ self: address as Address, diskId: () => disk, seeds, ...settings });
}

function roster(
  from: Address,
  candidates: readonly BootstrapCandidate[],
  firstStart = true,
): MessageOf<'FoundingRoster'> {
  return { kind: 'FoundingRoster', from, firstStart, candidates: [...candidates] };
}

function view(teller: BootstrapCandidate, candidates: readonly BootstrapCandidate[]): MessageOf<'FoundingView'> {
  return { kind: 'FoundingView', from: teller.address, disk: teller.disk, candidates: [...candidates] };
}

function addresses(members: readonly { readonly address: string }[] | undefined): string[] | undefined {
  return members?.map((member) => member.address);
}

it('founds with all that the seeds have heard, once each of them has told the same', () => {
  const all = [a!, b!, c!];
  const node = founding(a!);
  for (const seed of seeds) node.roster(roster(seed, all));
  expect(node.waitsFor()).toEqual({ why: 'machines not heard or not of one view', machines: ['b:1', 'c:1'] });
  node.view(view(b!, all));
  node.view(view(c!, [a!, c!]));
  expect(node.members()).toBeUndefined();
  node.view(view(c!, all));
  expect(addresses(node.members())).toEqual(['a:1', 'b:1', 'c:1']);
});

it('waits for a seed that it has not heard, as that one may hold state and found by itself', () => {
  const node = founding(a!, { minMembers: 1 });
  for (const seed of seeds.slice(0, 2)) node.roster(roster(seed, [a!]));
  expect(node.members()).toBeUndefined();
  expect(node.waitsFor()).toEqual({ why: 'seeds not heard', seeds: ['u:1'] });
  node.roster(roster(seeds[2]!, [a!], false));
  expect(addresses(node.members())).toEqual(['a:1']);
});

it('waits where most seeds were restarted, as these may have forgotten other founders', () => {
  const node = founding(a!, { minMembers: 1 });
  node.roster(roster(seeds[0]!, [a!]));
  for (const seed of seeds.slice(1)) node.roster(roster(seed, [a!], false));
  const why = 'too few seeds remember the first start';
  expect([node.members(), node.waitsFor()]).toEqual([undefined, { why, remembering: 1, needed: 2 }]);
});

it('waits for as many machines as bear the losses, and takes no more replicas than are wanted', () => {
  const few = founding(a!);
  for (const seed of seeds) few.roster(roster(seed, [a!, b!]));
  expect(few.waitsFor()).toEqual({ why: 'too few machines with a disk', known: 2, needed: 3 });
  const all = [a!, b!, c!, d!];
  const many = founding(b!, { maxMembers: 5 });
  for (const seed of seeds) many.roster(roster(seed, all));
  for (const other of [a!, c!, d!]) many.view(view(other, all));
  expect(addresses(many.members())).toEqual(['a:1', 'b:1', 'c:1']);
});

it('waits for a machine whose disk was lost, as that disk may have founded a cluster with others', () => {
  const lost = { address: 'c:1', disk: 'new disk' };
  const all = [a!, b!, c!];
  const node = founding(a!);
  for (const seed of seeds) node.roster(roster(seed, all));
  node.view(view(b!, [...all, lost]));
  node.view(view(lost, [...all, lost]));
  expect(node.members()).toBeUndefined();
  expect(node.waitsFor()).toEqual({ why: 'machines not heard or not of one view', machines: ['c:1'] });
});

it('never founds in a process that was started again: it does not know what the earlier one has told', () => {
  const node = founding(a!, { mayBegin: false, minMembers: 1 });
  for (const seed of seeds) node.roster(roster(seed, [a!]));
  expect([node.members(), node.waitsFor()]).toEqual([undefined, { why: 'not the first start' }]);
});

it('tells its view to those that it knows of, also where it may not found itself', () => {
  const node = founding(a!, { mayBegin: false });
  expect(node.greeting()).toBeUndefined();
  node.roster(roster(seeds[0]!, [b!], false));
  expect(node.greeting()).toEqual({ to: ['b:1'], message: view(a!, [a!, b!]) });
});

it('takes no word of a machine that is no seed of the first start', () => {
  const node = founding(a!, { minMembers: 1 });
  for (const stranger of ['x:1', 'y:1', 'z:1'] as Address[]) node.roster(roster(stranger, [a!, b!]));
  expect([node.greeting(), node.members()]).toEqual([undefined, undefined]);
});
