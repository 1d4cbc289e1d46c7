/** A control gateway's answers to followers, to machines that join and to replicas. */
import { expect, it } from 'vitest';
import type { Address, Message, MessageOf } from '@tansypost/inner-protocol';
import { createControlGateway } from './control-gateway.js';

const self = 'gateway:1' as Address;
const newcomer = 'stranger:1' as Address;
const replicas = ['a:1', 'b:1'].map((address, slot) => ({ slot, address, disk: `disk ${slot}` }));
const join: MessageOf<'Join'> = { kind: 'Join', from: newcomer, disk: 'new', first: false, caughtUp: false };

function follow(membershipEpoch: number): MessageOf<'Follow'> {
  const fields = {
    key: 'paths/main',
    version: 0,
    list: 0,
    peers: -1,
    confirmOnly: false,
    takesPatches: true,
    asked: 1,
  };
  return { kind: 'Follow', membershipEpoch, ...fields };
}

function createGateway(membershipEpoch: number) {
  const sent: [Address, Message][] = [];
  const membership = { membershipEpoch, replicas: membershipEpoch === 0 ? [] : replicas };
  const handle = createControlGateway(
    { send: (to, message) => sent.push([to, message]) },
    { self, membership: () => membership, firstStart: true },
  );
  return { handle, sent };
}

it('sends the replicas to a follower that does not know them, and nothing else', () => {
  const { handle, sent } = createGateway(7);
  expect(handle(follow(3), newcomer)).toBe(true);
  expect(sent).toEqual([[newcomer, { kind: 'News', news: [], membershipEpoch: 7, replicas }]]);
  expect(handle(follow(7), newcomer)).toBe(true);
  expect(sent.length).toBe(1);
});

it('forwards a request to join to the replicas, and sends nothing to a follower while it knows none', () => {
  const { handle, sent } = createGateway(7);
  handle(join, newcomer);
  expect(sent.map(([to, message]) => [to, message])).toEqual([
    ['a:1', join],
    ['b:1', join],
  ]);
  const unaware = createGateway(0);
  expect([unaware.handle(follow(0), newcomer), unaware.sent]).toEqual([true, []]);
});

it('sends joining machines the list of candidates while it knows no replica, with those of the first start only', () => {
  const { handle, sent } = createGateway(0);
  handle({ ...join, first: true }, newcomer);
  handle({ ...join, from: 'late:1' as Address, disk: 'other', first: false }, 'late:1' as Address);
  const roster = {
    kind: 'FoundingRoster',
    from: self,
    firstStart: true,
    candidates: [{ address: newcomer, disk: 'new' }],
  };
  expect(sent).toEqual([
    [newcomer, roster],
    ['late:1', roster],
  ]);
});

it('answers a replica that it holds no state, and leaves other messages to the rest of the process', () => {
  const { handle, sent } = createGateway(0);
  handle({ kind: 'ReplicaHello', from: newcomer } as unknown as MessageOf<'ReplicaHello'>, newcomer);
  expect(sent).toEqual([[newcomer, { kind: 'HoldsNoState', from: self }]]);
  expect(handle({ kind: 'Reading', reads: [] }, newcomer)).toBe(false);
});
