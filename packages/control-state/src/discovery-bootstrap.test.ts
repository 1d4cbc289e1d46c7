/** Bootstrap of a cluster when no seed holds control state. */
import { expect, it } from 'vitest';
import type { Address, BootstrapCandidate, MessageOf } from '@tansypost/inner-protocol';
import { createDiscoveryBootstrap } from './discovery-bootstrap.js';

const seeds = ['s:1', 't:1', 'u:1'] as Address[];
const [a, b, c, d] = ['a', 'b', 'c', 'd'].map((name) => ({ address: `${name}:1`, disk: `disk ${name}` }));

function createBootstrap(
  self: BootstrapCandidate,
  over: { mayBootstrap?: boolean; minMembers?: number; maxMembers?: number } = {},
) {
  const { address, disk } = self;
  const settings = { mayBootstrap: true, minMembers: 3, maxMembers: 3, ...over };
  return createDiscoveryBootstrap({ self: address as Address, diskId: () => disk, seeds, ...settings });
}

function roster(
  from: Address,
  candidates: readonly BootstrapCandidate[],
  firstStart = true,
): MessageOf<'FoundingRoster'> {
  return { kind: 'FoundingRoster', from, firstStart, candidates: [...candidates] };
}

function view(sender: BootstrapCandidate, candidates: readonly BootstrapCandidate[]): MessageOf<'FoundingView'> {
  return { kind: 'FoundingView', from: sender.address, disk: sender.disk, candidates: [...candidates] };
}

function addresses(members: readonly { readonly address: string }[] | undefined): string[] | undefined {
  return members?.map((member) => member.address);
}

it('bootstraps with all candidates that the seeds know once each of them has reported the same view', () => {
  const all = [a!, b!, c!];
  const node = createBootstrap(a!);
  for (const seed of seeds) node.receiveRoster(roster(seed, all));
  expect(node.bootstrapWait()).toEqual({
    why: 'candidates not heard or with a different view',
    machines: ['b:1', 'c:1'],
  });
  node.receiveView(view(b!, all));
  node.receiveView(view(c!, [a!, c!]));
  expect(node.members()).toBeUndefined();
  node.receiveView(view(c!, all));
  expect(addresses(node.members())).toEqual(['a:1', 'b:1', 'c:1']);
});

it('waits for a seed that it has not heard, because that seed may hold state and bootstrap by itself', () => {
  const node = createBootstrap(a!, { minMembers: 1 });
  for (const seed of seeds.slice(0, 2)) node.receiveRoster(roster(seed, [a!]));
  expect(node.members()).toBeUndefined();
  expect(node.bootstrapWait()).toEqual({ why: 'seeds not heard', seeds: ['u:1'] });
  node.receiveRoster(roster(seeds[2]!, [a!], false));
  expect(addresses(node.members())).toEqual(['a:1']);
});

it('waits if a majority of the seeds was restarted, because these may have forgotten other candidates', () => {
  const node = createBootstrap(a!, { minMembers: 1 });
  node.receiveRoster(roster(seeds[0]!, [a!]));
  for (const seed of seeds.slice(1)) node.receiveRoster(roster(seed, [a!], false));
  const why = 'too few seeds have run since the first start';
  expect([node.members(), node.bootstrapWait()]).toEqual([undefined, { why, remembering: 1, needed: 2 }]);
});

it('waits for as many machines as the fault budget requires, and chooses at most the target number', () => {
  const few = createBootstrap(a!);
  for (const seed of seeds) few.receiveRoster(roster(seed, [a!, b!]));
  expect(few.bootstrapWait()).toEqual({ why: 'too few machines with a disk', known: 2, needed: 3 });
  const all = [a!, b!, c!, d!];
  const many = createBootstrap(b!, { maxMembers: 5 });
  for (const seed of seeds) many.receiveRoster(roster(seed, all));
  for (const other of [a!, c!, d!]) many.receiveView(view(other, all));
  expect(addresses(many.members())).toEqual(['a:1', 'b:1', 'c:1']);
});

it('waits for a machine whose disk was lost, because that disk may have bootstrapped a cluster with others', () => {
  const lost = { address: 'c:1', disk: 'new disk' };
  const all = [a!, b!, c!];
  const node = createBootstrap(a!);
  for (const seed of seeds) node.receiveRoster(roster(seed, all));
  node.receiveView(view(b!, [...all, lost]));
  node.receiveView(view(lost, [...all, lost]));
  expect(node.members()).toBeUndefined();
  expect(node.bootstrapWait()).toEqual({ why: 'candidates not heard or with a different view', machines: ['c:1'] });
});

it('never bootstraps in a restarted process, which does not know what the earlier one has reported', () => {
  const node = createBootstrap(a!, { mayBootstrap: false, minMembers: 1 });
  for (const seed of seeds) node.receiveRoster(roster(seed, [a!]));
  expect([node.members(), node.bootstrapWait()]).toEqual([undefined, { why: 'not the first start' }]);
});

it('sends its view to the candidates that it knows, even if it may not bootstrap itself', () => {
  const node = createBootstrap(a!, { mayBootstrap: false });
  expect(node.viewMessage()).toBeUndefined();
  node.receiveRoster(roster(seeds[0]!, [b!], false));
  expect(node.viewMessage()).toEqual({ to: ['b:1'], message: view(a!, [a!, b!]) });
});

it('ignores the roster of a machine that is not a seed of the first start', () => {
  const node = createBootstrap(a!, { minMembers: 1 });
  for (const stranger of ['x:1', 'y:1', 'z:1'] as Address[]) node.receiveRoster(roster(stranger, [a!, b!]));
  expect([node.viewMessage(), node.members()]).toEqual([undefined, undefined]);
});
